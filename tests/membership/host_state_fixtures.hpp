// Load observations for the tests of host states.
#pragma once

#include "membership/host_state.hpp"

namespace finchstile::membership {

// Received when it was observed, unless `receivedAt` says otherwise.
inline LoadObservation loadOf(double queue, Time observedAt, Time receivedAt = {}) {
  LoadObservation load;
  load.report.queue = queue;
  load.observedAt = observedAt;
  load.receivedAt = receivedAt == Time{} ? observedAt : receivedAt;
  return load;
}

}  // namespace finchstile::membership
