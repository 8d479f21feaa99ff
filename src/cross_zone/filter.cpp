#include "cross_zone/filter.hpp"

#include <algorithm>
#include <cstdio>

namespace finchstile::cross_zone {
namespace {

std::vector<std::string> namesOf(const load_balancing::Settings& s) {
  std::vector<std::string> out;
  for (const auto& c : s.classes) out.push_back(c.name);
  return out;
}

std::vector<double> worthsOf(const load_balancing::Settings& s) {
  std::vector<double> out;
  for (const auto& c : s.classes) out.push_back(c.priorityWeight);
  return out;
}

// Heads are not measured byte by byte: what they hold beside the target is about the same for all.
constexpr std::uint64_t kHeadAbout = 256;

}  // namespace

CrossZoneFilter::CrossZoneFilter(const Clock& clock, const CrossingSettings& settings,
                                 const load_balancing::Settings& known)
    : clock_(clock),
      zone_(known.zone),
      worth_(worthsOf(known)),
      budget_(settings, *std::max_element(worth_.begin(), worth_.end()), clock.now()),
      account_(namesOf(known)) {}

FilterDecision CrossZoneFilter::onRequestReceived(RequestContext& x) {
  x.preferLocalZone = !budget_.allows(clock_.now(), worth_.at(x.classIndex));
  return {};
}

void CrossZoneFilter::onAttemptSending(RequestContext& x, UpstreamRequest& to) {
  if (!crosses(x)) return account_.home(x.classIndex);
  const std::uint64_t bytes =
      kHeadAbout + to.target().size() + std::max<std::uint64_t>(to.body().size(), x.bodyLength);
  account_.sent(x.classIndex, x.zone, bytes, x.preferLocalZone);
  budget_.charge(clock_.now(), static_cast<double>(bytes));
}

void CrossZoneFilter::onResponseHeaders(RequestContext& x, const ResponseHead& head,
                                        std::vector<HeaderLine>&) {
  if (!head.fromUpstream || !head.fields || !crosses(x)) return;
  const std::uint64_t bytes = kHeadAbout + std::max<std::uint64_t>(head.body.size(), head.length);
  account_.answered(x.classIndex, x.zone, bytes);
  budget_.charge(clock_.now(), static_cast<double>(bytes));
}

std::vector<std::string> CrossZoneFilter::summary() {
  std::vector<std::string> lines = account_.report();
  char level[48];
  std::snprintf(level, sizeof level, " level=%.2f", budget_.level(clock_.now()));
  lines.back() += level;
  return lines;
}

}  // namespace finchstile::cross_zone
