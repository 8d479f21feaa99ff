#include "cross_zone/settings.hpp"

namespace finchstile::cross_zone {
namespace {

constexpr double kMaxBytesPerSecond = 1e12;
constexpr std::chrono::seconds kMinWindow(1);
constexpr std::chrono::hours kMaxWindow(1);

}  // namespace

void readCrossZoneSettings(SettingReader& root, CrossZoneSettings& out) {
  root.table("crossing", [&](SettingReader& table) {
    table.boolean("enabled", out.enabled);
    table.number("bytes_per_second", out.bytesPerSecond, 0, kMaxBytesPerSecond);
    table.duration("window", out.window, kMinWindow, kMaxWindow);
    table.number("reserve", out.reserveFraction, 0, 1);
  });
}

}  // namespace finchstile::cross_zone
