// Reputation of another gateway, which limits how many of its assertions about host phases are accepted. Each
// unconfirmed assertion costs a point, and points are regained over time. No I/O; the caller passes the
// current time.
#pragma once

#include <cstddef>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

class PeerReputation {
 public:
  // Starts with `maxPoints` points. One point is regained every `recoveryInterval`.
  PeerReputation(double maxPoints, Duration recoveryInterval, Time now);

  void recover(Time now);
  void penalize(Time now);
  bool isTrusted() const { return points_ >= 1; }
  // Whether another assertion can be accepted: the points have to cover it and all open ones, any of which
  // may turn out to be wrong.
  bool coversAnotherAssertion() const { return points_ >= static_cast<double>(openAssertions_) + 1; }

  void openAssertion() { ++openAssertions_; }
  void closeAssertion() { --openAssertions_; }
  std::size_t openAssertions() const { return openAssertions_; }

 private:
  double maxPoints_;
  Duration recoveryInterval_;
  double points_;
  Time updatedAt_;
  std::size_t openAssertions_ = 0;
};

}  // namespace finchstile::membership
