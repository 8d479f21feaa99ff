#include "cross_zone/settings.hpp"

namespace finchstile::cross_zone {

void readCrossingSettings(SettingReader& root, CrossingSettings& out) {
  root.table("crossing", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    r.number("bytes_per_second", out.bytesPerSecond, 0, 1e12);
    r.duration("window", out.window, std::chrono::seconds(1), std::chrono::hours(1));
    r.number("reserve", out.reserve, 0, 1);
  });
}

}  // namespace finchstile::cross_zone
