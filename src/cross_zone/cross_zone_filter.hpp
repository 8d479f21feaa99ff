// Request filter that applies the budget for traffic between zones, and counts that traffic. The filter marks
// requests that should stay in the local zone. The load balancer chooses the host, and still uses another
// zone if the local zone cannot serve a marked request.
#pragma once

#include "cross_zone/cross_zone_budget.hpp"
#include "cross_zone/cross_zone_statistics.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::cross_zone {

class CrossZoneFilter : public RequestFilter {
 public:
  // `gatewaySettings` supplies the local zone and the request classes. `clock` must outlive the filter.
  CrossZoneFilter(const Clock& clock, const CrossZoneSettings& settings,
                  const load_balancing::Settings& gatewaySettings);

  const CrossZoneStatistics& statistics() const { return statistics_; }
  // Log lines: those of CrossZoneStatistics::report(), with the budget's balance appended to the last.
  std::vector<std::string> summary();

  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
           phaseBit(RequestPhase::responseHeaders);
  }
  FilterDecision onRequestReceived(RequestContext& context) override;
  void onAttemptSending(RequestContext& context, UpstreamRequest& upstreamRequest) override;
  void onResponseHeaders(RequestContext& context, const ResponseHead& head,
                         std::vector<HeaderLine>& clientHeaders) override;

 private:
  bool isCrossZone(const RequestContext& context) const {
    return !context.zone.empty() && context.zone != localZone_;
  }

  const Clock& clock_;
  const std::string localZone_;
  const std::vector<double> priorityWeights_;  // by class
  CrossZoneBudget budget_;
  CrossZoneStatistics statistics_;
};

}  // namespace finchstile::cross_zone
