// Settings and statistics of one class of requests.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

struct TrafficClass {
  ClassSettings settings;        // including changes by DynamicSettings
  double typicalLatency = 0;     // in seconds, of a request of mean work; 0 before the first answer
  double meanExpectedWork = 0;   // seconds
  Duration typicalTimeLeft{};    // time left of a typical request; by LateRetryDetector
  double lateRetryFraction = 0;  // among recent requests; by LateRetryDetector
};

}  // namespace finchstile::load_balancing
