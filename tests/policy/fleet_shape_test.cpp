// FleetShape: selection of rules by the number of gateways relative to the number of hosts.
#include "policy/fleet_shape.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

class FleetShapeTest : public ::testing::Test {
 protected:
  void setFleet(std::uint32_t gateways, int hostCount) {
    settings.gatewayCount = gateways;
    std::vector<HostEntry> entries;
    for (int i = 0; i < hostCount; ++i) entries.push_back(makeHost(i));
    hosts.apply(HostListUpdate::complete, entries, [](Host&) {});
  }

  Settings settings = makeSettings();
  HostRegistry hosts{"east"};
  FleetShape shape{settings, hosts};
};

TEST_F(FleetShapeTest, SmallClusterUsesAllHosts) {
  setFleet(32, 40);
  EXPECT_FALSE(shape.gatewaysOutnumberHosts());
  EXPECT_FALSE(shape.isLargeCluster());
  EXPECT_FALSE(shape.usesSubsets());
}

TEST_F(FleetShapeTest, LargeClusterUsesSubsets) {
  setFleet(33, 40);
  EXPECT_FALSE(shape.gatewaysOutnumberHosts());
  EXPECT_TRUE(shape.usesSubsets());
  setFleet(8, 7);
  EXPECT_TRUE(shape.gatewaysOutnumberHosts());
  EXPECT_TRUE(shape.usesSubsets());
}

TEST_F(FleetShapeTest, LoadProbingReplacesSubsets) {
  settings.peerMessagesEnabled = true;
  setFleet(100, 20);
  EXPECT_TRUE(shape.probesLoad());
  EXPECT_TRUE(shape.usesGroupTrackers());
  EXPECT_FALSE(shape.usesSubsets());
  settings.probingEnabled = true;
  EXPECT_TRUE(shape.probesLoad());
  EXPECT_FALSE(shape.usesGroupTrackers()) << "probes take precedence over trackers";
  setFleet(100, 200);
  EXPECT_FALSE(shape.probesLoad()) << "there are more hosts than gateways";
  EXPECT_TRUE(shape.usesSubsets());
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
