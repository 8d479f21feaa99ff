#include "ops/hand_out.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace finchstile::ops {
namespace {

using ridgeshift::HostEntry;
using ridgeshift::Phase;
using std::chrono::seconds;

HostEntry entry(const std::string& name, Phase phase = Phase::in, Time since = {}) {
  HostEntry e;
  e.address = name;
  e.phase = phase;
  e.upSince = since;
  return e;
}

Phase inForce(const HandOut& out, Phase listed) {
  HostEntry e = entry("a", listed);
  out.apply(e);
  return e.phase;
}

TEST(HandOut, WhatIsOutStaysOutWhateverTheListSays) {
  HandOut out;
  EXPECT_TRUE(out.takeOut("a"));
  EXPECT_EQ(inForce(out, Phase::in), Phase::draining);
  EXPECT_EQ(inForce(out, Phase::draining), Phase::draining);
  EXPECT_EQ(inForce(out, Phase::out), Phase::out);      // never livelier than the list has it
  EXPECT_EQ(inForce(out, Phase::in), Phase::draining);  // listed again, started anew: all the same
  HostEntry other = entry("b");
  out.apply(other);
  EXPECT_EQ(other.phase, Phase::in);
}

TEST(HandOut, OneCallBackUndoesTwoCallsOut) {
  HandOut out;
  out.takeOut("a");
  out.takeOut("a");
  EXPECT_EQ(out.count(), 1u);
  out.putBack("a", seconds(10));
  EXPECT_FALSE(out.isOut("a"));
  EXPECT_EQ(inForce(out, Phase::in), Phase::in);
  out.putBack("a", seconds(20));  // once more changes nothing
  HostEntry e = entry("a");
  out.apply(e);
  EXPECT_EQ(e.upSince, seconds(10));
}

// It was restarted while it was out, and the list tells seconds late.
TEST(HandOut, WhoComesBackCountsAsJustStarted) {
  HandOut out;
  out.takeOut("a");
  out.putBack("a", seconds(100));
  HostEntry e = entry("a", Phase::in, seconds(3));
  out.apply(e);
  EXPECT_EQ(e.upSince, seconds(100));
  HostEntry later = entry("a", Phase::in, seconds(101));  // the list knows of a still later start
  out.apply(later);
  EXPECT_EQ(later.upSince, seconds(101));
  out.expire(seconds(105), seconds(9));
  EXPECT_TRUE(out.knows("a"));
  out.expire(seconds(110), seconds(9));
  EXPECT_FALSE(out.knows("a"));
}

TEST(HandOut, IsBounded) {
  HandOut out;
  for (std::size_t i = 0; i < HandOut::kMost; ++i) ASSERT_TRUE(out.takeOut("h" + std::to_string(i)));
  EXPECT_FALSE(out.takeOut("one more"));
  EXPECT_TRUE(out.takeOut("h7"));
  EXPECT_EQ(out.count(), HandOut::kMost);
}

TEST(HandOut, TheNextProcessTakesOverWhatIsOut) {
  HandOut first, next;
  const std::string odd("a b%\n\x01\xff", 7);
  first.takeOut(odd);
  first.takeOut("s-1");
  first.takeOut("s-2");
  first.putBack("s-2", seconds(1));
  ASSERT_TRUE(next.decode(first.encode(), seconds(5)));
  EXPECT_TRUE(next.isOut(odd));
  EXPECT_TRUE(next.isOut("s-1"));
  EXPECT_FALSE(next.isOut("s-2"));
  first.putBack("s-1", seconds(6));
  ASSERT_TRUE(next.decode(first.encode(), seconds(7)));  // called back at the other process
  EXPECT_FALSE(next.isOut("s-1"));
  HostEntry e = entry("s-1");
  next.apply(e);
  EXPECT_EQ(e.upSince, seconds(7));
}

TEST(HandOut, ATextThatIsNotWholeChangesNothing) {
  HandOut out;
  out.takeOut("a");
  out.takeOut("b");
  const std::string whole = out.encode();
  HandOut other;
  other.takeOut("c");
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    EXPECT_FALSE(other.decode(whole.substr(0, cut), seconds(1))) << cut;
    EXPECT_TRUE(other.isOut("c"));
    EXPECT_FALSE(other.isOut("a"));
  }
  for (const std::string bad : {"finchstile-out 2\nend 0\n", "finchstile-out 1\nout %4\nend 1\n",
                                "finchstile-out 1\nend 1\n", "finchstile-out 1\nend 0\nx"})
    EXPECT_FALSE(other.decode(bad, seconds(1))) << bad;
  EXPECT_TRUE(other.decode(whole, seconds(1)));
  EXPECT_FALSE(other.isOut("c"));
}

// Calls in any order at two processes that read each other's file: both always agree with a plain set.
TEST(HandOut, TwoProcessesAgreeWithAPlainSet) {
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 dice(seed);
    HandOut both[2];
    std::set<std::string> plain;
    std::string file = both[0].encode();
    for (int step = 0; step < 60; ++step) {
      HandOut& at = both[dice() % 2];
      const Time now = seconds(step);
      ASSERT_TRUE(at.decode(file, now));
      const std::string host = "h" + std::to_string(dice() % 6);
      if (dice() % 2) at.takeOut(host), plain.insert(host);
      else at.putBack(host, now), plain.erase(host);
      file = at.encode();
      for (HandOut& h : both) {
        ASSERT_TRUE(h.decode(file, now));
        ASSERT_EQ(h.count(), plain.size());
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          ASSERT_EQ(h.isOut(name), plain.count(name) > 0);
        }
      }
    }
  }
}

}  // namespace
}  // namespace finchstile::ops
