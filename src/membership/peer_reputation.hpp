// How far another gateway's assertions about phases are accepted: each one that no list confirms costs a
// point, and points return over time. No I/O; the clock is passed in.
#pragma once

#include <cstddef>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

class PeerReputation {
 public:
  // Starts with `maxPoints`; one point returns in each `recoveryInterval`.
  PeerReputation(double maxPoints, Duration recoveryInterval, Time now);

  void recover(Time now);
  void penalize(Time now);
  bool isTrusted() const { return points_ >= 1; }
  // Whether another assertion can be accepted: all open ones could turn out wrong.
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
