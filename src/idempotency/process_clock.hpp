// What the log and the ownership of keys need to know of this process' times.
#pragma once

#include <string>

#include "finchstile/load_balancer.hpp"
#include "idempotency/log_record.hpp"
#include "net/clock.hpp"

namespace finchstile::idempotency {

// How a later process can read the times of `clock`. `bootId`: see TimeBase.
TimeBase clockTimeBase(const Clock& clock, std::string bootId);

// The longest time from the start of a run to its end. A request that is sent right before its client's
// timeout ends a little after it.
Duration maxRequestDuration(const load_balancing::Settings& settings);

}  // namespace finchstile::idempotency
