// What is known of the requests of one class. Nothing is decided here.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

struct TrafficClass {
  ClassSettings settings;        // as last changed by DynamicSettings
  double typicalLatency = 0;     // seconds, of a request of mean work; 0 until the first answer
  double meanExpectedWork = 0;   // seconds
  Duration typicalTimeLeft{};    // that clients give an attempt; by LateRetryDetector
  double lateRetryFraction = 0;  // of its recent requests; by LateRetryDetector
};

}  // namespace finchstile::load_balancing
