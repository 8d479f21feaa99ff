// Parsing of load reports, and rejection of malformed ones.
#include "membership/load_report.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace finchstile::membership {
namespace {

TEST(LoadReport, ReadsKnownValuesAndIgnoresOthers) {
  const auto report = parseLoadReport("inflight=7,queue=2,latency_ms=41.5");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->inflight, 7);
  EXPECT_EQ(report->queue, 2);
  EXPECT_EQ(report->latencyMs, 41.5);
  const auto partial = parseLoadReport(" queue=0 , util=0.61 ");
  ASSERT_TRUE(partial);
  EXPECT_EQ(partial->queue, 0);
  EXPECT_TRUE(std::isnan(partial->inflight));
  EXPECT_TRUE(std::isnan(partial->latencyMs));
}

TEST(LoadReport, DropsMalformedReports) {
  for (const char* text : {"", " ", "queue", "queue=", "=3", "queue=3,", ",queue=3", "queue=3;inflight=2",
                           "queue=-1", "queue=nan", "queue=inf", "queue=1e99", "queue=3x", "queue= 3",
                           "queue=3,queue=3", "queue=3,util=x", "queue==3", "noise \x01\xff"})
    EXPECT_FALSE(parseLoadReport(text)) << text;
  EXPECT_FALSE(parseLoadReport(std::string(300, 'a') + "=1"));
  EXPECT_FALSE(parseLoadReport(std::string_view("queue=1\0", 8)));
}

}  // namespace
}  // namespace finchstile::membership
