#include "ops/host_cordon.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/percent.hpp"

namespace finchstile::ops {
namespace {

constexpr std::string_view kHeader = "finchstile-out 1\n";

}  // namespace

bool HostCordon::cordon(const std::string& host) {
  const auto it = marks_.find(host);
  if (it == marks_.end() && marks_.size() >= kMaxHosts) return false;
  Mark& m = marks_[host];
  if (!m.out) ++out_;
  m.out = true;
  return true;
}

void HostCordon::uncordon(const std::string& host, Time now) {
  const auto it = marks_.find(host);
  if (it == marks_.end() || !it->second.out) return;
  it->second = {false, now};
  --out_;
}

bool HostCordon::isCordoned(const std::string& host) const {
  const auto it = marks_.find(host);
  return it != marks_.end() && it->second.out;
}

void HostCordon::apply(load_balancing::HostEntry& entry) const {
  const auto it = marks_.find(entry.address);
  if (it == marks_.end()) return;
  if (it->second.out) {
    if (entry.phase == load_balancing::HostPhase::active) entry.phase = load_balancing::HostPhase::draining;
  } else {
    // Danger: it may have been restarted while it was out, and the list tells seconds late. Taken for warm,
    // all gateways together would push it over.
    entry.startedAt = std::max(entry.startedAt, it->second.back);
  }
}

void HostCordon::expire(Time now, Duration keep) {
  for (auto it = marks_.begin(); it != marks_.end();)
    if (!it->second.out && now - it->second.back > keep) it = marks_.erase(it);
    else ++it;
}

std::string HostCordon::encode() const {
  std::string text(kHeader);
  for (const auto& [name, mark] : marks_)
    if (mark.out) text += "out " + percentEncoded(name) + "\n";
  return text + "end " + std::to_string(out_) + "\n";
}

bool HostCordon::decode(std::string_view text, Time now) {
  if (text.substr(0, kHeader.size()) != kHeader) return false;
  text.remove_prefix(kHeader.size());
  std::set<std::string> names;
  for (;;) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return false;  // cut short
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (line == "end " + std::to_string(names.size())) break;
    if (line.substr(0, 4) != "out ") return false;
    auto name = percentDecoded(line.substr(4));
    if (!name || name->empty() || names.size() >= kMaxHosts) return false;
    names.insert(std::move(*name));
  }
  if (!text.empty()) return false;
  std::vector<std::string> back;
  for (const auto& [name, mark] : marks_)
    if (mark.out && names.count(name) == 0) back.push_back(name);
  for (const std::string& name : back) uncordon(name, now);
  // Who came back by hand makes room for who is out.
  if (marks_.size() + names.size() > kMaxHosts) expire(now, Duration(-1));
  for (const std::string& name : names) cordon(name);
  return true;
}

}  // namespace finchstile::ops
