// LearnedState: statistics are handed over to the next process of a gateway.
#include <cmath>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// Simulates fast hosts with a closed loop of many clients. Returns the number of rejected requests.
std::size_t refusedIn(Driver& d, Duration time) {
  std::size_t refused = 0;
  const Time end = d.now + time;
  while (d.now < end) {
    for (int i = 0; i < 60; ++i) refused += d.refused(d.request(0));
    d.advance(milliseconds(1), milliseconds(1));
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  return refused;
}

TEST(LearnedState, NextProcessStartsWithRestoredLimit) {
  Driver old(makeSettings());
  refusedIn(old, seconds(3));
  EXPECT_EQ(refusedIn(old, milliseconds(200)), 0u);
  Driver withoutRestore(makeSettings());
  EXPECT_GT(refusedIn(withoutRestore, milliseconds(200)), 0u);  // the initial limit is too low for fast hosts
  Driver next(makeSettings());
  next.balancer.restoreLearnedState(next.now, old.balancer.learnedState());
  next.collect();
  EXPECT_EQ(refusedIn(next, milliseconds(200)), 0u);
}

TEST(LearnedState, EjectedHostStaysEjectedUnlessRestarted) {
  Driver old(makeSettings());
  old.warmUp(0, 60);
  for (int i = 0; i < 400 && !old.balancer.isAvoided(old.host(0)); ++i) {
    old.request(0);
    old.advance(milliseconds(200));
    while (!old.out.empty()) {
      const SentAttempt s = old.out.front();
      old.settle(s, s.host == old.host(0) ? Outcome::error : Outcome::served, s.host != old.host(0));
    }
  }
  ASSERT_TRUE(old.balancer.isAvoided(old.host(0)));
  const LearnedState learned = old.balancer.learnedState();
  Driver next(makeSettings());
  next.balancer.restoreLearnedState(next.now, learned);
  EXPECT_TRUE(next.balancer.isAvoided(next.host(0)));
  EXPECT_FALSE(next.balancer.isAvoided(next.host(1)));
  Driver restarted(makeSettings());
  HostEntry e = makeHost(0);
  e.startedAt = restarted.now - seconds(1);
  restarted.balancer.onHostListUpdate(restarted.now, HostListUpdate::incremental, {e});
  restarted.collect();
  restarted.balancer.restoreLearnedState(restarted.now, learned);
  EXPECT_FALSE(restarted.balancer.isAvoided(restarted.host(0)));
}

TEST(LearnedState, IsIgnoredIfAsManyAnswersWereSeen) {
  Driver old(makeSettings()), other(makeSettings());
  old.warmUp(0, 30, milliseconds(300));
  other.warmUp(0, 60, milliseconds(50));
  const double before = other.balancer.learnedState().classes[0].typicalLatency;
  other.balancer.restoreLearnedState(other.now, old.balancer.learnedState());
  EXPECT_EQ(other.balancer.learnedState().classes[0].typicalLatency, before);
}

TEST(LearnedState, InvalidValuesAreIgnored) {
  Driver old(makeSettings());
  old.warmUp(0, 60);
  LearnedState invalidState = old.balancer.learnedState();
  const double invalidValues[] = {std::nan(""), HUGE_VAL, -HUGE_VAL, -1};
  for (const double invalidValue : invalidValues) {
    for (double* p : {&invalidState.arrivalRate, &invalidState.arrivalSamples, &invalidState.inTimeRate,
                      &invalidState.meanLatencyObjective, &invalidState.meanTypicalLatency,
                      &invalidState.unloadedConcurrency, &invalidState.servedFraction})
      *p = invalidValue;
    for (auto& c : invalidState.classes)
      c.typicalLatency = c.meanExpectedWork = c.lateRetryFraction = invalidValue,
      c.typicalTimeLeft = Duration(-5);
    for (auto& k : invalidState.machineTypes) k.provenRate = k.relativeLatency = invalidValue;
    for (auto& h : invalidState.hosts)
      h.relativeLatency = h.failureRate = h.answerRate = invalidValue, h.ejections = 1 << 30;
    invalidState.priorityLevels = {{5, 1}, {5, 1}, {invalidValue, invalidValue}};
    Driver next(makeSettings());
    next.balancer.restoreLearnedState(next.now, invalidState);
    next.warmUp(0, 60);
    EXPECT_EQ(next.balancer.admissionCutoff(), 0);
    EXPECT_EQ(next.answers.size(), 0u);  // no request was rejected or failed
  }
}

// Restored state must not override the next process's own host list.
TEST(LearnedState, DrainingHostGetsNothing) {
  Driver old(makeSettings());
  old.warmUp(0, 60);
  Driver next(makeSettings());
  HostEntry e = makeHost(0);
  e.phase = HostPhase::draining;
  next.balancer.onHostListUpdate(next.now, HostListUpdate::incremental, {e});
  next.collect();
  next.balancer.restoreLearnedState(next.now, old.balancer.learnedState());
  next.warmUp(0, 100);
  EXPECT_EQ(next.sentTo(next.host(0)), 0u);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
