// Load observations for the host state tests.
#pragma once

#include "membership/host_state.hpp"

namespace finchstile::membership {

// Received at the time of the observation unless `receivedAt` is given.
inline LoadObservation loadOf(double queue, Time observedAt, Time receivedAt = {}) {
  LoadObservation load;
  load.report.queue = queue;
  load.observedAt = observedAt;
  load.receivedAt = receivedAt == Time{} ? observedAt : receivedAt;
  return load;
}

}  // namespace finchstile::membership
