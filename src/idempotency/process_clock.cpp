#include "idempotency/process_clock.hpp"

#include <chrono>
#include <utility>

#include "net/config.hpp"

namespace finchstile::idempotency {
namespace {

// A request that is sent right before its client's timeout ends within this time after it.
constexpr Duration kCompletionMargin = std::chrono::seconds(1);

}  // namespace

TimeBase clockTimeBase(const Clock& clock, std::string bootId) {
  const std::chrono::nanoseconds steadyEpoch = clock.steady(Time{}).time_since_epoch();
  return {std::move(bootId), steadyEpoch.count(), clock.unixAt(Time{}).count()};
}

Duration maxRequestDuration(const load_balancing::Settings& settings) {
  return longestClientTimeout(settings) + kCompletionMargin;
}

}  // namespace finchstile::idempotency
