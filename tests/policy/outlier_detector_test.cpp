// OutlierDetector: silence, ejection, trial and return of hosts.
#include "policy/outlier_detector.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

bool ejectedAny(const Driver& d) {
  return std::any_of(d.all.begin(), d.all.end(), [](const Action& a) {
    return a.kind == ActionKind::log && a.text.find("ejected") != std::string::npos;
  });
}

TEST(OutlierDetector, EjectsHostThatErrsAtOnceWithoutRaisingCutoff) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const HostId bad = d.host(2);
  d.clearHistory();
  for (int i = 0; i < 600; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host == bad) d.settle(s, Outcome::error, false);
      else if (d.now - s.at >= milliseconds(30)) d.serve(s);
      else ++k;
    }
    EXPECT_EQ(d.balancer.admissionCutoff(), 0);
  }
  EXPECT_LT(d.sentTo(bad), 30u) << "it holds nothing in flight, so the pick would feed it";
  EXPECT_GT(d.sentTo(bad), 3u) << "a trickle finds out when it is well again";
}

TEST(OutlierDetector, EjectedHostReturnsAfterRecovery) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const HostId bad = d.host(2);
  bool broken = true;
  const auto run = [&](int n) {
    for (int i = 0; i < n; ++i) {
      d.request(0);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const SentAttempt s = d.out[k];
        if (s.host == bad && broken) d.settle(s, Outcome::connectFailed, false);
        else if (d.now - s.at >= milliseconds(30)) d.serve(s);
        else ++k;
      }
    }
  };
  run(300);
  broken = false;
  run(1200);
  d.clearHistory();
  run(300);
  EXPECT_GT(d.sentTo(bad) * 12, d.sent.size());
}

TEST(OutlierDetector, SilentHostGetsNoMoreRequests) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  const HostId lost = d.host(1);
  std::size_t early = 0;
  d.clearHistory();
  for (int i = 0; i < 150; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](HostId h) { return h == lost ? Duration{} : Duration(milliseconds(40)); });
    if (i == 30) early = d.sentTo(lost);
  }
  EXPECT_GT(early, 0u);
  EXPECT_LE(d.sentTo(lost), early + 6) << "of about 30: only trials after its requests timed out";
}

TEST(OutlierDetector, SilentHostIsPassedOverUnderLoad) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  while (d.out.empty() || d.lastSent().host != d.host(1)) {
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
    d.request(1);
  }
  d.advance(milliseconds(320));  // far past the usual time, its time limit still to come
  d.clearHistory();
  for (int i = 0; i < 12; ++i) d.request(0);
  EXPECT_GT(d.sent.size(), 8u);
  EXPECT_EQ(d.sentTo(d.host(1)), 0u);
}

// Every second request of one host ends in a broken connection: it answers the rest, so it is not down.
TEST(OutlierDetector, KeepsResponsiveHostWithBrokenConnections) {
  Driver d(makeSettings());
  d.warmUp(0, 60, milliseconds(20));
  d.clearHistory();
  int met = 0;
  for (int i = 0; i < 300; ++i) {
    for (int n = 0; n < 6; ++n) d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool breaks = s.host == d.host(0) && ++met % 2 == 0;
      d.settle(s, breaks ? Outcome::reset : Outcome::served, !breaks);
    }
  }
  EXPECT_GT(met, 100);
  EXPECT_FALSE(ejectedAny(d));
}

TEST(OutlierDetector, EjectsHostWhoseProcessDied) {
  Driver d(makeSettings());
  d.warmUp(0, 60, milliseconds(20));
  int met = 0;
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 6; ++n) d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool down = s.host == d.host(0);
      met += down;
      d.settle(s, down ? Outcome::connectFailed : Outcome::served, !down);
    }
  }
  EXPECT_TRUE(ejectedAny(d));
  EXPECT_LT(met, 40) << "of some 100";
}

TEST(OutlierDetector, PoolWideFaultEjectsNobodyForLong) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  for (int i = 0; i < 100; ++i) {
    d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.settle(SentAttempt(d.out.front()), Outcome::error, false);
  }
  d.warmUp(0, 300, milliseconds(20));
  d.clearHistory();
  d.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 6; ++i) EXPECT_GT(d.sentTo(d.host(i)), 0u) << i;
  EXPECT_EQ(d.balancer.admissionCutoff(), 0);
}

TEST(OutlierDetector, RestartedHostStartsWithACleanRecord) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host == d.host(0)) d.settle(s, Outcome::reset, false);
      else if (d.now - s.at >= milliseconds(30)) d.serve(s);
      else ++k;
    }
  }
  HostEntry fresh = makeHost(0);
  fresh.startedAt = d.now;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {fresh});
  while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  d.clearHistory();
  for (int i = 0; i < 16; ++i) d.request(0);
  EXPECT_GT(d.sentTo(d.host(0)), 0u);
}

// Many hosts pause now and then: a short silence must not keep a host out for long.
TEST(OutlierDetector, ForgivesShortPause) {
  Driver d(makeSettings(), 3);
  d.warmUp(0, 60);
  Time pausedUntil = d.now + milliseconds(900);
  const HostId paused = d.host(0);
  std::size_t before = 0;
  for (int i = 0; i < 400; ++i) {
    if (i == 200) before = d.sentTo(paused);
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](HostId h) {
      return h == paused && d.now < pausedUntil ? Duration{} : Duration(milliseconds(30));
    });
  }
  EXPECT_GT(d.sentTo(paused) - before, 30u);
}

