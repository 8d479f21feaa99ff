// What is known of the machines of one size. Nothing is decided here.
#pragma once

#include <string>

namespace finchstile::load_balancing {

struct MachineType {
  std::string name;
  double provenRate = 0;  // answers a second that a warm host of this type gave this gateway; by SlowStart
  double relativeLatency = 1;  // mean over the last fifty answers of its hosts; by TrafficStatistics
};

}  // namespace finchstile::load_balancing
