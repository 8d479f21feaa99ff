// Factors between units of measure.
#pragma once

namespace finchstile::bench {

constexpr double kNanosecondsPerMicrosecond = 1e3;
constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kBytesPerMegabyte = 1e6;

}  // namespace finchstile::bench
