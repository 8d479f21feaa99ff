// Estimates how much of its client's total wait was spent before a request arrived, from the time that the
// client has left for it. The time spent counts against the latency objective, which lowers the value of a
// late retry.
//
// A client gives a first request a fixed timeout, and a retry only the rest of its total wait
// (clientTimeout). So a request whose time left differs from the running median of its class is taken for a
// late retry.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/traffic_class.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class LateRetryDetector {
 public:
  // Returns the time that the client spent on earlier attempts. Updates the class's typical time left and its
  // fraction of late retries.
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
    // Late retries follow requests that went unserved for long, so they cannot be a large part of the
    // traffic. A larger fraction means that many clients have shortened their timeouts, which is no reason to
    // reject them.
    if (isLate && trafficClass.lateRetryFraction > kMaxLateFraction) spent = {};
    typical += timeLeft < typical ? -tolerance / 8 : tolerance / 8;
    return spent;
  }

 private:
  static constexpr double kToleranceFraction = 0.02;     // of the client's total wait
  static constexpr double kLateObjectiveFraction = 0.5;  // of the objective; late if more was spent
  static constexpr double kMaxLateFraction = 0.2;        // of the recent requests of a class
};

}  // namespace finchstile::load_balancing
