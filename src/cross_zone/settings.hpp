// The settings of traffic between zones: [crossing] of the operator's file.
#pragma once

#include "operator/reader.hpp"

namespace finchstile::cross_zone {

using load_balancing::Duration;

struct CrossZoneSettings {
  bool enabled = false;
  // Average rate of request and response bytes that may cross zones. 0: none, unless requests would fail
  // otherwise.
  double bytesPerSecond = 0;
  // Unused budget accumulates for up to this time, and overdraft is paid back for no longer.
  Duration window = std::chrono::seconds(10);
  // Fraction of a full budget that is kept for requests of the highest priority weight.
  double reserveFraction = 0.5;
};

// Reads the table [crossing] of `root`, which collects the errors. Settings that are absent keep their values
// in `out`.
void readCrossZoneSettings(SettingReader& root, CrossZoneSettings& out);

}  // namespace finchstile::cross_zone
