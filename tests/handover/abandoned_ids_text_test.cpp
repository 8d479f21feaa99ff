// Ids of requests whose clients have left, as one process tells them the other.
#include "handover/abandoned_ids_text.hpp"

#include <gtest/gtest.h>

#include "handover/learned_state_text.hpp"

namespace finchstile::handover {
namespace {

TEST(AbandonedIdsText, DecodesWhatItEncodes) {
  std::vector<AbandonedIdAge> ids;
  for (int i = 0; i < 3000; ++i) ids.push_back({"id-\"\\\x01-" + std::to_string(i), i});
  const auto texts = encodeAbandonedIds(ids);
  ASSERT_GT(texts.size(), 1u);
  std::size_t next = 0;
  for (const std::string& text : texts) {
    EXPECT_LE(text.size(), kMaxLearnedStateBytes);
    const auto part = decodeAbandonedIds(text);
    ASSERT_TRUE(part);
    for (const AbandonedIdAge& each : *part) {
      ASSERT_LT(next, ids.size());
      EXPECT_EQ(each.id, ids[next].id);
      EXPECT_EQ(each.ageMs, ids[next].ageMs);
      ++next;
    }
  }
  EXPECT_EQ(next, ids.size());
}

TEST(AbandonedIdsText, LeavesOutIdsThatFitIntoNoMessage) {
  EXPECT_TRUE(encodeAbandonedIds({{std::string(kMaxLearnedStateBytes, 'x'), 0}}).empty());
  EXPECT_TRUE(encodeAbandonedIds({}).empty());
}

TEST(AbandonedIdsText, RejectsOtherTexts) {
  for (const char* text : {"", "{}", "[]", "noise", R"({"abandonedIds":1})", R"({"abandonedIds":[["a"]]})",
                           R"({"abandonedIds":[[1,2]]})", R"({"hostList":"x"})"})
    EXPECT_FALSE(decodeAbandonedIds(text)) << text;
}

// Earlier releases, which know no such ids, must not take the text for learned state.
TEST(AbandonedIdsText, IsNoLearnedState) {
  const auto texts = encodeAbandonedIds({{"a", 5}});
  ASSERT_EQ(texts.size(), 1u);
  const auto learned = decodeLearnedState(texts[0]);
  EXPECT_TRUE(!learned || encodeLearnedState(*learned).text == encodeLearnedState({}).text);
}

}  // namespace
}  // namespace finchstile::handover
