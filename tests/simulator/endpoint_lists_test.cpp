#include "simulator/endpoint_lists.hpp"

#include <gtest/gtest.h>

#include "simulator/protocol_line.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

TEST(EndpointLists, MapsProtocolNamesOfHostFields) {
  EndpointLists lists;
  lists.begin("buffer=3 rowsIn=1");
  EXPECT_TRUE(lists.expectsRows());
  lists.addRow("host=10.0.0.1:80 locality=north machine=big block=7 upSinceNs=5 phase=LAME");
  EXPECT_FALSE(lists.expectsRows());
  const std::vector<HostEntry>* const entries = lists.find(3);
  ASSERT_NE(entries, nullptr);
  ASSERT_EQ(entries->size(), 1u);
  const HostEntry& entry = entries->front();
  EXPECT_EQ(entry.address, "10.0.0.1:80");
  EXPECT_EQ(entry.zone, "north");
  EXPECT_EQ(entry.machineType, "big");
  EXPECT_EQ(entry.cell, 7);
  EXPECT_EQ(entry.startedAt, Time(5));
  EXPECT_EQ(entry.phase, HostPhase::draining);
}

TEST(EndpointLists, RejectsExcessRowsAndInvalidHosts) {
  EndpointLists lists;
  EXPECT_THROW(lists.addRow("host=a"), ProtocolError);
  EXPECT_THROW(lists.begin("buffer=16 rowsIn=1"), ProtocolError);
  lists.begin("buffer=0 rowsIn=2");
  EXPECT_THROW(lists.addRow("phase=IN"), ProtocolError);
  EXPECT_THROW(lists.addRow("host=a phase=AWAY"), ProtocolError);
  EXPECT_THROW(lists.addRow("host=a"), ProtocolError) << "both rows of the list were used";
}

TEST(EndpointLists, FindsOnlyListsThatHaveBegun) {
  EndpointLists lists;
  EXPECT_EQ(lists.find(0), nullptr);
  EXPECT_EQ(lists.find(EndpointLists::kMaxLists), nullptr);
  lists.begin("buffer=0 rowsIn=0");
  EXPECT_NE(lists.find(0), nullptr);
}

}  // namespace
}  // namespace finchstile::load_balancing::simulator
