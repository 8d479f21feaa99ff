// LearnedState: what a load balancer has learned is restored by the next one of its gateway.
#include <cmath>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// Plays fast hosts behind a closed loop of many clients; returns the number of rejected requests.
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

TEST(LearnedState, NextProcessDoesNotStartFromGuesses) {
  Driver old(makeSettings());
  refusedIn(old, seconds(3));
  EXPECT_EQ(refusedIn(old, milliseconds(200)), 0u);
  Driver fresh(makeSettings());
  EXPECT_GT(refusedIn(fresh, milliseconds(200)), 0u);  // it takes fast hosts for usual ones at first
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

TEST(LearnedState, IsIgnoredWhereAsMuchWasLearned) {
  Driver old(makeSettings()), other(makeSettings());
  old.warmUp(0, 30, milliseconds(300));
  other.warmUp(0, 60, milliseconds(50));
  const double before = other.balancer.learnedState().classes[0].typicalLatency;
  other.balancer.restoreLearnedState(other.now, old.balancer.learnedState());
  EXPECT_EQ(other.balancer.learnedState().classes[0].typicalLatency, before);
}

TEST(LearnedState, InvalidFiguresAreIgnored) {
  Driver old(makeSettings());
  old.warmUp(0, 60);
  LearnedState bad = old.balancer.learnedState();
  const double worst[] = {std::nan(""), HUGE_VAL, -HUGE_VAL, -1};
  for (const double w : worst) {
    for (double* p : {&bad.arrivalRate, &bad.arrivalSamples, &bad.inTimeRate, &bad.meanLatencyObjective,
                      &bad.meanTypicalLatency, &bad.unloadedConcurrency, &bad.servedFraction})
      *p = w;
    for (auto& c : bad.classes)
      c.typicalLatency = c.meanExpectedWork = c.lateRetryFraction = w, c.typicalTimeLeft = Duration(-5);
    for (auto& k : bad.machineTypes) k.provenRate = k.relativeLatency = w;
    for (auto& h : bad.hosts) h.relativeLatency = h.failureRate = h.answerRate = w, h.ejections = 1 << 30;
    bad.priorityLevels = {{5, 1}, {5, 1}, {w, w}};
    Driver next(makeSettings());
    next.balancer.restoreLearnedState(next.now, bad);
    next.warmUp(0, 60);
    EXPECT_EQ(next.balancer.admissionCutoff(), 0);
    EXPECT_EQ(next.answers.size(), 0u);  // nobody was refused or failed
  }
}

// What the next process knows from its own list is never undone.
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
