// Decides how much of its client's patience a request had spent before it came, from the time that the client
// leaves it. What was spent counts against the latency objective: a late retry earns less.
//
// A client gives a first request a fixed time, and a retry only what is left of its total wait
// (clientTimeout). So a request whose time is not the typical one of its class, a running median, is taken
// for a late retry.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/traffic_class.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class LateRetryDetector {
 public:
  // The time that the client of an arriving request has spent on earlier attempts. Updates the class's
  // typical time and fraction of late retries.
  static Duration timeSpentBefore(TrafficClass& trafficClass, Duration timeLeft) {
    const ClassSettings& settings = trafficClass.settings;
    Duration& typical = trafficClass.typicalTimeLeft;
    if (typical == Duration{}) typical = timeLeft;
    const Duration tolerance = scaled(settings.clientTimeout, kToleranceFraction);
    const bool isTypical = timeLeft > typical - tolerance && timeLeft < typical + tolerance;
    Duration spent = isTypical ? Duration{} : std::max(settings.clientTimeout - timeLeft, Duration{});
    const bool isLate = spent > scaled(settings.latencyObjective, kLateObjectiveFraction);
    trafficClass.lateRetryFraction +=
        kFiftySampleGain * ((isLate ? 1.0 : 0.0) - trafficClass.lateRetryFraction);
    // Late retries follow requests that went unserved for long and cannot be a large part of the traffic.
    // Beyond, clients have turned impatient, many at once, and none of them is to be rejected for it.
    if (isLate && trafficClass.lateRetryFraction > kMaxLateFraction) spent = {};
    typical += timeLeft < typical ? -tolerance / 8 : tolerance / 8;
    return spent;
  }

 private:
  static constexpr double kToleranceFraction = 0.02;     // of the client's total wait
  static constexpr double kLateObjectiveFraction = 0.5;  // spent more than this of the objective: late
  static constexpr double kMaxLateFraction = 0.2;        // of the recent requests of a class
};

}  // namespace finchstile::load_balancing
