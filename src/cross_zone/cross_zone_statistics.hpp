// Counts the attempts and bytes that went from the local zone to others, by request class and zone. No I/O.
// Bounded: all zones beyond kMaxZones count as the zone "other".
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::cross_zone {

struct CrossZoneCounts {
  std::uint64_t attempts = 0;            // sent to another zone
  std::uint64_t attemptsOverBudget = 0;  // of `attempts`: the local zone could not serve the request
  std::uint64_t requestBytes = 0;
  std::uint64_t responseBytes = 0;

  CrossZoneCounts& operator+=(const CrossZoneCounts& other);
};

class CrossZoneStatistics {
 public:
  static constexpr std::size_t kMaxZones = 64;

  // `classes`: the names of the request classes. Every `classIndex` below is an index into it.
  explicit CrossZoneStatistics(std::vector<std::string> classes)
      : classes_(std::move(classes)), localAttempts_(classes_.size()) {}

  void recordLocalAttempt(std::uint32_t classIndex) { ++localAttempts_.at(classIndex); }
  void recordAttempt(std::uint32_t classIndex, std::string_view zone, std::uint64_t requestBytes,
                     bool overBudget);
  void recordResponse(std::uint32_t classIndex, std::string_view zone, std::uint64_t responseBytes);

  CrossZoneCounts total() const;
  std::uint64_t localAttempts() const;

  // Log lines: one for each class and zone with attempts, and one with the totals.
  // docs/operators/cross_zone.md specifies the format, which operators may parse:
  //   crossing class=log-in zone=cluj attempts=12 forced=0 out=2400 in=960
  std::vector<std::string> report() const;

  // The counts in the Prometheus text exposition format:
  //   lb_crossing_bytes_total{group="log-in",zone="cluj",way="out"} 2400
  std::string exposition() const;

 private:
  using CountsByClass = std::vector<CrossZoneCounts>;

  CrossZoneCounts& countsOf(std::uint32_t classIndex, std::string_view zone);

  std::vector<std::string> classes_;
  std::vector<std::uint64_t> localAttempts_;  // by class
  std::map<std::string, CountsByClass, std::less<>> zones_;
};

}  // namespace finchstile::cross_zone
