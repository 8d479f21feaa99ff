// Selects the control machine that a gateway polls, and the time of the poll. Gateways are distributed over
// the machines by rendezvous hashing, without coordination, and back off with full jitter after failures. No
// I/O; the caller passes the current time and random numbers.
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
  // Limit of the random delay before another machine is polled.
  Duration maxFailoverDelay = std::chrono::milliseconds(250);
  // Backoff after each failure of a machine: a fixed part, and the limit of the random part that is added to
  // it.
  Duration minBackoff = std::chrono::seconds(1);
  Duration maxBackoff = std::chrono::seconds(30);
};

class ControlPlaneEndpoints {
 public:
  // `addresses` are those of the machines, at least one; `gatewayName` is the name of this gateway. Both
  // enter the hash.
  ControlPlaneEndpoints(const std::vector<std::string>& addresses, const std::string& gatewayName,
                        const BackoffSettings& settings);

  struct Choice {
    std::size_t endpoint = 0;  // index into the addresses
    Time notBefore{};          // earliest time to poll it
  };
  // Returns the most preferred machine that is not in backoff, otherwise the one whose backoff ends first. A
  // machine other than the one polled last is polled after a random delay; without it all gateways of a
  // failed machine would reach the next one at the same time. `randomFraction` is uniformly distributed in
  // [0, 1).
  Choice choose(Time now, double randomFraction) const;

  void onPolled(std::size_t endpoint) { lastPolled_ = endpoint; }
  void onSuccess(std::size_t endpoint) { states_[endpoint].consecutiveFailures = 0; }
  // The machine was unresponsive, refused the poll, lags behind, or sent an invalid update.
  void onFailure(std::size_t endpoint, Time now, double randomFraction);
  // The machine responded with a Retry-After header.
  void onRetryAfter(std::size_t endpoint, Time now, Duration retryAfter, double randomFraction);

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
