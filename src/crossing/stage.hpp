// Ties the account and the budget of traffic between zones to the phases of a request. Whether a host of
// another zone is chosen the module decides; the stage tells it which requests are to stay at home while
// service there does not fall.
#pragma once

#include "crossing/account.hpp"
#include "crossing/budget.hpp"
#include "net/clock.hpp"
#include "net/stage.hpp"

namespace finchstile::crossing {

class CrossingStage : public Stage {
 public:
  CrossingStage(const Clock& clock, const CrossingSettings& settings, const ridgeshift::Settings& known);

  const Account& account() const { return account_; }
  double level() { return budget_.level(clock_.now()); }
  std::vector<std::string> summary();

  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::arrived) | phaseBit(RequestPhase::sent) |
           phaseBit(RequestPhase::answerHead);
  }
  Arrival onArrived(Exchange& x) override;
  void onSent(Exchange& x, UpstreamRequest& to) override;
  void onAnswerHead(Exchange& x, const AnswerHead& head, std::vector<HeaderLine>& toClient) override;

 private:
  bool crosses(const Exchange& x) const { return !x.zone.empty() && x.zone != zone_; }

  const Clock& clock_;
  const std::string zone_;
  std::vector<double> worth_;  // by class
  Budget budget_;
  Account account_;
};

}  // namespace finchstile::crossing
