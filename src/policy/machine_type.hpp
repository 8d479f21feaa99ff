// Statistics on the hosts of one machine type.
#pragma once

#include <string>

namespace finchstile::load_balancing {

struct MachineType {
  std::string name;
  double provenRate = 0;  // recent peak of answers per second of a warm host to this gateway; by SlowStart
  double relativeLatency = 1;  // mean over about the last fifty answers of its hosts; by TrafficStatistics
};

}  // namespace finchstile::load_balancing
