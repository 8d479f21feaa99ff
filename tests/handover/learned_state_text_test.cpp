// Encoding and decoding of the learned state that a process passes to its successor.
#include "handover/learned_state_text.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace finchstile::handover {
namespace {

using load_balancing::LearnedState;

LearnedState exampleState() {
  LearnedState state;
  state.age = std::chrono::seconds(40);
  state.arrivalRate = 20.5;
  state.answers = 900;
  state.inTimeRate = 210;
  state.servedFraction = 0.97;
  state.classes = {{"cut-plan", 0.08, 0, 0.01, std::chrono::milliseconds(1200)}};
  state.machineTypes = {{"std-4c", 31, 0.9}};
  state.priorityLevels = {{1, 20}, {12, 5}};
  state.hosts = {{"s-1", std::chrono::seconds(9), 1.5, 0.1, 22, std::chrono::seconds(2), 1}};
  return state;
}

TEST(LearnedStateText, DecodesEncodedState) {
  const auto decoded = decodeLearnedState(encodeLearnedState(exampleState()).text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->age, exampleState().age);
  EXPECT_EQ(decoded->arrivalRate, 20.5);
  EXPECT_EQ(decoded->classes[0].name, "cut-plan");
  EXPECT_EQ(decoded->classes[0].typicalTimeLeft, std::chrono::milliseconds(1200));
  EXPECT_EQ(decoded->machineTypes[0].provenRate, 31);
  EXPECT_EQ(decoded->priorityLevels[1].priorityWeight, 12);
  EXPECT_EQ(decoded->hosts[0].address, "s-1");
  EXPECT_EQ(decoded->hosts[0].ejectedFor, std::chrono::seconds(2));
}

// The two processes may be of different releases, so the format is compared with a literal text.
TEST(LearnedStateText, EncodesLiteralText) {
  const std::string expectedText =
      R"({"age":40000000000,"classes":[["cut-plan",0.08,0.0,0.01,1200000000]],)"
      R"("hosts":[["s-1",9000000000,1.5,0.1,22.0,2000000000,1]],"kinds":[["std-4c",31.0,0.9]],)"
      R"("levels":[[1.0,20.0],[12.0,5.0]],"pool":[20.5,0.0,900.0,210.0,0.0,0.0,0.0,0.97],"v":1})";
  EXPECT_EQ(encodeLearnedState(exampleState()).text, expectedText);
  EXPECT_TRUE(decodeLearnedState(expectedText));
}

TEST(LearnedStateText, RejectsIncompleteAndInvalidText) {
  const std::string completeText = encodeLearnedState(exampleState()).text;
  for (std::size_t length = 0; length < completeText.size(); ++length)
    EXPECT_FALSE(decodeLearnedState(completeText.substr(0, length))) << length;
  for (const char* invalidText : {"null", "[]", "{}", "{\"v\":2}", "{\"v\":1,\"age\":\"x\"}"})
    EXPECT_FALSE(decodeLearnedState(invalidText)) << invalidText;
  LearnedState stateWithNan = exampleState();
  stateWithNan.inTimeRate = std::nan("");
  const auto decoded = decodeLearnedState(encodeLearnedState(stateWithNan).text);
  ASSERT_TRUE(decoded);
  EXPECT_TRUE(std::isnan(decoded->inTimeRate));
}

TEST(LearnedStateText, OmitsHostsThatDoNotFit) {
  LearnedState state = exampleState();
  state.hosts.resize(10'000, state.hosts[0]);
  const auto [text, omittedHosts] = encodeLearnedState(state);
  EXPECT_LE(text.size(), kMaxLearnedStateBytes);
  const auto decoded = decodeLearnedState(text);
  ASSERT_TRUE(decoded);
  EXPECT_GT(decoded->hosts.size(), 500u);
  EXPECT_EQ(decoded->hosts.size() + omittedHosts, 10'000u);  // all omitted hosts are counted
}

// Only a few of thousands of hosts have learned values. All of these are passed on, whatever their position
// in the list.
TEST(LearnedStateText, KeepsHostsWithLearnedValuesAmongManyWithout) {
  LearnedState state = exampleState();
  state.hosts.clear();
  for (int i = 0; i < 4096; ++i)
    state.hosts.push_back({"host-with-a-long-name-" + std::to_string(i), {}, 1, 0, 0, {}, 0});
  state.hosts[4000].answerRate = 3;
  state.hosts[4095].ejectedFor = std::chrono::seconds(1);
  state.hosts[2048].answerRate = std::nan("");
  const auto [text, omittedHosts] = encodeLearnedState(state);
  EXPECT_EQ(omittedHosts, 0u);
  const auto decoded = decodeLearnedState(text);
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->hosts.size(), 3u);
  EXPECT_EQ(decoded->hosts[0].address, "host-with-a-long-name-4095");  // ejected hosts first
  EXPECT_EQ(decoded->hosts[1].address, "host-with-a-long-name-4000");
}

}  // namespace
}  // namespace finchstile::handover
