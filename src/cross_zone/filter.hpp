// Ties the account and the budget of traffic between zones to the phases of a request. Whether a host of
// another zone is chosen the module decides; the stage tells it which requests are to stay at home while
// service there does not fall.
#pragma once

#include "cross_zone/account.hpp"
#include "cross_zone/budget.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile::cross_zone {

class CrossZoneFilter : public RequestFilter {
 public:
  CrossZoneFilter(const Clock& clock, const CrossingSettings& settings,
                  const load_balancing::Settings& known);

  const Account& account() const { return account_; }
  double level() { return budget_.level(clock_.now()); }
  std::vector<std::string> summary();

  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
           phaseBit(RequestPhase::responseHeaders);
  }
  FilterDecision onRequestReceived(RequestContext& x) override;
  void onAttemptSending(RequestContext& x, UpstreamRequest& to) override;
  void onResponseHeaders(RequestContext& x, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) override;

 private:
  bool crosses(const RequestContext& x) const { return !x.zone.empty() && x.zone != zone_; }

  const Clock& clock_;
  const std::string zone_;
  std::vector<double> worth_;  // by class
  Budget budget_;
  Account account_;
};

}  // namespace finchstile::cross_zone
