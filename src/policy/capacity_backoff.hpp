// Decides when a host that rejects attempts for lack of capacity is sent some again. Inputs are the outcomes
// of its attempts. Without it, a host that stays full, or drains without notice, would look idle.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/host.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class CapacityBackoff {
 public:
  // Rejections in a row from which on a host backs off; fewer are a short peak.
  static constexpr int kMinRejections = 3;

  static void onServed(Host& host) { host.capacity.consecutiveRejections = 0; }

  // Draws once for each backoff.
  static void onRejected(Host& host, Time now, RandomSource& random) {
    HostCapacity& capacity = host.capacity;
    if (++capacity.consecutiveRejections < kMinRejections) return;
    const int doublings = std::min(capacity.consecutiveRejections - kMinRejections, kMaxDoublings);
    capacity.backoffUntil = now + scaled(kFirstBackoff * (1 << doublings), 0.5 + random.unit());
  }

  // The host could not be reached by a gateway that keeps to a subset. Each such gateway meets a lost zone by
  // itself, and until its hosts are ejected all retries would go there: the host backs off at once.
  static void onUnreachable(Host& host, Time now, RandomSource& random) {
    HostCapacity& capacity = host.capacity;
    capacity.consecutiveRejections = std::max(capacity.consecutiveRejections, kMinRejections - 1);
    onRejected(host, now, random);
  }

  static bool isBackingOff(const Host& host, Time now) { return now < host.capacity.backoffUntil; }

  static void onHostStarted(Host& host) { host.capacity.consecutiveRejections = 0; }

 private:
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);  // the latency of an unloaded host
  static constexpr int kMaxDoublings = 5;
};

}  // namespace finchstile::load_balancing
