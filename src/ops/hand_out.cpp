#include "ops/hand_out.hpp"

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

bool HandOut::takeOut(const std::string& host) {
  const auto it = marks_.find(host);
  if (it == marks_.end() && marks_.size() >= kMost) return false;
  Mark& m = marks_[host];
  if (!m.out) ++out_;
  m.out = true;
  return true;
}

void HandOut::putBack(const std::string& host, Time now) {
  const auto it = marks_.find(host);
  if (it == marks_.end() || !it->second.out) return;
  it->second = {false, now};
  --out_;
}

bool HandOut::isOut(const std::string& host) const {
  const auto it = marks_.find(host);
  return it != marks_.end() && it->second.out;
}

void HandOut::apply(ridgeshift::HostEntry& entry) const {
  const auto it = marks_.find(entry.address);
  if (it == marks_.end()) return;
  if (it->second.out) {
    if (entry.phase == ridgeshift::Phase::in) entry.phase = ridgeshift::Phase::draining;
  } else {
    // Danger: it may have been restarted while it was out, and the list tells seconds late. Taken for warm,
    // all gateways together would push it over.
    entry.upSince = std::max(entry.upSince, it->second.back);
  }
}

void HandOut::expire(Time now, Duration keep) {
  for (auto it = marks_.begin(); it != marks_.end();)
    if (!it->second.out && now - it->second.back > keep) it = marks_.erase(it);
    else ++it;
}

std::string HandOut::encode() const {
  std::string text(kHeader);
  for (const auto& [name, mark] : marks_)
    if (mark.out) text += "out " + percentEncoded(name) + "\n";
  return text + "end " + std::to_string(out_) + "\n";
}

bool HandOut::decode(std::string_view text, Time now) {
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
    if (!name || name->empty() || names.size() >= kMost) return false;
    names.insert(std::move(*name));
  }
  if (!text.empty()) return false;
  std::vector<std::string> back;
  for (const auto& [name, mark] : marks_)
    if (mark.out && names.count(name) == 0) back.push_back(name);
  for (const std::string& name : back) putBack(name, now);
  // Who came back by hand makes room for who is out.
  if (marks_.size() + names.size() > kMost) expire(now, Duration(-1));
  for (const std::string& name : names) takeOut(name);
  return true;
}

}  // namespace finchstile::ops
