#include "cross_zone/cross_zone_filter.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace finchstile::cross_zone {
namespace {

// Assumed size of a header section without the target. It is not measured, since it varies little between
// messages.
constexpr std::uint64_t kEstimatedHeaderBytes = 256;

std::vector<std::string> classNames(const load_balancing::Settings& settings) {
  std::vector<std::string> names;
  for (const auto& classSettings : settings.classes) names.push_back(classSettings.name);
  return names;
}

std::vector<double> priorityWeights(const load_balancing::Settings& settings) {
  std::vector<double> weights;
  for (const auto& classSettings : settings.classes) weights.push_back(classSettings.priorityWeight);
  return weights;
}

}  // namespace

CrossZoneFilter::CrossZoneFilter(const Clock& clock, const CrossZoneSettings& settings,
                                 const load_balancing::Settings& gatewaySettings)
    : clock_(clock),
      localZone_(gatewaySettings.zone),
      priorityWeights_(priorityWeights(gatewaySettings)),
      budget_(settings, *std::max_element(priorityWeights_.begin(), priorityWeights_.end()), clock.now()),
      statistics_(classNames(gatewaySettings)) {}

FilterDecision CrossZoneFilter::onRequestReceived(RequestContext& context) {
  context.preferLocalZone = !budget_.allows(clock_.now(), priorityWeights_.at(context.classIndex));
  return {};
}

void CrossZoneFilter::onAttemptSending(RequestContext& context, UpstreamRequest& upstreamRequest) {
  if (!isCrossZone(context)) return statistics_.recordLocalAttempt(context.classIndex);
  const std::uint64_t bodyBytes = std::max<std::uint64_t>(upstreamRequest.body().size(), context.bodyLength);
  const std::uint64_t bytes = kEstimatedHeaderBytes + upstreamRequest.target().size() + bodyBytes;
  statistics_.recordAttempt(context.classIndex, context.zone, bytes, context.preferLocalZone);
  budget_.charge(clock_.now(), static_cast<double>(bytes));
}

void CrossZoneFilter::onResponseHeaders(RequestContext& context, const ResponseHead& head,
                                        std::vector<HeaderLine>&) {
  const bool fromHost = head.fromUpstream && head.fields != nullptr;
  if (!fromHost || !isCrossZone(context)) return;
  const std::uint64_t bytes = kEstimatedHeaderBytes + std::max<std::uint64_t>(head.body.size(), head.length);
  statistics_.recordResponse(context.classIndex, context.zone, bytes);
  budget_.charge(clock_.now(), static_cast<double>(bytes));
}

std::vector<std::string> CrossZoneFilter::summary() {
  std::vector<std::string> lines = statistics_.report();
  std::array<char, 48> level{};
  std::snprintf(level.data(), level.size(), " level=%.2f", budget_.balanceFraction(clock_.now()));
  lines.back() += level.data();
  return lines;
}

}  // namespace finchstile::cross_zone
