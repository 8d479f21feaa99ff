// The endpoint list that travels to a successor in parts.
#include "handover/host_list_parts.hpp"

#include <gtest/gtest.h>

#include "handover/learned_state_text.hpp"

namespace finchstile::handover {
namespace {

HostListPart part(std::size_t index, std::size_t count, const std::string& list) {
  return {"10.2.0.1:8500", index, count, list};
}

TEST(HostListParts, AssemblesPartsThatCameInOrder) {
  HostListParts parts;
  EXPECT_FALSE(parts.add(part(0, 2, "a")));
  EXPECT_EQ(parts.add(part(1, 2, "b")), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(parts.add(part(0, 1, "c")), (std::vector<std::string>{"c"}));
}

TEST(HostListParts, DiscardsPartsThatAreOutOfOrder) {
  HostListParts parts;
  EXPECT_FALSE(parts.add(part(1, 2, "b")));
  EXPECT_FALSE(parts.add(part(0, 3, "a")));
  EXPECT_FALSE(parts.add(part(2, 3, "c")));
  EXPECT_FALSE(parts.add(part(1, 3, "b")));
  EXPECT_FALSE(parts.add(part(0, 0, "a")));
}

TEST(HostListPart, SurvivesEncodingAndIsNoLearnedState) {
  const std::string text = encodeHostListPart(part(3, 7, "{\"index\":1}"));
  const auto decoded = decodeHostListPart(text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->discovery, "10.2.0.1:8500");
  EXPECT_EQ(decoded->index, 3u);
  EXPECT_EQ(decoded->count, 7u);
  EXPECT_EQ(decoded->list, "{\"index\":1}");
  EXPECT_FALSE(decodeLearnedState(text));  // a successor of an earlier release ignores it
  for (const char* const bad : {"", "[]", "{}", "{\"hostList\":1}", "{\"hostList\":\"x\",\"part\":-1}"})
    EXPECT_FALSE(decodeHostListPart(bad)) << bad;
}

}  // namespace
}  // namespace finchstile::handover
