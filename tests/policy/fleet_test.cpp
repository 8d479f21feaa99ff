// A hundred load balancers against sixty modelled hosts: what is harmless at one gateway and harmful when all
// do it, and what each learns too late. Counts are of the whole fleet.
#include "support/fleet.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace finchstile::load_balancing::testing {
namespace {

// The four rules, by the counts and by the audit.
void expectRules(const Fleet& f, const std::string& day) {
  EXPECT_EQ(f.counts.duplicateAnswers, 0u) << day;
  EXPECT_EQ(f.counts.sentToDraining, 0u) << day;
  EXPECT_LT(f.counts.maxWarmingLoad, 2.5) << day << ": at 3 it falls over";
  EXPECT_TRUE(f.audit.violations().empty())
      << day << ": " << f.audit.violations().size() << ", the first: " << f.audit.violations().front();
}

double valueFraction(const Fleet& f) { return f.counts.valueServed / f.counts.valueRequested; }
std::string name(std::uint64_t seed) { return "seed " + std::to_string(seed); }

class FleetDays : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  FleetSettings settings(double requestsPerSecond = 2300) const {
    FleetSettings s;
    s.seed = GetParam();
    s.requestsPerSecond = requestsPerSecond;
    return s;
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds, FleetDays, ::testing::Values(1, 2, 3));

// Where every gateway meets every host, some hosts reach their 88 connections and refuse hundreds.
TEST_P(FleetDays, ConnectionsStayUnderTheLimitOfHosts) {
  Fleet f(settings());
  f.run(seconds(6));
  expectRules(f, name(GetParam()));
  EXPECT_LT(f.counts.maxConnectionsPerHost, 44);
  EXPECT_EQ(f.counts.refusedConnections, 0u);
  EXPECT_LT(static_cast<double>(f.counts.handshakes), 0.15 * static_cast<double>(f.counts.requests));
  EXPECT_LT(f.counts.pairs.size(), 900u) << "of 6,000";
  EXPECT_GT(valueFraction(f), 0.93);
}

TEST_P(FleetDays, AllGatewaysRestartWithinASecond) {
  Fleet f(settings());
  f.run(seconds(5));
  f.counts = {};
  restartAllGateways(f, seconds(5));
  f.run(seconds(11));
  expectRules(f, name(GetParam()));
  EXPECT_LT(f.counts.maxConnectionsPerHost, 60);
  EXPECT_EQ(f.counts.refusedConnections, 0u);
  EXPECT_LT(static_cast<double>(f.counts.handshakes), 0.2 * static_cast<double>(f.counts.requests));
  EXPECT_GT(valueFraction(f), 0.88);
}

TEST_P(FleetDays, ZoneFailsAndReturnsWarmingUp) {
  Fleet f(settings());
  f.run(seconds(5));
  f.counts = {};
  failOneZone(f, seconds(5));
  f.run(seconds(20));
  expectRules(f, name(GetParam()));
  EXPECT_LT(f.counts.maxConnectionsPerHost, 80);
  EXPECT_LT(f.counts.refusedConnections, 2000u);
  EXPECT_GT(valueFraction(f), 0.78);
}

// Six in ten hosts drain within seven seconds; their successors warm up and are published late. Judged by the
// fraction of attempts that the last warm ones still serve, the warming ones would idle beside them.
TEST_P(FleetDays, SixInTenHostsAreReplacedInSevenSeconds) {
  FleetSettings s = settings(2600);
  s.queue = 3;
  Fleet f(s);
  f.run(seconds(5));
  f.counts = {};
  replaceSixtyPercentOfHosts(f, seconds(5));
  f.run(seconds(18));
  expectRules(f, name(GetParam()));
  EXPECT_LT(f.counts.maxConnectionsPerHost, 80);
  EXPECT_GT(valueFraction(f), 0.75);
  std::size_t fresh = 0;
  for (int h = f.settings.hosts; h < f.settings.hosts + 36; ++h) fresh += f.counts.servedBy[h];
  EXPECT_GT(fresh, 4400u) << "without what they lately did: 4,150 to 4,260";
}

// --- The rules, by an audit that shares nothing with the decision module

struct FleetRules : FleetDays {
  FleetSettings late() const {
    FleetSettings s = settings(2000);
    s.listSpread = seconds(3);
    return s;
  }
  void play(Fleet& f, const std::function<void()>& plan, Time until) {
    f.run(seconds(5));
    f.counts = {};
    plan();
    f.run(until);
    f.audit.finish(f.now());
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds, FleetRules, ::testing::Values(1, 2));

TEST_P(FleetRules, RollingRestartWithLateLists) {
  Fleet f(late());
  play(
      f, [&] { rollingDeploy(f, seconds(5)); }, seconds(24));
  expectRules(f, name(GetParam()));
  EXPECT_GT(valueFraction(f), 0.75);
}

// One gateway gets five times as many requests as the mean.
TEST_P(FleetRules, RollingRestartWithOneGatewayAtFiveTimesTheMean) {
  FleetSettings s = late();
  s.heavyGatewayFactor = 5;
  Fleet f(s);
  play(
      f, [&] { rollingDeploy(f, seconds(5)); }, seconds(20));
  expectRules(f, name(GetParam()));
  EXPECT_GT(valueFraction(f), 0.75);
}

// A fifth of the hosts fall silent for six seconds, with attempts pending there, and recover.
TEST_P(FleetRules, FifthOfTheHostsUnreachable) {
  Fleet f(settings());
  play(
      f,
      [&] {
        for (int h = 0; h < f.settings.hosts; h += 5) {
          f.at(seconds(5), [&f, h] { f.setUnreachable(h, true); });
          f.at(seconds(11), [&f, h] { f.setUnreachable(h, false); });
        }
      },
      seconds(18));
  expectRules(f, name(GetParam()));
  EXPECT_GT(valueFraction(f), 0.75);
}

// Seven in ten gateways crash at once and come back with a list that is seconds old.
TEST_P(FleetRules, SevenInTenGatewaysCrashAtOnce) {
  Fleet f(late());
  play(
      f,
      [&] {
        for (int h = 0; h < 12; ++h) f.at(seconds(4), [&f, h] { f.drainHost(h); });
        for (std::uint32_t g = 0; g < f.settings.gateways * 7 / 10; ++g) {
          f.at(seconds(5), [&f, g] { f.stopGateway(g); });
          f.at(seconds(6), [&f, g] { f.startGateway(g); });
        }
      },
      seconds(14));
  expectRules(f, name(GetParam()));
  EXPECT_GT(valueFraction(f), 0.6);
}

// One answer in twenty is lost, all over the fleet. Nothing non-idempotent is repeated for it.
TEST_P(FleetRules, AnswersAreLostAllOverTheFleet) {
  Fleet f(settings(1800));
  f.lostAnswerFraction = 0.05;
  play(
      f, [&] { failOneZone(f, seconds(6)); }, seconds(16));
  expectRules(f, name(GetParam()));
  EXPECT_GT(valueFraction(f), 0.7);
}

// Each rule is broken on purpose: the audit must detect it, or it proves nothing above.
struct FleetAuditTest : ::testing::Test {
  FleetSettings settings() const {
    FleetSettings s;
    s.gateways = 40;
    s.hosts = 30;
    s.requestsPerSecond = 900;
    return s;
  }
  std::size_t violations(
      char rule, Fleet& f, const std::function<void()>& plan = [] {}) {
    f.run(seconds(3));
    plan();
    f.run(seconds(9));
    f.audit.finish(f.now());
    return f.audit.violationsOf(rule);
  }
};

TEST_F(FleetAuditTest, DetectsMissingAnswer) {
  Fleet f(settings());
  std::size_t n = 0;
  f.lostAnswerFraction = 0.05;
  f.tamper = [&](std::uint32_t, LoadBalancer&, std::vector<Action>& actions) {
    for (Action& a : actions)
      if (a.kind == ActionKind::fail && ++n % 3 == 0) a.kind = ActionKind::log;
  };
  EXPECT_GT(violations('1', f), 0u);
}

TEST_F(FleetAuditTest, DetectsSecondAnswer) {
  Fleet f(settings());
  f.lostAnswerFraction = 0.05;
  f.tamper = [&](std::uint32_t, LoadBalancer&, std::vector<Action>& actions) {
    for (std::size_t i = actions.size(); i-- > 0;)
      if (actions[i].kind == ActionKind::fail) actions.push_back(Action(actions[i]));
  };
  EXPECT_GT(violations('1', f), 0u);
}

TEST_F(FleetAuditTest, DetectsRepeatedEffect) {
  Fleet f(settings());
  std::size_t n = 0;
  f.tamper = [&](std::uint32_t, LoadBalancer&, std::vector<Action>& actions) {
    for (std::size_t i = actions.size(); i-- > 0;)
      if (actions[i].kind == ActionKind::sendAttempt && actions[i].verifyConnection && ++n % 100 == 0) {
        Action again = actions[i];
        again.attempt += 3;
        actions.push_back(again);
      }
  };
  EXPECT_GT(violations('2', f), 0u);
}

TEST_F(FleetAuditTest, DetectsRejectionOfWhatMayHaveRun) {
  Fleet f(settings());
  f.lostAnswerFraction = 0.05;
  f.tamper = [&](std::uint32_t, LoadBalancer&, std::vector<Action>& actions) {
    for (Action& a : actions)
      if (a.kind == ActionKind::fail) a.kind = ActionKind::reject;
  };
  EXPECT_GT(violations('2', f), 0u);
}

TEST_F(FleetAuditTest, DetectsSendToDrainingHost) {
  Fleet f(settings());
  f.tamper = [&](std::uint32_t, LoadBalancer& b, std::vector<Action>& actions) {
    for (Action& a : actions)
      if (a.kind == ActionKind::sendAttempt && f.now() > seconds(7)) a.host = b.findHost(makeHost(0).address);
  };
  EXPECT_GT(violations('3', f, [&] { f.drainHost(0); }), 0u);
}

TEST_F(FleetAuditTest, DetectsOverloadedWarmingHost) {
  Fleet f(settings());
  f.tamper = [&](std::uint32_t, LoadBalancer& b, std::vector<Action>& actions) {
    const HostId cold = b.findHost(makeHost(f.settings.hosts).address);
    for (Action& a : actions)
      if (a.kind == ActionKind::sendAttempt && cold != kNone) a.host = cold;
  };
  EXPECT_GT(violations('4', f, [&] { f.addHost("east"); }), 0u);
  EXPECT_GT(f.audit.worstBudgetExcess, 0) << "the budget of calls, too";
}

// A gateway alone, a few of them, and as many as hosts: each meets every host.
TEST(Fleet, SmallBanksMeetAllHosts) {
  for (const std::uint32_t gateways : {1u, 3u, 12u}) {
    FleetSettings s;
    s.gateways = gateways;
    s.hosts = 12;
    s.requestsPerSecond = 400;
    Fleet f(s);
    f.run(seconds(6));
    expectRules(f, std::to_string(gateways) + " gateways");
    EXPECT_EQ(f.counts.pairs.size(), gateways * 12u);
    EXPECT_GT(valueFraction(f), 0.95);
  }
}

TEST(Fleet, AThousandGatewaysBeforeTwentyHosts) {
  FleetSettings s;
  s.gateways = 1000;
  s.hosts = 20;
  s.requestsPerSecond = 800;
  Fleet f(s);
  f.run(seconds(8));
  expectRules(f, "a thousand");
  EXPECT_EQ(f.counts.sentTo.size(), 20u);
  EXPECT_GT(valueFraction(f), 0.78);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
