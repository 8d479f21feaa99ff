// OutlierDetector: unresponsive hosts, ejection, trial and recovery.
#include "policy/outlier_detector.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

bool anyHostEjected(const Driver& d) {
  return std::any_of(d.all.begin(), d.all.end(), [](const Action& a) {
    return a.kind == ActionKind::log && a.text.find("ejected") != std::string::npos;
  });
}

TEST(OutlierDetector, EjectsHostOfImmediateErrorsWithoutRaisingCutoff) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const HostId faultyHost = d.host(2);
  d.clearHistory();
  for (int i = 0; i < 600; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host == faultyHost) d.settle(s, Outcome::error, false);
      else if (d.now - s.at >= milliseconds(30)) d.serve(s);
      else ++k;
    }
    EXPECT_EQ(d.balancer.admissionCutoff(), 0);
  }
  EXPECT_LT(d.sentTo(faultyHost), 30u) << "without ejection it would look idle and attract requests";
  EXPECT_GT(d.sentTo(faultyHost), 3u) << "trials detect its recovery";
}

TEST(OutlierDetector, EjectedHostReturnsAfterRecovery) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const HostId faultyHost = d.host(2);
  bool isBroken = true;
  const auto run = [&](int n) {
    for (int i = 0; i < n; ++i) {
      d.request(0);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const SentAttempt s = d.out[k];
        if (s.host == faultyHost && isBroken) d.settle(s, Outcome::connectFailed, false);
        else if (d.now - s.at >= milliseconds(30)) d.serve(s);
        else ++k;
      }
    }
  };
  run(300);
  isBroken = false;
  run(1200);
  d.clearHistory();
  run(300);
  EXPECT_GT(d.sentTo(faultyHost) * 12, d.sent.size());
}

TEST(OutlierDetector, UnresponsiveHostGetsNoMoreRequests) {
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

TEST(OutlierDetector, UnresponsiveHostIsSkippedUnderLoad) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  while (d.out.empty() || d.lastSent().host != d.host(1)) {
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
    d.request(1);
  }
  d.advance(milliseconds(320));  // far past the typical latency, but before the timeout
  d.clearHistory();
  for (int i = 0; i < 12; ++i) d.request(0);
  EXPECT_GT(d.sent.size(), 8u);
  EXPECT_EQ(d.sentTo(d.host(1)), 0u);
}

// Every second request to one host ends in a broken connection. It answers the others, so it is not down.
TEST(OutlierDetector, KeepsResponsiveHostWithBrokenConnections) {
  Driver d(makeSettings());
  d.warmUp(0, 60, milliseconds(20));
  d.clearHistory();
  int attemptsAtHost = 0;
  for (int i = 0; i < 300; ++i) {
    for (int n = 0; n < 6; ++n) d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool breaks = s.host == d.host(0) && ++attemptsAtHost % 2 == 0;
      d.settle(s, breaks ? Outcome::reset : Outcome::served, !breaks);
    }
  }
  EXPECT_GT(attemptsAtHost, 100);
  EXPECT_FALSE(anyHostEjected(d));
}

TEST(OutlierDetector, EjectsHostWhoseProcessDied) {
  Driver d(makeSettings());
  d.warmUp(0, 60, milliseconds(20));
  int attemptsAtHost = 0;
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 6; ++n) d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool down = s.host == d.host(0);
      attemptsAtHost += down;
      d.settle(s, down ? Outcome::connectFailed : Outcome::served, !down);
    }
  }
  EXPECT_TRUE(anyHostEjected(d));
  EXPECT_LT(attemptsAtHost, 40) << "of some 100";
}

TEST(OutlierDetector, PoolWideFaultCausesNoLastingEjection) {
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

TEST(OutlierDetector, RestartResetsHealthOfHost) {
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

// Hosts may pause briefly: a short silence must not take a host out of service for long.
TEST(OutlierDetector, HostReturnsSoonAfterShortPause) {
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

// A host that alternates between one second of health and one of failures must not raise the cutoff.
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
  EXPECT_LT(failures, 120u) << "200 without ejection: one request in five, half of the time";
}

// The reachable hosts serve all requests, and the zone is used again after its recovery.
TEST(OutlierDetector, AvoidsUnreachableZoneUntilItRecovers) {
  Driver d(makeSettings(), 0);
  std::vector<HostEntry> list;
  for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west"));
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  bool isUnreachable = true;
  const auto isInOtherZone = [&](HostId h) { return d.balancer.hostAddress(h) >= "host-104"; };
  const auto run = [&](int n) {
    std::size_t lost = 0;
    for (int i = 0; i < n; ++i) {
      d.request(1);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const SentAttempt s = d.out[k];
        if (isUnreachable && isInOtherZone(s.host)) {
          if (d.now - s.at >= milliseconds(200)) d.settle(s, Outcome::connectFailed, false);
          else ++k;
        } else if (d.now - s.at >= milliseconds(30)) {
          d.serve(s);
        } else {
          ++k;
        }
      }
    }
    for (const SentAttempt& s : d.sent) lost += isInOtherZone(s.host);
    return lost;
  };
  run(500);
  d.clearHistory();
  EXPECT_LT(run(500), 60u);
  isUnreachable = false;
  run(1500);
  d.clearHistory();
  EXPECT_GT(run(500), 100u);
}

// A restored list may be stale. A dead address costs a retry but no request, since the attempt never
// ran.
TEST(OutlierDetector, StaleListCausesRetriesButNoRejections) {
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
  EXPECT_LT(answered, 10) << "five of nine are dead, so the median failure rate would eject no host";
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

// Every gateway runs its own trials of a host that fails immediately. They must use idempotent requests.
TEST(OutlierDetector, TriesEjectedHostWithIdempotentRequests) {
  Driver d(makeSettings(), 6);
  d.warmUp(1, 60, milliseconds(5));
  const HostId faultyHost = d.host(3);
  std::size_t nonIdempotentTrials = 0, idempotentTrials = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(i % 5 == 0 ? 0 : 1);
    while (!d.out.empty()) {
      const SentAttempt s = d.out.front();
      const bool isIdempotent = d.classOf[s.request] == 0;
      if (s.host == faultyHost && i > 500) ++(isIdempotent ? idempotentTrials : nonIdempotentTrials);
      d.settle(s, s.host == faultyHost ? Outcome::error : Outcome::served, s.host != faultyHost,
               milliseconds(1));
    }
    d.advance(milliseconds(5));
  }
  EXPECT_GE(idempotentTrials, 2u) << "trials take place";
  EXPECT_EQ(nonIdempotentTrials, 0u);
}

TEST(OutlierDetector, HostIsResponsiveFor150MsAfterResponse) {
  Host host;
  EXPECT_FALSE(OutlierDetector::isResponsive(host, seconds(1))) << "it has never responded";
  host.health.lastResponseAt = seconds(1);
  EXPECT_TRUE(OutlierDetector::isResponsive(host, seconds(1) + milliseconds(149)));
  EXPECT_FALSE(OutlierDetector::isResponsive(host, seconds(1) + milliseconds(150)));
}

TEST(OutlierDetector, FailedTrialEjectsAndServedTrialRestores) {
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
