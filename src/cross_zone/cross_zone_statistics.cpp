#include "cross_zone/cross_zone_statistics.hpp"

#include <numeric>

#include "base/metric_label.hpp"

namespace finchstile::cross_zone {
namespace {

constexpr std::string_view kOtherZones = "other";

std::string field(std::string_view name, std::uint64_t value) {
  return " " + std::string(name) + "=" + std::to_string(value);
}

std::string fields(const CrossZoneCounts& counts) {
  return field("attempts", counts.attempts) + field("forced", counts.attemptsOverBudget) +
         field("out", counts.requestBytes) + field("in", counts.responseBytes);
}

std::string sample(const std::string& metric, const std::string& labels, std::uint64_t value) {
  return metric + "{" + labels + "} " + std::to_string(value) + "\n";
}

}  // namespace

CrossZoneCounts& CrossZoneCounts::operator+=(const CrossZoneCounts& other) {
  attempts += other.attempts;
  attemptsOverBudget += other.attemptsOverBudget;
  requestBytes += other.requestBytes;
  responseBytes += other.responseBytes;
  return *this;
}

CrossZoneCounts& CrossZoneStatistics::countsOf(std::uint32_t classIndex, std::string_view zone) {
  auto found = zones_.find(zone);
  // Zone names come from the endpoint list. The cap bounds memory if the list keeps introducing new names.
  if (found == zones_.end() && zones_.size() >= kMaxZones) found = zones_.find(kOtherZones);
  if (found == zones_.end()) {
    const bool last = zones_.size() + 1 >= kMaxZones;
    found = zones_.emplace(last ? kOtherZones : zone, CountsByClass(classes_.size())).first;
  }
  return found->second.at(classIndex);
}

void CrossZoneStatistics::recordAttempt(std::uint32_t classIndex, std::string_view zone,
                                        std::uint64_t requestBytes, bool overBudget) {
  CrossZoneCounts& counts = countsOf(classIndex, zone);
  ++counts.attempts;
  if (overBudget) ++counts.attemptsOverBudget;
  counts.requestBytes += requestBytes;
}

void CrossZoneStatistics::recordResponse(std::uint32_t classIndex, std::string_view zone,
                                         std::uint64_t responseBytes) {
  countsOf(classIndex, zone).responseBytes += responseBytes;
}

CrossZoneCounts CrossZoneStatistics::total() const {
  CrossZoneCounts total;
  for (const auto& [zone, countsByClass] : zones_)
    for (const CrossZoneCounts& counts : countsByClass) total += counts;
  return total;
}

std::uint64_t CrossZoneStatistics::localAttempts() const {
  return std::accumulate(localAttempts_.begin(), localAttempts_.end(), std::uint64_t{0});
}

std::vector<std::string> CrossZoneStatistics::report() const {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < classes_.size(); ++i)
    for (const auto& [zone, countsByClass] : zones_)
      if (countsByClass[i].attempts > 0)
        lines.push_back("crossing class=" + classes_[i] + " zone=" + zone + fields(countsByClass[i]));
  lines.push_back("crossing all" + fields(total()) + field("stayed", localAttempts()));
  return lines;
}

std::string CrossZoneStatistics::exposition() const {
  static const std::string kAttempts = "lb_crossing_attempts_total";
  static const std::string kBytes = "lb_crossing_bytes_total";
  std::string text = "# TYPE " + kAttempts + " counter\n# TYPE " + kBytes + " counter\n";
  for (std::size_t i = 0; i < classes_.size(); ++i)
    for (const auto& [zone, countsByClass] : zones_) {
      const CrossZoneCounts& counts = countsByClass[i];
      if (counts.attempts == 0) continue;
      const std::string labels =
          "group=\"" + metricLabel(classes_[i]) + "\",zone=\"" + metricLabel(zone) + "\",";
      text += sample(kAttempts, labels + "leave=\"given\"", counts.attempts - counts.attemptsOverBudget);
      text += sample(kAttempts, labels + "leave=\"forced\"", counts.attemptsOverBudget);
      text += sample(kBytes, labels + "way=\"out\"", counts.requestBytes);
      text += sample(kBytes, labels + "way=\"in\"", counts.responseBytes);
    }
  return text;
}

}  // namespace finchstile::cross_zone
