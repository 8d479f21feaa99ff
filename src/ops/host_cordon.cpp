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
constexpr std::string_view kHostPrefix = "out ";
constexpr std::string_view kEndPrefix = "end ";
constexpr Duration kExpireAll{-1};

std::string endLine(std::size_t hosts) { return std::string(kEndPrefix) + std::to_string(hosts); }

// Removes and returns the first line, without its end. Returns nothing if no line is complete.
std::optional<std::string_view> takeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 1);
  return line;
}

std::optional<std::set<std::string>> parseHosts(std::string_view text) {
  if (text.substr(0, kHeader.size()) != kHeader) return std::nullopt;
  text.remove_prefix(kHeader.size());
  std::set<std::string> hosts;
  for (;;) {
    const auto line = takeLine(text);
    if (!line) return std::nullopt;
    if (*line == endLine(hosts.size())) break;
    if (line->substr(0, kHostPrefix.size()) != kHostPrefix) return std::nullopt;
    auto host = percentDecoded(line->substr(kHostPrefix.size()));
    if (!host || host->empty() || hosts.size() >= HostCordon::kMaxHosts) return std::nullopt;
    hosts.insert(std::move(*host));
  }
  if (!text.empty()) return std::nullopt;
  return hosts;
}

}  // namespace

bool HostCordon::cordon(const std::string& host) {
  if (!isTracked(host) && hosts_.size() >= kMaxHosts) return false;
  HostState& state = hosts_[host];
  if (!state.cordoned) ++cordonedHosts_;
  state.cordoned = true;
  return true;
}

void HostCordon::uncordon(const std::string& host, Time now) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || !it->second.cordoned) return;
  it->second = {false, now};
  --cordonedHosts_;
}

bool HostCordon::isCordoned(const std::string& host) const {
  const auto it = hosts_.find(host);
  return it != hosts_.end() && it->second.cordoned;
}

void HostCordon::apply(load_balancing::HostEntry& entry) const {
  using load_balancing::HostPhase;
  const auto it = hosts_.find(entry.address);
  if (it == hosts_.end()) return;
  if (it->second.cordoned) {
    if (entry.phase == HostPhase::active) entry.phase = HostPhase::draining;
    return;
  }
  // The host may have been restarted while it was cordoned, and the list reports that seconds late. All
  // gateways together would overload it if they took it for warmed up.
  entry.startedAt = std::max(entry.startedAt, it->second.uncordonedAt);
}

void HostCordon::expire(Time now, Duration keep) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const bool expired = !it->second.cordoned && now - it->second.uncordonedAt > keep;
    it = expired ? hosts_.erase(it) : std::next(it);
  }
}

std::string HostCordon::encode() const {
  std::string text(kHeader);
  for (const auto& [host, state] : hosts_)
    if (state.cordoned) text.append(kHostPrefix).append(percentEncoded(host)).append("\n");
  return text + endLine(cordonedHosts_) + "\n";
}

bool HostCordon::decode(std::string_view text, Time now) {
  const auto hosts = parseHosts(text);
  if (!hosts) return false;
  std::vector<std::string> uncordoned;
  for (const auto& [host, state] : hosts_)
    if (state.cordoned && hosts->count(host) == 0) uncordoned.push_back(host);
  for (const std::string& host : uncordoned) uncordon(host, now);
  // Uncordoned hosts make room for cordoned ones.
  if (hosts_.size() + hosts->size() > kMaxHosts) expire(now, kExpireAll);
  for (const std::string& host : *hosts) cordon(host);
  return true;
}

}  // namespace finchstile::ops
