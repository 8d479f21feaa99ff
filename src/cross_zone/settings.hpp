// The part of the operator's file that is about traffic between zones: [crossing].
#pragma once

#include "operator/reader.hpp"

namespace finchstile::cross_zone {

using load_balancing::Duration;

struct CrossingSettings {
  bool enabled = false;
  // Bytes of requests and answers that may cross a second, on the average; 0: none unless service would fall.
  double bytesPerSecond = 0;
  // What was not used is saved up for so long, and what was used beyond is paid back for as long at the most.
  Duration window = std::chrono::seconds(10);
  // Part of what is saved up that is kept for requests of the highest worth.
  double reserve = 0.5;
};

void readCrossingSettings(SettingReader& root, CrossingSettings& out);

}  // namespace finchstile::cross_zone
