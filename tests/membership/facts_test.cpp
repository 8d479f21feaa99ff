// Facts about hosts: whatever the order in which they come, how often and how late, the same view; and a peer
// that makes us more careful, never less.
#include "membership/facts.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <tuple>
#include <vector>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

View::Limits limits() { return {}; }

LoadFact load(double queue, Time observed, Time heard = {}) {
  LoadFact f;
  f.report.queue = queue;
  f.observed = observed;
  f.heard = heard == Time{} ? observed : heard;
  return f;
}

TEST(Facts, OnlyTheListNamesAHost) {
  View v(limits());
  EXPECT_FALSE(v.onLoad("a", {}, load(1, seconds(10))));
  EXPECT_FALSE(v.onPeerPhase("a", {}, {HostPhase::active, 5, seconds(10)}));
  EXPECT_EQ(v.phase("a", seconds(10)), HostPhase::removed);
  EXPECT_EQ(v.size(), 0u);
  v.onListed("a", {}, HostPhase::active, 1, seconds(10));
  EXPECT_TRUE(v.onLoad("a", {}, load(1, seconds(10))));
  EXPECT_EQ(v.phase("a", seconds(10)), HostPhase::active);
}

// Hard case: an older list, late or from another source, does not take a drain back.
TEST(Facts, ADrainIsNotUndoneByWhatIsOlder) {
  View v(limits());
  v.onListed("a", {}, HostPhase::draining, 7, seconds(10));
  v.onListed("a", {}, HostPhase::active, 6, seconds(11));
  EXPECT_EQ(v.phase("a", seconds(11)), HostPhase::draining);
  v.onListed("a", {}, HostPhase::active, 7, seconds(11));  // the same version in two forms: the worse holds
  EXPECT_EQ(v.phase("a", seconds(11)), HostPhase::draining);
  v.onListed("a", {}, HostPhase::active, 8, seconds(12));
  EXPECT_EQ(v.phase("a", seconds(12)), HostPhase::active);
}

TEST(Facts, WhatAWholeListLeavesOutIsGone) {
  View v(limits());
  v.onListed("a", {}, HostPhase::active, 7, seconds(10));
  v.onListed("b", {}, HostPhase::active, 7, seconds(10));
  v.onListed("b", {}, HostPhase::active, 8, seconds(11));
  v.onWhole(8, seconds(11));
  EXPECT_EQ(v.phase("a", seconds(11)), HostPhase::removed);
  EXPECT_EQ(v.phase("b", seconds(11)), HostPhase::active);
  v.onListed("a", {}, HostPhase::active, 7, seconds(12));  // late news of before
  EXPECT_EQ(v.phase("a", seconds(12)), HostPhase::removed);
}

// Hard case: the peer's view is older than the list's.
TEST(Facts, APeerMakesUsMoreCarefulAndNeverLess) {
  View v(limits());
  v.onListed("a", {}, HostPhase::draining, 7, seconds(10));
  v.onPeerPhase("a", {}, {HostPhase::active, 9, seconds(10)});  // even a newer one
  EXPECT_EQ(v.phase("a", seconds(10)), HostPhase::draining);
  v.onListed("b", {}, HostPhase::active, 7, seconds(10));
  v.onPeerPhase("b", {}, {HostPhase::draining, 6, seconds(10)});  // of an older list: ours knows better
  EXPECT_EQ(v.phase("b", seconds(10)), HostPhase::active);
  v.onPeerPhase("b", {}, {HostPhase::draining, 8, seconds(10)});
  EXPECT_EQ(v.phase("b", seconds(10)), HostPhase::draining);
  EXPECT_EQ(v.phase("b", seconds(21)), HostPhase::active);  // a lie ends
  v.onPeerPhase("b", {}, {HostPhase::removed, 9, seconds(30)});
  EXPECT_EQ(v.phase("b", seconds(30)), HostPhase::removed);
  v.onListed("b", {}, HostPhase::active, 9, seconds(31));  // our list is as new
  EXPECT_EQ(v.phase("b", seconds(31)), HostPhase::active);
}

TEST(Facts, OfAHostThatStartedAnewNothingOldHolds) {
  View v(limits());
  v.onListed("a", seconds(1), HostPhase::draining, 7, seconds(10));
  v.onLoad("a", seconds(1), load(9, seconds(10)));
  v.onPeerPhase("a", seconds(1), {HostPhase::removed, 9, seconds(10)});
  v.onListed("a", seconds(12), HostPhase::active, 8, seconds(13));
  EXPECT_EQ(v.phase("a", seconds(13)), HostPhase::active);
  EXPECT_EQ(v.load("a", seconds(13)).confidence, 0);
  EXPECT_FALSE(v.onLoad("a", seconds(1), load(9, seconds(13))));  // of the old process, late
  EXPECT_FALSE(v.onPeerPhase("a", seconds(1), {HostPhase::removed, 9, seconds(13)}));
  v.onListed("a", seconds(1), HostPhase::active, 9, seconds(14));  // nor does a list of before bring it back
  EXPECT_EQ(v.find("a")->started, Time(seconds(12)));
}

