// Merging of duplicate entries in an endpoint list.
#include "membership/endpoint_list.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using std::chrono::seconds;

ListEntry entry(const std::string& name, HostPhase phase, const std::string& endpoint, Time startedAt) {
  ListEntry result;
  result.host.address = name;
  result.host.phase = phase;
  result.host.startedAt = startedAt;
  result.endpoint = endpoint;
  return result;
}

TEST(EndpointList, MergesDuplicatesIntoTheFirstEntry) {
  std::vector<ListEntry> entries = {
      entry("a", HostPhase::active, "e:1", seconds(5)), entry("b", HostPhase::active, "e:2", seconds(5)),
      entry("a", HostPhase::draining, "e:3", seconds(6)), entry("a", HostPhase::active, "e:4", seconds(4))};
  EXPECT_EQ(mergeDuplicates(entries), 2u);
  ASSERT_EQ(entries.size(), 2u);
  EXPECT_EQ(entries[0].host.address, "a");
  EXPECT_EQ(entries[0].host.phase, HostPhase::draining);
  EXPECT_EQ(entries[0].endpoint, "e:3");
  EXPECT_EQ(entries[0].host.startedAt, Time(seconds(6)));
  EXPECT_EQ(entries[1].host.address, "b");
}

TEST(EndpointList, KeepsEntriesOfDifferentHosts) {
  std::vector<ListEntry> entries = {entry("a", HostPhase::active, "e:1", {}),
                                    entry("b", HostPhase::active, "e:1", {})};
  EXPECT_EQ(mergeDuplicates(entries), 0u);
  EXPECT_EQ(entries.size(), 2u);
}

}  // namespace
}  // namespace finchstile::membership
