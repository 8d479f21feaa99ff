// Exponential backoff for hosts that reject attempts for lack of capacity. Inputs are the outcomes of their
// attempts. Without it, a host that stays full, or drains without notice, would look idle and attract
// attempts.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/host.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class CapacityBackoff {
 public:
  // Consecutive rejections after which a host backs off; fewer are taken for a short peak.
  static constexpr int kMinRejections = 3;

  static void onServed(Host& host) { host.capacity.consecutiveRejections = 0; }

  // Draws one random number per backoff.
  static void onRejected(Host& host, Time now, RandomSource& random) {
    HostCapacity& capacity = host.capacity;
    if (++capacity.consecutiveRejections < kMinRejections) return;
    const int doublings = std::min(capacity.consecutiveRejections - kMinRejections, kMaxDoublings);
    capacity.backoffUntil = now + scaled(kFirstBackoff * (1 << doublings), 0.5 + random.unit());
  }

  // A gateway that uses a subset of the hosts could not reach the host, which backs off immediately. Each
  // such gateway discovers the loss of a zone on its own, and until the hosts are ejected all of its retries
  // would go there.
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