// A host that is well for a second and dead for a second must never raise the cutoff.
TEST(OutlierDetector, FlappingHostCostsFewRequests) {
  Driver d(makeSettings(), 5);
  d.warmUp(0, 60);
  const HostId flapping = d.host(4);
  std::size_t failures = 0;
  for (int i = 0; i < 2000; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host == flapping && (i / 100) % 2 == 1) {
        ++failures;
        d.settle(s, Outcome::reset, false);
      } else if (d.now - s.at >= milliseconds(30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
    EXPECT_LT(d.balancer.admissionCutoff(), 1);
  }
  EXPECT_LT(failures, 120u) << "one in five requests would go there half of the time: 200";
}

// The reachable hosts serve all, and the zone returns by itself.
TEST(OutlierDetector, LeavesUnreachableZoneUntilItReturns) {
  Driver d(makeSettings(), 0);
  std::vector<HostEntry> list;
  for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west"));
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  bool cutOff = true;
  const auto far = [&](HostId h) { return d.balancer.hostAddress(h) >= "host-104"; };
  const auto run = [&](int n) {
    std::size_t lost = 0;
    for (int i = 0; i < n; ++i) {
      d.request(1);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const SentAttempt s = d.out[k];
        if (cutOff && far(s.host)) {
          if (d.now - s.at >= milliseconds(200)) d.settle(s, Outcome::connectFailed, false);
          else ++k;
        } else if (d.now - s.at >= milliseconds(30)) {
          d.serve(s);
        } else {
          ++k;
        }
      }
    }
    for (const SentAttempt& s : d.sent) lost += far(s.host);
    return lost;
  };
  run(500);
  d.clearHistory();
  EXPECT_LT(run(500), 60u);
  cutOff = false;
  run(1500);
  d.clearHistory();
  EXPECT_GT(run(500), 100u);
}

// A restored list may be long out of date: dead addresses prove that nothing ran and cost a retry, no answer.
TEST(OutlierDetector, StaleListCostsRetriesOnly) {
  Driver d(makeSettings(), 9);
  int answered = 0;
  for (int i = 0; i < 300; ++i) {
    const RequestId id = d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host <= d.host(4)) d.settle(s, Outcome::connectFailed, false);
      else if (d.now - s.at >= milliseconds(20)) d.serve(s);
      else ++k;
    }
    answered += d.refused(id) || d.failed(id);
  }
  EXPECT_LT(answered, 10) << "five of nine dead; with the median peer as the yardstick nobody is ejected";
}

TEST(OutlierDetector, NeverEjectsTheOnlyHost) {
  Driver d(makeSettings(), 1);
  for (int i = 0; i < 50; ++i) {
    d.request(1);
    d.advance(milliseconds(50));
    while (!d.out.empty()) d.settle(SentAttempt(d.out.front()), Outcome::error, false);
  }
  d.advance(seconds(3));
  d.clearHistory();
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u);
}

// Every gateway meets a host that errs at once by itself, and again at each trial.
TEST(OutlierDetector, TriesEjectedHostWithIdempotentRequests) {
  Driver d(makeSettings(), 6);
  d.warmUp(1, 60, milliseconds(5));
  const HostId bad = d.host(3);
  std::size_t unsafe = 0, safe = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(i % 5 == 0 ? 0 : 1);
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool may = d.classOf[s.request] == 0;
      if (s.host == bad && i > 500) ++(may ? safe : unsafe);
      d.settle(s, s.host == bad ? Outcome::error : Outcome::served, s.host != bad, milliseconds(1));
    }
    d.advance(milliseconds(5));
  }
  EXPECT_GE(safe, 2u) << "it is tried";
  EXPECT_EQ(unsafe, 0u);
}

TEST(OutlierDetector, HostIsResponsiveForAMomentAfterAnAnswer) {
  Host host;
  EXPECT_FALSE(OutlierDetector::isResponsive(host, seconds(1))) << "never heard";
  host.health.lastSeenAlive = seconds(1);
  EXPECT_TRUE(OutlierDetector::isResponsive(host, seconds(1) + milliseconds(149)));
  EXPECT_FALSE(OutlierDetector::isResponsive(host, seconds(1) + milliseconds(150)));
}

TEST(OutlierDetector, FailedTrialEjectsAndServedTrialReturns) {
  const Settings settings = makeSettings();
  HostRegistry hosts("east");
  const FleetShape shape(settings, hosts);
  const TrafficStatistics traffic(settings, {});
  ActionQueue actions;
  OutlierDetector outliers(hosts, shape, traffic, actions);
  RandomSource random(1);
  hosts.apply(HostListUpdate::complete, {makeHost(0), makeHost(1)}, [](Host&) {});
  Host& host = hosts[hosts.findByAddress("host-100")];
  host.health.state = HealthState::trial;
  outliers.onOutcome(seconds(9), host, Outcome::error, true, random);
  EXPECT_EQ(host.health.state, HealthState::ejected);
  EXPECT_GT(host.health.ejectedUntil, seconds(9));
  EXPECT_EQ(host.health.ejections, 1);
  host.health.state = HealthState::trial;
  outliers.onOutcome(seconds(12), host, Outcome::served, true, random);
  EXPECT_EQ(host.health.state, HealthState::healthy);
  EXPECT_EQ(host.health.failureRate, 0);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
