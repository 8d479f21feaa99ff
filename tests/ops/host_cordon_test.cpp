#include "ops/host_cordon.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace finchstile::ops {
namespace {

using load_balancing::HostEntry;
using load_balancing::HostPhase;
using std::chrono::seconds;

HostEntry entry(const std::string& name, HostPhase phase = HostPhase::active, Time since = {}) {
  HostEntry e;
  e.address = name;
  e.phase = phase;
  e.startedAt = since;
  return e;
}

HostPhase inForce(const HostCordon& out, HostPhase listed) {
  HostEntry e = entry("a", listed);
  out.apply(e);
  return e.phase;
}

TEST(HostCordon, CordonedHostStaysCordonedWhateverTheListSays) {
  HostCordon out;
  EXPECT_TRUE(out.cordon("a"));
  EXPECT_EQ(inForce(out, HostPhase::active), HostPhase::draining);
  EXPECT_EQ(inForce(out, HostPhase::draining), HostPhase::draining);
  EXPECT_EQ(inForce(out, HostPhase::removed), HostPhase::removed);  // a cordon never revives a host
  EXPECT_EQ(inForce(out, HostPhase::active),
            HostPhase::draining);  // restarted and listed again: still cordoned
  HostEntry other = entry("b");
  out.apply(other);
  EXPECT_EQ(other.phase, HostPhase::active);
}

TEST(HostCordon, OneUncordonUndoesTwoCordons) {
  HostCordon out;
  out.cordon("a");
  out.cordon("a");
  EXPECT_EQ(out.count(), 1u);
  out.uncordon("a", seconds(10));
  EXPECT_FALSE(out.isCordoned("a"));
  EXPECT_EQ(inForce(out, HostPhase::active), HostPhase::active);
  out.uncordon("a", seconds(20));  // a second call changes nothing
  HostEntry e = entry("a");
  out.apply(e);
  EXPECT_EQ(e.startedAt, seconds(10));
}

// The host may have been restarted while it was cordoned, and the list reports that seconds late.
TEST(HostCordon, UncordonedHostCountsAsJustStarted) {
  HostCordon out;
  out.cordon("a");
  out.uncordon("a", seconds(100));
  HostEntry e = entry("a", HostPhase::active, seconds(3));
  out.apply(e);
  EXPECT_EQ(e.startedAt, seconds(100));
  HostEntry later = entry("a", HostPhase::active, seconds(101));  // a later start in the list counts
  out.apply(later);
  EXPECT_EQ(later.startedAt, seconds(101));
  out.expire(seconds(105), seconds(9));
  EXPECT_TRUE(out.isTracked("a"));
  out.expire(seconds(110), seconds(9));
  EXPECT_FALSE(out.isTracked("a"));
}

TEST(HostCordon, BoundsRememberedHosts) {
  HostCordon out;
  for (std::size_t i = 0; i < HostCordon::kMaxHosts; ++i) ASSERT_TRUE(out.cordon("h" + std::to_string(i)));
  EXPECT_FALSE(out.cordon("one more"));
  EXPECT_TRUE(out.cordon("h7"));
  EXPECT_EQ(out.count(), HostCordon::kMaxHosts);
}

TEST(HostCordon, NextProcessTakesOverCordonedHosts) {
  HostCordon first, next;
  const std::string odd("a b%\n\x01\xff", 7);
  first.cordon(odd);
  first.cordon("s-1");
  first.cordon("s-2");
  first.uncordon("s-2", seconds(1));
  ASSERT_TRUE(next.decode(first.encode(), seconds(5)));
  EXPECT_TRUE(next.isCordoned(odd));
  EXPECT_TRUE(next.isCordoned("s-1"));
  EXPECT_FALSE(next.isCordoned("s-2"));
  first.uncordon("s-1", seconds(6));
  ASSERT_TRUE(next.decode(first.encode(), seconds(7)));  // uncordoned at the other process
  EXPECT_FALSE(next.isCordoned("s-1"));
  HostEntry e = entry("s-1");
  next.apply(e);
  EXPECT_EQ(e.startedAt, seconds(7));
}

// The file is shared by processes of different versions, so its format is fixed by a literal text.
TEST(HostCordon, TextOfTheStateFileIsFixed) {
  HostCordon out;
  EXPECT_EQ(out.encode(), "finchstile-out 1\nend 0\n");
  out.cordon("s-2");
  out.cordon("a b%");
  EXPECT_EQ(out.encode(), "finchstile-out 1\nout a%20b%25\nout s-2\nend 2\n");
}

TEST(HostCordon, InvalidTextChangesNothing) {
  HostCordon out;
  out.cordon("a");
  out.cordon("b");
  const std::string whole = out.encode();
  HostCordon other;
  other.cordon("c");
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    EXPECT_FALSE(other.decode(whole.substr(0, cut), seconds(1))) << cut;
    EXPECT_TRUE(other.isCordoned("c"));
    EXPECT_FALSE(other.isCordoned("a"));
  }
  for (const std::string bad : {"finchstile-out 2\nend 0\n", "finchstile-out 1\nout %4\nend 1\n",
                                "finchstile-out 1\nend 1\n", "finchstile-out 1\nend 0\nx"})
    EXPECT_FALSE(other.decode(bad, seconds(1))) << bad;
  EXPECT_TRUE(other.decode(whole, seconds(1)));
  EXPECT_FALSE(other.isCordoned("c"));
}

// Random calls at two processes that read each other's file: both always agree with a reference set.
TEST(HostCordon, TwoProcessesMatchReferenceSet) {
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    std::mt19937 rng(seed);
    HostCordon both[2];
    std::set<std::string> plain;
    std::string file = both[0].encode();
    for (int step = 0; step < 60; ++step) {
      HostCordon& at = both[rng() % 2];
      const Time now = seconds(step);
      ASSERT_TRUE(at.decode(file, now));
      const std::string host = "h" + std::to_string(rng() % 6);
      if (rng() % 2) at.cordon(host), plain.insert(host);
      else at.uncordon(host, now), plain.erase(host);
      file = at.encode();
      for (HostCordon& h : both) {
        ASSERT_TRUE(h.decode(file, now));
        ASSERT_EQ(h.count(), plain.size());
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          ASSERT_EQ(h.isCordoned(name), plain.count(name) > 0);
        }
      }
    }
  }
}

}  // namespace
}  // namespace finchstile::ops
