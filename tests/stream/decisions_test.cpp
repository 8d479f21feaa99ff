// Stream logic without sockets: half-close, timeouts, buffer budget, drain schedule, endings and their log
// lines.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "stream/buffers.hpp"
#include "stream/deadlines.hpp"
#include "stream/drain_plan.hpp"
#include "stream/ending.hpp"
#include "stream/flow.hpp"
#include "stream/statistics.hpp"

namespace finchstile::stream {
namespace {

using load_balancing::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Flow

constexpr FlowLimits kLimits{seconds(600), seconds(60), seconds(30)};

TEST(Flow, ForwardsFinOnceAfterAllBytesOfTheDirectionAreWritten) {
  Flow f(kLimits, seconds(100));
  EXPECT_FALSE(f.onDelivered(Side::client));  // no FIN yet
  f.onEnd(Side::client);
  EXPECT_TRUE(f.onDelivered(Side::client));
  EXPECT_FALSE(f.onDelivered(Side::client));  // only once
  EXPECT_FALSE(f.over());                     // the other direction stays open
  f.onEnd(Side::host);
  EXPECT_FALSE(f.over());
  EXPECT_TRUE(f.onDelivered(Side::host));
  EXPECT_EQ(f.over(), (Ending{EndedBy::client, EndReason::finished, true}));
}

TEST(Flow, ReportsTheSideWithTheFirstFinAsTheOneThatEnded) {
  Flow f(kLimits, seconds(100));
  f.onEnd(Side::host);
  f.onEnd(Side::client);
  f.onDelivered(Side::client);
  f.onDelivered(Side::host);
  EXPECT_EQ(f.over(), (Ending{EndedBy::host, EndReason::finished, true}));
}

TEST(Flow, IdleStreamEndsInOrderAndHalfClosedStreamTimesOutSooner) {
  Flow f(kLimits, seconds(100));
  EXPECT_EQ(f.due(), seconds(700));
  EXPECT_FALSE(f.overdue(seconds(699)));
  EXPECT_EQ(f.overdue(seconds(700)), (Ending{EndedBy::gateway, EndReason::idle, true}));
  f.onActivity(seconds(300));
  EXPECT_FALSE(f.overdue(seconds(700)));
  f.onEnd(Side::client);
  EXPECT_EQ(f.due(), seconds(360));
  EXPECT_EQ(f.overdue(seconds(360)), (Ending{EndedBy::gateway, EndReason::halfIdle, false}));
}

TEST(Flow, BlockedSideStallsUnlessTheOtherDirectionMakesProgress) {
  Flow f(kLimits, seconds(100));
  f.onBlocked(Side::client, seconds(110));
  f.onBlocked(Side::client, seconds(120));  // counts from the first
  EXPECT_EQ(f.due(), seconds(140));
  EXPECT_EQ(f.overdue(seconds(140)), (Ending{EndedBy::client, EndReason::stalled, false}));
  f.onActivity(seconds(130));
  EXPECT_FALSE(f.overdue(seconds(159)));
  EXPECT_TRUE(f.overdue(seconds(160)));
  f.onUnblocked(Side::client);
  EXPECT_FALSE(f.overdue(seconds(160)));
}

TEST(Flow, WithoutLimitsTheStreamNeverTimesOut) {
  Flow f(FlowLimits{}, seconds(100));
  f.onBlocked(Side::host, seconds(100));
  EXPECT_EQ(f.due(), Time::max());
  EXPECT_FALSE(f.overdue(seconds(1'000'000)));
}

// --- Memory

TEST(Buffers, EveryDirectionGetsAPieceAndTheBudgetIsNotExceeded) {
  for (const std::size_t streams : {1u, 7u, 100u, 1000u})
    for (const std::size_t bytes :
         {minBufferBytes(streams), 4 * minBufferBytes(streams), std::size_t{1} << 24}) {
      if (bytes < minBufferBytes(streams)) continue;
      BufferBudget b(bytes, streams);
      std::vector<BufferBudget::Grant> held;
      for (std::size_t i = 0; i < 2 * streams; ++i) {  // every direction of every stream holds a piece
        held.push_back(b.take());
        EXPECT_GE(held.back().size, kMinPieceBytes);
        EXPECT_LE(b.held(), bytes);
      }
      for (const auto& g : held) b.returnPiece(g);
      EXPECT_EQ(b.held(), 0u);
    }
}

// Slow readers keep their pieces; later streams get smaller ones, but always some.
TEST(Buffers, GrantsLargePiecesUntilTheirHalfIsUsedThenSmallOnes) {
  BufferBudget b(1 << 20, 100);
  std::vector<BufferBudget::Grant> held;
  while (held.size() < 32) held.push_back(b.take());
  EXPECT_TRUE(std::all_of(held.begin(), held.end(), [](const auto& g) { return g.large; }));
  const auto small = b.take();
  EXPECT_FALSE(small.large);
  EXPECT_EQ(small.size, (1u << 19) / 200);
  EXPECT_EQ(b.smallPieces(), 1u);
  b.returnPiece(held.back());
  EXPECT_TRUE(b.take().large);
}

TEST(Buffers, RandomTakesAndReturnsLeaveNothingHeld) {
  std::mt19937 random(5);
  BufferBudget b(minBufferBytes(50) + 40'000, 50);
  std::vector<BufferBudget::Grant> held;
  for (int i = 0; i < 20'000; ++i) {
    if (held.size() < 100 && random() % 2) {
      held.push_back(b.take());
    } else if (!held.empty()) {
      const std::size_t at = random() % held.size();
      b.returnPiece(held[at]);
      held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
    }
    ASSERT_LE(b.held(), minBufferBytes(50) + 40'000);
  }
  for (const auto& g : held) b.returnPiece(g);
  EXPECT_EQ(b.held(), 0u);
}

// --- Deadlines

TEST(Deadlines, PopsEachDueStreamOnceInOrderOfDeadlines) {
  Deadlines d;
  d.set(1, seconds(5));
  d.set(2, seconds(3));
  d.set(3, seconds(4));
  d.setNoLaterThan(3, seconds(9));  // later deadline: no effect
  d.setNoLaterThan(1, seconds(2));
  d.erase(2);
  EXPECT_EQ(d.next(), seconds(2));
  EXPECT_EQ(d.pop(seconds(1)), 0u);
  EXPECT_EQ(d.pop(seconds(9)), 1u);
  EXPECT_EQ(d.pop(seconds(9)), 3u);
  EXPECT_EQ(d.pop(seconds(9)), 0u);
  EXPECT_EQ(d.next(), Time::max());
  EXPECT_EQ(d.size(), 0u);
}

// --- Drains

std::vector<std::uint64_t> ids(std::uint64_t n) {
  std::vector<std::uint64_t> all;
  for (std::uint64_t i = 1; i <= n; ++i) all.push_back(i);
  return all;
}

// Number of closes in each tenth of `within`, polled every 5 ms.
std::vector<std::size_t> tenths(DrainPlan& plan, Time from, Duration within) {
  std::vector<std::size_t> out(40);
  for (Time now = from; plan.size() > 0 && now < from + 4 * within; now += milliseconds(5))
    out[std::min<std::size_t>(39, static_cast<std::size_t>((now - from) * 10 / within))] +=
        plan.due(now).size();
  return out;
}

TEST(DrainPlan, ClosesStreamsEvenlyOverTheInterval) {
  DrainPlan plan(0, 3);
  plan.add(ids(2000), seconds(100), seconds(10));
  EXPECT_TRUE(plan.planned(7));
  const auto by = tenths(plan, seconds(100), seconds(10));
  for (int t = 0; t < 10; ++t) EXPECT_NEAR(static_cast<double>(by[static_cast<std::size_t>(t)]), 200, 5) << t;
  EXPECT_EQ(plan.size(), 0u);
}

TEST(DrainPlan, RateBoundHoldsOverSeveralHostsAndDelaysCloses) {
  DrainPlan plan(100, 3);
  plan.add(ids(500), seconds(100), seconds(1));
  std::vector<std::uint64_t> more;
  for (std::uint64_t i = 501; i <= 1000; ++i) more.push_back(i);
  plan.add(more, seconds(100), seconds(1));
  std::size_t all = 0, second = 0;
  for (Time now = seconds(100); plan.size() > 0 && now < seconds(200); now += milliseconds(5)) {
    const std::size_t n = plan.due(now).size();
    all += n;
    if (now < seconds(101)) second += n;
  }
  EXPECT_EQ(all, 1000u);
  EXPECT_LE(second, 112u);  // 100 in one second, plus a tenth of a second at once
  EXPECT_GE(plan.maxDelay(), seconds(8));
}

// A late event loop catches up on part of the missed closes, not on all at once.
TEST(DrainPlan, LateEventLoopCausesNoBurstOfCloses) {
  DrainPlan plan(100, 3);
  plan.add(ids(1000), seconds(100), seconds(1));
  for (Time now = seconds(100); now < seconds(101); now += milliseconds(5)) plan.due(now);
  EXPECT_LE(plan.due(seconds(105)).size(), 12u);
}

TEST(DrainPlan, GatewayStopOverridesTheRateBound) {
  DrainPlan plan(10, 3);
  plan.add(ids(1000), seconds(100), seconds(30));
  plan.endsAt(seconds(102));
  plan.add(ids(1000), seconds(100), seconds(2));
  std::size_t first = 0, all = 0;
  for (Time now = seconds(100); now <= seconds(102); now += milliseconds(5)) {
    const std::size_t n = plan.due(now).size();
    all += n;
    if (now < seconds(101)) first += n;
  }
  EXPECT_EQ(all, 1000u);
  EXPECT_GT(first, 300u);  // not all in the last second
  EXPECT_LT(first, 700u);
}

TEST(DrainPlan, ErasedStreamsAreNotReturnedAsDue) {
  DrainPlan plan(0, 3);
  plan.add(ids(3), seconds(100), seconds(1));
  plan.erase(2);
  plan.erase(9);
  const auto due = plan.due(seconds(200));
  EXPECT_EQ(due.size(), 2u);
  EXPECT_EQ(std::count(due.begin(), due.end(), 2u), 0);
  EXPECT_EQ(plan.next(seconds(200)), Time::max());
}

TEST(DrainPlan, StreamAddedTwiceKeepsItsEarlierTime) {
  DrainPlan plan(0, 3);
  plan.add({1}, seconds(100), seconds(1));
  plan.add({1}, seconds(100), seconds(100));
  EXPECT_LE(plan.next(seconds(100)), seconds(101));
  EXPECT_EQ(plan.size(), 1u);
}

// --- Endings

TEST(Ending, MapsEachEndingToResultAndHostOutcome) {
  struct Row {
    Ending how;
    StreamResult became;
    Outcome host;
  };
  const Row rows[] = {
      {{EndedBy::client, EndReason::finished, true}, StreamResult::served, Outcome::served},
      {{EndedBy::host, EndReason::finished, true}, StreamResult::served, Outcome::served},
      {{EndedBy::client, EndReason::reset, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::host, EndReason::reset, false}, StreamResult::failed, Outcome::reset},
      {{EndedBy::gateway, EndReason::rejected, false}, StreamResult::refused, Outcome::served},
      {{EndedBy::host, EndReason::notEstablished, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::client, EndReason::clientDisconnected, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::gateway, EndReason::drain, true}, StreamResult::served, Outcome::served},
      {{EndedBy::gateway, EndReason::drain, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::gateway, EndReason::idle, true}, StreamResult::served, Outcome::served},
      {{EndedBy::gateway, EndReason::halfIdle, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::client, EndReason::stalled, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::host, EndReason::stalled, false}, StreamResult::failed, Outcome::timeout},
      {{EndedBy::host, EndReason::silent, false}, StreamResult::failed, Outcome::timeout},
      {{EndedBy::client, EndReason::protocol, false}, StreamResult::failed, Outcome::served},
      {{EndedBy::host, EndReason::protocol, false}, StreamResult::failed, Outcome::reset},
      {{EndedBy::host, EndReason::tooBig, false}, StreamResult::failed, Outcome::reset},
      {{EndedBy::client, EndReason::header, false}, StreamResult::failed, Outcome::served},
  };
  for (const Row& r : rows) {
    EXPECT_EQ(resultOf(r.how), r.became) << nameOf(r.how.who) << " " << nameOf(r.how.why);
    EXPECT_EQ(outcomeOf(r.how), r.host) << nameOf(r.how.who) << " " << nameOf(r.how.why);
  }
}

// Log lines and metrics carry these names, whatever the enumerators are called.
TEST(Ending, NamesOnTheWireAreFixed) {
  const std::pair<EndReason, std::string_view> reasons[] = {{EndReason::finished, "finished"},
                                                            {EndReason::reset, "reset"},
                                                            {EndReason::rejected, "turned_away"},
                                                            {EndReason::notEstablished, "unreached"},
                                                            {EndReason::clientDisconnected, "left"},
                                                            {EndReason::drain, "drain"},
                                                            {EndReason::idle, "idle"},
                                                            {EndReason::halfIdle, "half_idle"},
                                                            {EndReason::stalled, "stalled"},
                                                            {EndReason::silent, "silent"},
                                                            {EndReason::protocol, "protocol"},
                                                            {EndReason::tooBig, "too_big"},
                                                            {EndReason::header, "header"}};
  EXPECT_EQ(std::size(reasons), kEndReasonCount);
  for (const auto& [reason, name] : reasons) EXPECT_EQ(nameOf(reason), name);
  EXPECT_EQ(nameOf(EndedBy::client), "client");
  EXPECT_EQ(nameOf(EndedBy::host), "host");
  EXPECT_EQ(nameOf(EndedBy::gateway), "gateway");
  EXPECT_EQ(nameOf(StreamResult::served), "served");
  EXPECT_EQ(nameOf(StreamResult::refused), "refused");
  EXPECT_EQ(nameOf(StreamResult::failed), "failed");
}

TEST(Account, LogsPartyAndReasonAndLimitsTheRateOfLines) {
  StreamStatistics a(LogEnds::all);
  a.onAccepted("scan");
  a.onBegun("scan");
  const EndedStream one{
      "scan", "s-1", "10.0.0.9:1", {EndedBy::host, EndReason::reset, false}, milliseconds(1500), 10, 2000};
  EXPECT_EQ(a.onEnded("scan", one, true, seconds(100)),
            "stream scan failed by=host why=reset from=10.0.0.9:1 host=s-1 lasted=1.500s in=10 out=2000");
  std::size_t lines = 0;
  for (int i = 0; i < 1000; ++i) {
    a.onBegun("scan");
    lines += !a.onEnded("scan", one, true, seconds(100)).empty();
  }
  EXPECT_EQ(lines, 49u);
  a.onBegun("scan");
  EXPECT_NE(a.onEnded("scan", one, true, seconds(101)).find(" unsaid=951"), std::string::npos);
  EXPECT_EQ(a.ended(StreamResult::failed), 1002u);
  EXPECT_EQ(a.ended(EndedBy::host, EndReason::reset), 1002u);
  EXPECT_NE(a.exposition(7).find("lb_streams_ended_total{name=\"scan\",by=\"host\",why=\"reset\"} 1002\n"),
            std::string::npos);
  EXPECT_NE(a.exposition(7).find("lb_streams_held{name=\"scan\"} 0\n"), std::string::npos);
}

TEST(Account, LogsOnlyFailedStreamsWhenConfiguredSo) {
  StreamStatistics a(LogEnds::failed);
  EXPECT_EQ(a.onEnded("x", {"x", "", "c", {EndedBy::client, EndReason::finished, true}, {}, 0, 0}, false,
                      seconds(1)),
            "");
  EXPECT_NE(a.onEnded("x", {"x", "", "c", {EndedBy::client, EndReason::clientDisconnected, false}, {}, 0, 0},
                      false, seconds(1)),
            "");
}

}  // namespace
}  // namespace finchstile::stream
