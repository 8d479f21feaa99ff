// Which control machine a gateway polls, and when. Gateways spread over the machines by rendezvous hashing,
// without coordination, and back off with full jitter after failures. No I/O; clock and randomness are passed
// in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

using load_balancing::Duration;
using load_balancing::Time;

struct BackoffSettings {
  Duration maxFailoverDelay =
      std::chrono::milliseconds(250);              // before another machine is polled, drawn evenly
  Duration minBackoff = std::chrono::seconds(1);   // after each failure of a machine
  Duration maxBackoff = std::chrono::seconds(30);  // bound of the random part on top of it
};

class ControlPlaneEndpoints {
 public:
  // `addresses` name the machines, at least one; `gatewayName` names this gateway. Both enter the hash.
  ControlPlaneEndpoints(const std::vector<std::string>& addresses, const std::string& gatewayName,
                        const BackoffSettings& settings);

  struct Choice {
    std::size_t endpoint = 0;  // into the addresses
    Time notBefore{};          // when it may be polled
  };
  // The most preferred machine that is not in backoff, otherwise the one whose backoff ends first. A machine
  // other than the one polled last is polled after a random delay: all gateways of a failed machine would
  // reach the next one at the same moment otherwise. `unit`: random, in [0, 1).
  Choice choose(Time now, double unit) const;

  void onPolled(std::size_t endpoint) { lastPolled_ = endpoint; }
  void onSuccess(std::size_t endpoint) { states_[endpoint].consecutiveFailures = 0; }
  // The machine was silent, refused, lags behind, or sent something that is no update.
  void onFailure(std::size_t endpoint, Time now, double unit);
  // The machine answered with a Retry-After.
  void onRetryAfter(std::size_t endpoint, Time now, Duration retryAfter, double unit);

  // Indexes into the addresses, most preferred first.
  const std::vector<std::size_t>& preferenceOrder() const { return preferenceOrder_; }
  std::uint64_t failureCount() const { return failureCount_; }

 private:
  struct EndpointState {
    int consecutiveFailures = 0;
    Time notBefore{};
  };
  const BackoffSettings settings_;
  std::vector<std::size_t> preferenceOrder_;
  std::vector<EndpointState> states_;
  std::size_t lastPolled_;
  std::uint64_t failureCount_ = 0;
};

}  // namespace finchstile::configuration
