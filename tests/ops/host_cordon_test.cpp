// Effective phases of cordoned hosts, and the state shared between processes.
#include "ops/host_cordon.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace finchstile::ops {
namespace {

using load_balancing::HostEntry;
using load_balancing::HostPhase;
using std::chrono::seconds;

HostEntry makeEntry(const std::string& name, HostPhase phase = HostPhase::active, Time startTime = {}) {
  HostEntry hostEntry;
  hostEntry.address = name;
  hostEntry.phase = phase;
  hostEntry.startedAt = startTime;
  return hostEntry;
}

HostPhase effectivePhase(const HostCordon& cordons, HostPhase listed) {
  HostEntry hostEntry = makeEntry("a", listed);
  cordons.apply(hostEntry);
  return hostEntry.phase;
}

TEST(HostCordon, CordonedHostStaysCordonedWhateverItsListedPhase) {
  HostCordon cordons;
  EXPECT_TRUE(cordons.cordon("a"));
  EXPECT_EQ(effectivePhase(cordons, HostPhase::active), HostPhase::draining);
  EXPECT_EQ(effectivePhase(cordons, HostPhase::draining), HostPhase::draining);
  EXPECT_EQ(effectivePhase(cordons, HostPhase::removed),
            HostPhase::removed);  // a cordon does not reactivate a removed host
  EXPECT_EQ(effectivePhase(cordons, HostPhase::active),
            HostPhase::draining);  // the cordon survives a removal and a new entry
  HostEntry other = makeEntry("b");
  cordons.apply(other);
  EXPECT_EQ(other.phase, HostPhase::active);
}

TEST(HostCordon, OneUncordonEndsTwoCordons) {
  HostCordon cordons;
  cordons.cordon("a");
  cordons.cordon("a");
  EXPECT_EQ(cordons.count(), 1u);
  cordons.uncordon("a", seconds(10));
  EXPECT_FALSE(cordons.isCordoned("a"));
  EXPECT_EQ(effectivePhase(cordons, HostPhase::active), HostPhase::active);
  cordons.uncordon("a", seconds(20));  // a second call changes nothing
  HostEntry hostEntry = makeEntry("a");
  cordons.apply(hostEntry);
  EXPECT_EQ(hostEntry.startedAt, seconds(10));
}

// The host may have been restarted while it was cordoned, and the list reports that seconds late.
TEST(HostCordon, UncordonedHostCountsAsJustStarted) {
  HostCordon cordons;
  cordons.cordon("a");
  cordons.uncordon("a", seconds(100));
  HostEntry hostEntry = makeEntry("a", HostPhase::active, seconds(3));
  cordons.apply(hostEntry);
  EXPECT_EQ(hostEntry.startedAt, seconds(100));
  HostEntry later =
      makeEntry("a", HostPhase::active, seconds(101));  // a later start time in the list applies
  cordons.apply(later);
  EXPECT_EQ(later.startedAt, seconds(101));
  cordons.expire(seconds(105), seconds(9));
  EXPECT_TRUE(cordons.isTracked("a"));
  cordons.expire(seconds(110), seconds(9));
  EXPECT_FALSE(cordons.isTracked("a"));
}

TEST(HostCordon, LimitsTheNumberOfHosts) {
  HostCordon cordons;
  for (std::size_t i = 0; i < HostCordon::kMaxHosts; ++i)
    ASSERT_TRUE(cordons.cordon("h" + std::to_string(i)));
  EXPECT_FALSE(cordons.cordon("one more"));
  EXPECT_TRUE(cordons.cordon("h7"));
  EXPECT_EQ(cordons.count(), HostCordon::kMaxHosts);
}

TEST(HostCordon, NextProcessTakesOverCordonedHosts) {
  HostCordon first, next;
  const std::string unusualName("a b%\n\x01\xff", 7);
  first.cordon(unusualName);
  first.cordon("s-1");
  first.cordon("s-2");
  first.uncordon("s-2", seconds(1));
  ASSERT_TRUE(next.decode(first.encode(), seconds(5)));
  EXPECT_TRUE(next.isCordoned(unusualName));
  EXPECT_TRUE(next.isCordoned("s-1"));
  EXPECT_FALSE(next.isCordoned("s-2"));
  first.uncordon("s-1", seconds(6));
  ASSERT_TRUE(next.decode(first.encode(), seconds(7)));  // uncordoned in the other process
  EXPECT_FALSE(next.isCordoned("s-1"));
  HostEntry hostEntry = makeEntry("s-1");
  next.apply(hostEntry);
  EXPECT_EQ(hostEntry.startedAt, seconds(7));
}

// Processes of different releases share the file, so its format is compared with a literal text.
TEST(HostCordon, EncodesLiteralText) {
  HostCordon cordons;
  EXPECT_EQ(cordons.encode(), "finchstile-out 1\nend 0\n");
  cordons.cordon("s-2");
  cordons.cordon("a b%");
  EXPECT_EQ(cordons.encode(), "finchstile-out 1\nout a%20b%25\nout s-2\nend 2\n");
}

TEST(HostCordon, InvalidTextChangesNothing) {
  HostCordon cordons;
  cordons.cordon("a");
  cordons.cordon("b");
  const std::string completeText = cordons.encode();
  HostCordon other;
  other.cordon("c");
  for (std::size_t length = 0; length < completeText.size(); ++length) {
    EXPECT_FALSE(other.decode(completeText.substr(0, length), seconds(1))) << length;
    EXPECT_TRUE(other.isCordoned("c"));
    EXPECT_FALSE(other.isCordoned("a"));
  }
  for (const std::string invalidText : {"finchstile-out 2\nend 0\n", "finchstile-out 1\nout %4\nend 1\n",
                                        "finchstile-out 1\nend 1\n", "finchstile-out 1\nend 0\nx"})
    EXPECT_FALSE(other.decode(invalidText, seconds(1))) << invalidText;
  EXPECT_TRUE(other.decode(completeText, seconds(1)));
  EXPECT_FALSE(other.isCordoned("c"));
}

// Random cordons and uncordons in two processes that read each other's file: both always agree with a
// reference set.
TEST(HostCordon, TwoProcessesMatchReferenceSet) {
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 rng(seed);
    HostCordon processes[2];
    std::set<std::string> reference;
    std::string file = processes[0].encode();
    for (int step = 0; step < 60; ++step) {
      HostCordon& process = processes[rng() % 2];
      const Time now = seconds(step);
      ASSERT_TRUE(process.decode(file, now));
      const std::string host = "h" + std::to_string(rng() % 6);
      if (rng() % 2) process.cordon(host), reference.insert(host);
      else process.uncordon(host, now), reference.erase(host);
      file = process.encode();
      for (HostCordon& eachProcess : processes) {
        ASSERT_TRUE(eachProcess.decode(file, now));
        ASSERT_EQ(eachProcess.count(), reference.size());
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          ASSERT_EQ(eachProcess.isCordoned(name), reference.count(name) > 0);
        }
      }
    }
  }
}

}  // namespace
}  // namespace finchstile::ops