// Hard case: load reports that arrive late and out of order.
TEST(Facts, TheNewestReportHoldsWhateverComesLast) {
  View v(limits());
  v.onListed("a", {}, HostPhase::active, 1, seconds(10));
  EXPECT_TRUE(v.onLoad("a", {}, load(5, seconds(12), seconds(13))));
  EXPECT_FALSE(v.onLoad("a", {}, load(1, seconds(11), seconds(14))));
  EXPECT_EQ(v.load("a", seconds(12)).report.queue, 5);
  EXPECT_EQ(v.load("a", seconds(12)).confidence, 1);
  EXPECT_NEAR(v.load("a", seconds(12) + milliseconds(500)).confidence, 0.5, 1e-9);
  EXPECT_EQ(v.load("a", seconds(14)).confidence, 0);
  EXPECT_EQ(v.load("a", seconds(14)).age, Duration(seconds(2)));
  EXPECT_EQ(v.load("a", seconds(11)).confidence, 1);  // a clock that steps back: not older than now
}

TEST(Facts, ConfidenceFallsWithAgeAndEnds) {
  double last = 1;
  for (int ms = 0; ms <= 3000; ms += 10) {
    const double c = confidence(milliseconds(ms), milliseconds(500));
    EXPECT_LE(c, last);
    EXPECT_GE(c, 0);
    last = c;
  }
  EXPECT_EQ(last, 0);
  EXPECT_EQ(confidence(milliseconds(-5), milliseconds(500)), 1);
  EXPECT_EQ(confidence(milliseconds(1), Duration{}), 0);
}

TEST(Facts, GoneHostsAreForgottenAndTheTableIsBounded) {
  View::Limits l;
  l.hosts = 10;
  View v(l);
  for (int i = 0; i < 20; ++i) v.onListed("h" + std::to_string(i), {}, HostPhase::active, 1, seconds(10));
  EXPECT_EQ(v.size(), 10u);
  EXPECT_EQ(v.dropped(), 10u);
  v.onWhole(2, seconds(20));
  v.sweep(seconds(139));
  EXPECT_EQ(v.size(), 10u);
  v.sweep(seconds(140));
  EXPECT_EQ(v.size(), 0u);
  v.onListed("new", {}, HostPhase::active, 3, seconds(141));
  EXPECT_EQ(v.phase("new", seconds(141)), HostPhase::active);
}

// --- Joins

PhaseFact anyPhase(std::mt19937& dice) { return {static_cast<HostPhase>(dice() % 3), dice() % 4}; }
LoadFact anyLoad(std::mt19937& dice) {
  LoadFact f = load(static_cast<double>(dice() % 3), seconds(dice() % 4), seconds(dice() % 4 + 1));
  if (dice() % 3 == 0) f.report.queue = std::nan("");
  if (dice() % 3 == 0) f.report.inflight = static_cast<double>(dice() % 3);
  return f;
}
HostFacts anyFacts(std::mt19937& dice) {
  HostFacts f;
  f.started = seconds(dice() % 2);
  f.listed = anyPhase(dice);
  if (dice() % 2) f.heard = HeardPhase{static_cast<HostPhase>(dice() % 3), dice() % 4, seconds(dice() % 4)};
  if (dice() % 2) f.load = anyLoad(dice);
  return f;
}

std::string text(const HostFacts& f) {
  std::string out = std::to_string(f.started.count()) + "/" +
                    std::to_string(static_cast<int>(f.listed.phase)) + "." + std::to_string(f.listed.version);
  if (f.heard)
    out += " heard " + std::to_string(static_cast<int>(f.heard->phase)) + "." +
           std::to_string(f.heard->version) + "." + std::to_string(f.heard->observed.count());
  if (f.load)
    out += " load " + std::to_string(f.load->report.inflight) + "." + std::to_string(f.load->report.queue) +
           "." + std::to_string(f.load->observed.count()) + "." + std::to_string(f.load->heard.count());
  return out;
}

TEST(Joins, OrderGroupingAndRepetitionDoNotMatter) {
  std::mt19937 dice(11);
  for (int i = 0; i < 20'000; ++i) {
    const HostFacts a = anyFacts(dice), b = anyFacts(dice), c = anyFacts(dice);
    ASSERT_EQ(text(join(a, b)), text(join(b, a)));
    ASSERT_EQ(text(join(join(a, b), c)), text(join(a, join(b, c))));
    ASSERT_EQ(text(join(a, a)), text(a));
    ASSERT_EQ(text(join(join(a, b), b)), text(join(a, b)));
  }
}

