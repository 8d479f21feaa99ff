// Settings of the budget for traffic between zones: table [crossing] of the settings file.
#pragma once

#include "operator/reader.hpp"

namespace finchstile::cross_zone {

using load_balancing::Duration;

struct CrossZoneSettings {
  bool enabled = false;
  // Average rate of request and response bytes that may cross zones. 0: requests cross zones only if they
  // would fail otherwise.
  double bytesPerSecond = 0;
  // Unused budget accumulates for at most this long, and an overdraft is refilled within this time.
  Duration window = std::chrono::seconds(10);
  // Fraction of a full budget that is reserved for requests of the highest priority weight.
  double reserveFraction = 0.5;
};

// Reads the table [crossing] of `root`, which collects the errors. Absent settings keep their values in
// `out`.
void readCrossZoneSettings(SettingReader& root, CrossZoneSettings& out);

}  // namespace finchstile::cross_zone
