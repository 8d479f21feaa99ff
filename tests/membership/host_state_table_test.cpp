// Effective phases and loads after lists, peer reports and restarts in any order.
#include "membership/host_state_table.hpp"

#include <gtest/gtest.h>

#include <string>

#include "membership/host_state_fixtures.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(HostStateTable, OnlyAnEndpointListAddsAHost) {
  HostStateTable table({});
  EXPECT_FALSE(table.onLoadReport("a", {}, loadOf(1, seconds(10))));
  EXPECT_FALSE(table.onPeerPhase("a", {}, {HostPhase::active, 5, seconds(10)}));
  EXPECT_EQ(table.phase("a", seconds(10)), HostPhase::removed);
  EXPECT_EQ(table.size(), 0u);
  table.onListed("a", {}, HostPhase::active, 1, seconds(10));
  EXPECT_TRUE(table.onLoadReport("a", {}, loadOf(1, seconds(10))));
  EXPECT_EQ(table.phase("a", seconds(10)), HostPhase::active);
}

TEST(HostStateTable, OlderListDoesNotUndoADrain) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::draining, 7, seconds(10));
  table.onListed("a", {}, HostPhase::active, 6, seconds(11));
  EXPECT_EQ(table.phase("a", seconds(11)), HostPhase::draining);
  table.onListed("a", {}, HostPhase::active, 7, seconds(11));  // two phases in the same version
  EXPECT_EQ(table.phase("a", seconds(11)), HostPhase::draining);
  table.onListed("a", {}, HostPhase::active, 8, seconds(12));
  EXPECT_EQ(table.phase("a", seconds(12)), HostPhase::active);
}

TEST(HostStateTable, CompleteListRemovesHostsThatItOmits) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::active, 7, seconds(10));
  table.onListed("b", {}, HostPhase::active, 7, seconds(10));
  table.onListed("b", {}, HostPhase::active, 8, seconds(11));
  table.onCompleteList(8, seconds(11));
  EXPECT_EQ(table.phase("a", seconds(11)), HostPhase::removed);
  EXPECT_EQ(table.phase("b", seconds(11)), HostPhase::active);
  table.onListed("a", {}, HostPhase::active, 7, seconds(12));  // a delayed older list
  EXPECT_EQ(table.phase("a", seconds(12)), HostPhase::removed);
}

TEST(HostStateTable, PeerPhaseCanOnlyWorsenThePhase) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::draining, 7, seconds(10));
  table.onPeerPhase("a", {}, {HostPhase::active, 9, seconds(10)});  // although from a newer list
  EXPECT_EQ(table.phase("a", seconds(10)), HostPhase::draining);
  table.onListed("b", {}, HostPhase::active, 7, seconds(10));
  table.onPeerPhase("b", {}, {HostPhase::draining, 6, seconds(10)});  // from a list older than the own one
  EXPECT_EQ(table.phase("b", seconds(10)), HostPhase::active);
  table.onPeerPhase("b", {}, {HostPhase::draining, 8, seconds(10)});
  EXPECT_EQ(table.phase("b", seconds(10)), HostPhase::draining);
  EXPECT_EQ(table.phase("b", seconds(21)), HostPhase::active);  // the peer phase has expired
  table.onPeerPhase("b", {}, {HostPhase::removed, 9, seconds(30)});
  EXPECT_EQ(table.phase("b", seconds(30)), HostPhase::removed);
  table.onListed("b", {}, HostPhase::active, 9, seconds(31));  // an own list of the same version
  EXPECT_EQ(table.phase("b", seconds(31)), HostPhase::active);
}

TEST(HostStateTable, IgnoresObservationsOfAnEarlierIncarnation) {
  HostStateTable table({});
  table.onListed("a", seconds(1), HostPhase::draining, 7, seconds(10));
  table.onLoadReport("a", seconds(1), loadOf(9, seconds(10)));
  table.onPeerPhase("a", seconds(1), {HostPhase::removed, 9, seconds(10)});
  table.onListed("a", seconds(12), HostPhase::active, 8, seconds(13));
  EXPECT_EQ(table.phase("a", seconds(13)), HostPhase::active);
  EXPECT_EQ(table.load("a", seconds(13)).confidence, 0);
  EXPECT_FALSE(table.onLoadReport("a", seconds(1), loadOf(9, seconds(13))));  // of the earlier process
  EXPECT_FALSE(table.onPeerPhase("a", seconds(1), {HostPhase::removed, 9, seconds(13)}));
  table.onListed("a", seconds(1), HostPhase::active, 9, seconds(14));  // a list cannot restore it either
  EXPECT_EQ(table.find("a")->incarnation, Time(seconds(12)));
}

TEST(HostStateTable, LatestLoadReportAppliesWhateverTheOrder) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::active, 1, seconds(10));
  EXPECT_TRUE(table.onLoadReport("a", {}, loadOf(5, seconds(12), seconds(13))));
  EXPECT_FALSE(table.onLoadReport("a", {}, loadOf(1, seconds(11), seconds(14))));
  EXPECT_EQ(table.load("a", seconds(12)).report.queue, 5);
  EXPECT_EQ(table.load("a", seconds(12)).confidence, 1);
  EXPECT_NEAR(table.load("a", seconds(12) + milliseconds(500)).confidence, 0.5, 1e-9);
  EXPECT_EQ(table.load("a", seconds(14)).confidence, 0);
  EXPECT_EQ(table.load("a", seconds(14)).age, Duration(seconds(2)));
  EXPECT_EQ(table.load("a", seconds(11)).confidence, 1);  // the clock has stepped back
}

TEST(HostStateTable, ErasesRemovedHostsAndBoundsTheTable) {
  HostStateTable::Limits limits;
  limits.maxHosts = 10;
  HostStateTable table(limits);
  for (int i = 0; i < 20; ++i) table.onListed("h" + std::to_string(i), {}, HostPhase::active, 1, seconds(10));
  EXPECT_EQ(table.size(), 10u);
  EXPECT_EQ(table.droppedHosts(), 10u);
  table.onCompleteList(2, seconds(20));
  table.removeExpired(seconds(139));
  EXPECT_EQ(table.size(), 10u);
  table.removeExpired(seconds(140));
  EXPECT_EQ(table.size(), 0u);
  table.onListed("new", {}, HostPhase::active, 3, seconds(141));
  EXPECT_EQ(table.phase("new", seconds(141)), HostPhase::active);
}

// Lists with the new versions are newer than any earlier list.
TEST(HostStateTable, ResettingVersionsKeepsPhases) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::draining, 700, seconds(10));
  table.onListed("b", {}, HostPhase::active, 700, seconds(10));
  table.onPeerPhase("b", {}, {HostPhase::removed, 800, seconds(10)});
  table.resetVersions();
  EXPECT_EQ(table.phase("a", seconds(11)), HostPhase::draining);
  EXPECT_EQ(table.phase("b", seconds(11)), HostPhase::active);  // peer phases with old versions are dropped
  table.onListed("a", {}, HostPhase::active, 3, seconds(12));
  EXPECT_EQ(table.phase("a", seconds(12)), HostPhase::active);
}

TEST(HostStateTable, RepeatedPeerPhaseExpires) {
  HostStateTable table({});
  table.onListed("a", {}, HostPhase::active, 7, seconds(10));
  for (int s = 10; s < 40; ++s) {
    table.onPeerPhase("a", {}, {HostPhase::removed, 8, seconds(s)});
    EXPECT_EQ(table.phase("a", seconds(s)), s < 20 ? HostPhase::removed : HostPhase::active) << s;
  }
}

}  // namespace
}  // namespace finchstile::membership