TEST(Joins, AnyOrderOfTheSameNewsGivesTheSameView) {
  std::mt19937 dice(12);
  for (int round = 0; round < 300; ++round) {
    std::vector<std::function<void(View&)>> news;
    for (int i = 0; i < 12; ++i) {
      const std::uint64_t version = dice() % 5 + 1;
      const auto phase = static_cast<HostPhase>(dice() % 3);
      const LoadFact fact = anyLoad(dice);
      const HeardPhase heard{static_cast<HostPhase>(dice() % 3), dice() % 6, seconds(dice() % 9)};
      switch (dice() % 3) {
        case 0:
          news.push_back([=](View& v) { v.onListed("a", seconds(1), phase, version, seconds(10)); });
          break;
        case 1: news.push_back([=](View& v) { v.onLoad("a", seconds(1), fact); }); break;
        default: news.push_back([=](View& v) { v.onPeerPhase("a", seconds(1), heard); }); break;
      }
    }
    const auto play = [&](bool twice) {
      View v(limits());
      v.onListed("a", seconds(1), HostPhase::active, 0, seconds(10));
      for (const auto& n : news) {
        n(v);
        if (twice) n(v);
      }
      return text(*v.find("a"));
    };
    const std::string first = play(false);
    for (int i = 0; i < 5; ++i) {
      for (std::size_t k = news.size(); k > 1; --k) std::swap(news[k - 1], news[dice() % k]);
      ASSERT_EQ(play(i % 2 == 0), first);
    }
  }
}

// A reference that keeps all that was ever said and looks through it: whatever the order, the same phase in
// force at any time; and a drain that a list has told is undone by a newer list or a new start only.
TEST(Joins, TenThousandHistoriesAsAPlainReadingHasThem) {
  struct News {
    enum class Kind { list, peer } kind;
    HostPhase phase;
    std::uint64_t version;
    Time observed;
  };
  const auto rankOf = [](HostPhase p) { return static_cast<int>(p); };
  for (unsigned seed = 1; seed <= 10'000; ++seed) {
    std::mt19937 dice(seed);
    View v(limits());
    v.onListed("a", seconds(1), HostPhase::active, 1, seconds(10));
    std::vector<News> said = {{News::Kind::list, HostPhase::active, 1, seconds(10)}};
    const std::size_t n = 2 + dice() % 10;
    std::vector<News> news;
    for (std::size_t i = 0; i < n; ++i)
      news.push_back({dice() % 2 ? News::Kind::list : News::Kind::peer, static_cast<HostPhase>(dice() % 3),
                      1 + dice() % 6, seconds(10 + dice() % 20)});
    for (std::size_t i = 0; i < 3; ++i) news.push_back(news[dice() % n]);  // repeated
    std::shuffle(news.begin(), news.end(), dice);
    for (const News& x : news) {
      said.push_back(x);
      if (x.kind == News::Kind::list) v.onListed("a", seconds(1), x.phase, x.version, seconds(30));
      else v.onPeerPhase("a", seconds(1), {x.phase, x.version, x.observed});

      std::uint64_t version = 0;
      for (const News& y : said)
        if (y.kind == News::Kind::list) version = std::max(version, y.version);
      HostPhase listed = HostPhase::active;
      for (const News& y : said)
        if (y.kind == News::Kind::list && y.version == version && rankOf(y.phase) > rankOf(listed))
          listed = y.phase;
      const News* heard = nullptr;
      for (const News& y : said) {
        if (y.kind != News::Kind::peer) continue;
        const auto key = [&](const News& w) { return std::tuple(w.version, rankOf(w.phase), -w.observed); };
        if (!heard || key(y) > key(*heard)) heard = &y;
      }
      const Time now = seconds(10 + dice() % 30);
      HostPhase want = listed;
      if (heard && heard->version > version && now - heard->observed < seconds(10) &&
          rankOf(heard->phase) > rankOf(want))
        want = heard->phase;
      ASSERT_EQ(v.phase("a", now), want) << "seed " << seed;
      ASSERT_GE(rankOf(v.phase("a", now)), rankOf(listed)) << "seed " << seed;
    }
  }
}

// Versions that begin anew: what stands stands, and any list of the new count is newer.
TEST(Facts, ANewCountOfVersionsUndoesNothingByItself) {
  View v(limits());
  v.onListed("a", {}, HostPhase::draining, 700, seconds(10));
  v.onListed("b", {}, HostPhase::active, 700, seconds(10));
  v.onPeerPhase("b", {}, {HostPhase::removed, 800, seconds(10)});
  v.renumber();
  EXPECT_EQ(v.phase("a", seconds(11)), HostPhase::draining);
  EXPECT_EQ(v.phase("b", seconds(11)), HostPhase::active);  // another count's word
  v.onListed("a", {}, HostPhase::active, 3, seconds(12));
  EXPECT_EQ(v.phase("a", seconds(12)), HostPhase::active);
}

// A lie that is said again and again gets no younger.
TEST(Facts, AWordThatIsRepeatedEndsAllTheSame) {
  View v(limits());
  v.onListed("a", {}, HostPhase::active, 7, seconds(10));
  for (int s = 10; s < 40; ++s) {
    v.onPeerPhase("a", {}, {HostPhase::removed, 8, seconds(s)});
    EXPECT_EQ(v.phase("a", seconds(s)), s < 20 ? HostPhase::removed : HostPhase::active) << s;
  }
}

}  // namespace
}  // namespace finchstile::membership
