// Time values of this process that the idempotency log and key ownership need.
#pragma once

#include <string>

#include "finchstile/load_balancer.hpp"
#include "idempotency/log_record.hpp"
#include "net/clock.hpp"

namespace finchstile::idempotency {

// The time base by which a later process converts the times of `clock`. `bootId`: see TimeBase.
TimeBase clockTimeBase(const Clock& clock, std::string bootId);

// The longest time from the start of a run to its end: the longest client timeout and a margin for a request
// that is sent right before it.
Duration maxRequestDuration(const load_balancing::Settings& settings);

}  // namespace finchstile::idempotency
