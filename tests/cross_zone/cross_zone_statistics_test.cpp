#include "cross_zone/cross_zone_statistics.hpp"

#include <gtest/gtest.h>

namespace finchstile::cross_zone {
namespace {

TEST(CrossZoneAccount, ReportsCountsByClassAndZone) {
  CrossZoneStatistics statistics({"cut-plan", "log-in"});
  statistics.recordLocalAttempt(1);
  statistics.recordLocalAttempt(1);
  statistics.recordAttempt(0, "cluj", 300, false);
  statistics.recordAttempt(0, "cluj", 200, true);
  statistics.recordResponse(0, "cluj", 5000);
  statistics.recordAttempt(1, "brasov", 100, false);
  EXPECT_EQ(statistics.total().attempts, 3u);
  EXPECT_EQ(statistics.localAttempts(), 2u);
  EXPECT_EQ(statistics.report(),
            (std::vector<std::string>{"crossing class=cut-plan zone=cluj attempts=2 forced=1 out=500 in=5000",
                                      "crossing class=log-in zone=brasov attempts=1 forced=0 out=100 in=0",
                                      "crossing all attempts=3 forced=1 out=600 in=5000 stayed=2"}));
  const std::string text = statistics.exposition();
  EXPECT_EQ(text,
            "# TYPE lb_crossing_attempts_total counter\n"
            "# TYPE lb_crossing_bytes_total counter\n"
            "lb_crossing_attempts_total{group=\"cut-plan\",zone=\"cluj\",leave=\"given\"} 1\n"
            "lb_crossing_attempts_total{group=\"cut-plan\",zone=\"cluj\",leave=\"forced\"} 1\n"
            "lb_crossing_bytes_total{group=\"cut-plan\",zone=\"cluj\",way=\"out\"} 500\n"
            "lb_crossing_bytes_total{group=\"cut-plan\",zone=\"cluj\",way=\"in\"} 5000\n"
            "lb_crossing_attempts_total{group=\"log-in\",zone=\"brasov\",leave=\"given\"} 1\n"
            "lb_crossing_attempts_total{group=\"log-in\",zone=\"brasov\",leave=\"forced\"} 0\n"
            "lb_crossing_bytes_total{group=\"log-in\",zone=\"brasov\",way=\"out\"} 100\n"
            "lb_crossing_bytes_total{group=\"log-in\",zone=\"brasov\",way=\"in\"} 0\n");
  EXPECT_NE(text.find("lb_crossing_bytes_total{group=\"cut-plan\",zone=\"cluj\",way=\"in\"} 5000\n"),
            std::string::npos);
  EXPECT_NE(text.find("lb_crossing_attempts_total{group=\"cut-plan\",zone=\"cluj\",leave=\"forced\"} 1\n"),
            std::string::npos);
}

// Endpoint lists may keep introducing new zone names.
TEST(CrossZoneAccount, CountsZonesBeyondTheMaximumAsOther) {
  CrossZoneStatistics statistics({"x"});
  for (int i = 0; i < 10000; ++i) statistics.recordAttempt(0, "zone-" + std::to_string(i), 1, false);
  EXPECT_EQ(statistics.total().attempts, 10000u);
  EXPECT_EQ(statistics.report().size(), CrossZoneStatistics::kMaxZones + 1);
  EXPECT_NE(statistics.exposition().find("zone=\"other\""), std::string::npos);
}

}  // namespace
}  // namespace finchstile::cross_zone
