// Learned state as text between processes.
#include "handover/learned_state_text.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace finchstile::handover {
namespace {

using load_balancing::LearnedState;

LearnedState some() {
  LearnedState l;
  l.age = std::chrono::seconds(40);
  l.arrivalRate = 20.5;
  l.answers = 900;
  l.inTimeRate = 210;
  l.servedFraction = 0.97;
  l.classes = {{"cut-plan", 0.08, 0, 0.01, std::chrono::milliseconds(1200)}};
  l.machineTypes = {{"std-4c", 31, 0.9}};
  l.priorityLevels = {{1, 20}, {12, 5}};
  l.hosts = {{"s-1", std::chrono::seconds(9), 1.5, 0.1, 22, std::chrono::seconds(2), 1}};
  return l;
}

TEST(LearnedStateText, RoundTrips) {
  const auto back = decodeLearnedState(encodeLearnedState(some()).text);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->age, some().age);
  EXPECT_EQ(back->arrivalRate, 20.5);
  EXPECT_EQ(back->classes[0].name, "cut-plan");
  EXPECT_EQ(back->classes[0].typicalTimeLeft, std::chrono::milliseconds(1200));
  EXPECT_EQ(back->machineTypes[0].provenRate, 31);
  EXPECT_EQ(back->priorityLevels[1].priorityWeight, 12);
  EXPECT_EQ(back->hosts[0].address, "s-1");
  EXPECT_EQ(back->hosts[0].ejectedFor, std::chrono::seconds(2));
}

// The two processes may be of different versions, so the format is fixed by a literal text.
TEST(LearnedStateText, TextIsFixed) {
  const std::string fixed =
      R"({"age":40000000000,"classes":[["cut-plan",0.08,0.0,0.01,1200000000]],)"
      R"("hosts":[["s-1",9000000000,1.5,0.1,22.0,2000000000,1]],"kinds":[["std-4c",31.0,0.9]],)"
      R"("levels":[[1.0,20.0],[12.0,5.0]],"pool":[20.5,0.0,900.0,210.0,0.0,0.0,0.0,0.97],"v":1})";
  EXPECT_EQ(encodeLearnedState(some()).text, fixed);
  EXPECT_TRUE(decodeLearnedState(fixed));
}

TEST(LearnedStateText, RejectsIncompleteText) {
  const std::string whole = encodeLearnedState(some()).text;
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    EXPECT_FALSE(decodeLearnedState(whole.substr(0, cut))) << cut;
  for (const char* bad : {"null", "[]", "{}", "{\"v\":2}", "{\"v\":1,\"age\":\"x\"}"})
    EXPECT_FALSE(decodeLearnedState(bad)) << bad;
  LearnedState odd = some();
  odd.inTimeRate = std::nan("");
  const auto back = decodeLearnedState(encodeLearnedState(odd).text);
  ASSERT_TRUE(back);
  EXPECT_TRUE(std::isnan(back->inTimeRate));
}

TEST(LearnedStateText, OmitsHostsThatDoNotFit) {
  LearnedState l = some();
  l.hosts.resize(10'000, l.hosts[0]);
  const auto [text, leftOut] = encodeLearnedState(l);
  EXPECT_LE(text.size(), kMaxLearnedStateBytes);
  const auto back = decodeLearnedState(text);
  ASSERT_TRUE(back);
  EXPECT_GT(back->hosts.size(), 500u);
  EXPECT_EQ(back->hosts.size() + leftOut, 10'000u);  // all omitted hosts are counted
}

// A gateway that knows something of few hosts among thousands hands all of that over, wherever they stand in
// the list.
TEST(LearnedStateText, KeepsKnownHostsAmongManyUnknownOnes) {
  LearnedState l = some();
  l.hosts.clear();
  for (int i = 0; i < 4096; ++i)
    l.hosts.push_back({"host-with-a-long-name-" + std::to_string(i), {}, 1, 0, 0, {}, 0});
  l.hosts[4000].answerRate = 3;
  l.hosts[4095].ejectedFor = std::chrono::seconds(1);
  l.hosts[2048].answerRate = std::nan("");
  const auto [text, leftOut] = encodeLearnedState(l);
  EXPECT_EQ(leftOut, 0u);
  const auto back = decodeLearnedState(text);
  ASSERT_TRUE(back);
  ASSERT_EQ(back->hosts.size(), 3u);
  EXPECT_EQ(back->hosts[0].address, "host-with-a-long-name-4095");  // ejected hosts first
  EXPECT_EQ(back->hosts[1].address, "host-with-a-long-name-4000");
}

}  // namespace
}  // namespace finchstile::handover
