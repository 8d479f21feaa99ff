// LoadReportModel: reports are weighted by how well reports of their age have predicted latency.
#include "policy/load_report_model.hpp"

#include <cmath>
#include <random>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

LoadReport queueOf(double n) {
  LoadReport r;
  r.queue = n;
  return r;
}

// A host whose reports alternate. Each report is used at age `age`, and the answer then takes exp(`slope` x
// deviation of the report) times the host's relative latency, with log-normal noise.
struct ReportingHost {
  LoadReportModel reports;
  ReportedLoad host;
  std::mt19937 engine{5};
  Time now = seconds(100);
  std::normal_distribution<double> noise{0, 0.5};

  LoadHint report(double queue, Duration age) {
    now += milliseconds(100);
    reports.onReport(host, queueOf(queue), now);
    return reports.hintAt(host, now + age);
  }
  void train(int answers, Duration age, double slope) {
    for (int i = 0; i < answers; ++i) {
      const LoadHint h = report(engine() % 2 ? 0 : 8, age);
      reports.onAnswer(h, std::exp(slope * h.deviation[0] + noise(engine)));
    }
  }
  double factorOf(double queue, Duration age) { return reports.latencyFactor(report(queue, age)); }
};

TEST(LoadReportModel, AppliesReportsThatPredictLatency) {
  ReportingHost t;
  EXPECT_EQ(t.factorOf(8, {}), 1);  // the model is untrained
  t.train(400, milliseconds(20), 0.5);
  EXPECT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  EXPECT_LT(t.factorOf(0, milliseconds(20)), 0.8);
}

TEST(LoadReportModel, IgnoresReportsWithoutPredictiveValue) {
  ReportingHost t;
  t.train(5000, milliseconds(20), 0);
  EXPECT_EQ(t.factorOf(8, milliseconds(20)), 1);
  EXPECT_EQ(t.factorOf(0, milliseconds(20)), 1);
}

// With pure noise, a report must almost never be used.
TEST(LoadReportModel, RarelyFitsNoise) {
  int believed = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    ReportingHost t;
    t.engine.seed(seed);
    t.train(500, milliseconds(20), 0);
    believed += t.factorOf(8, milliseconds(20)) != 1;
  }
  EXPECT_LE(believed, 4);
}

// Reports that are seconds old are not used, and do not affect the use of fresh ones.
TEST(LoadReportModel, FitsEachAgeBandSeparately) {
  ReportingHost t;
  for (int i = 0; i < 100; ++i) {
    t.train(5, milliseconds(20), 0.5);
    t.train(5, seconds(3), 0);
  }
  EXPECT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  EXPECT_EQ(t.factorOf(8, seconds(3)), 1);
}

// A report that is negatively correlated with latency is wrong and must not be used inverted.
TEST(LoadReportModel, IgnoresReportsWithNegativeCorrelation) {
  ReportingHost t;
  t.train(2000, milliseconds(20), -0.5);
  EXPECT_EQ(t.factorOf(8, milliseconds(20)), 1);
}

// A host that always reports 0.
TEST(LoadReportModel, ConstantReportsHaveNoEffect) {
  ReportingHost t;
  for (int i = 0; i < 1000; ++i) {
    const LoadHint h = t.report(0, milliseconds(20));
    t.reports.onAnswer(h, std::exp(t.noise(t.engine)));
  }
  EXPECT_EQ(t.factorOf(0, milliseconds(20)), 1);
  EXPECT_EQ(t.factorOf(1e300, milliseconds(20)), 1);
}

TEST(LoadReportModel, FactorIsBounded) {
  ReportingHost t;
  t.train(2000, milliseconds(20), 1);
  EXPECT_LE(t.factorOf(1e6, milliseconds(20)), 3);
  EXPECT_GE(t.factorOf(0, milliseconds(20)), 1.0 / 3);
}

TEST(LoadReportModel, InvalidValuesCountAsNotReported) {
  LoadReportModel reports;
  ReportedLoad host;
  for (const double v : {-1.0, std::nan(""), HUGE_VAL}) {
    LoadReport r = queueOf(v);
    r.latencyMs = v;
    reports.onReport(host, r, seconds(1));
  }
  EXPECT_FALSE(reports.hintAt(host, seconds(2)).isKnown);
  reports.onReport(host, queueOf(3), seconds(1));
  EXPECT_TRUE(reports.hintAt(host, seconds(2)).isKnown);
}

// The model averages over about five hundred answers, so reports that become wrong lose their effect.
TEST(LoadReportModel, EffectFadesWhenReportsStopPredicting) {
  ReportingHost t;
  t.train(1000, milliseconds(20), 0.5);
  ASSERT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  t.train(4000, milliseconds(20), 0);
  EXPECT_LT(t.factorOf(8, milliseconds(20)), 1.1);
}

// --- With the whole module: another gateway loads the hosts in turn, which own in-flight counts don't show

enum class Reporting { none, fresh, late, zero, random };

// Mean latency of this gateway's requests, sent one at a time.
double meanTaken(Reporting how, unsigned seed) {
  Settings s = makeSettings();
  s.seed = seed;
  Driver d(s, 4);
  std::mt19937 engine(seed);
  std::vector<std::vector<double>> queues;  // one entry per 10 ms
  std::vector<double> queue(4, 0);
  double sum = 0;
  int count = 0;
  for (int i = 0; i < 3000; ++i) {
    for (double& q : queue)
      if (engine() % 50 == 0) q = engine() % 2 ? 9 : 0;
    queues.push_back(queue);
    d.request(0);
    const SentAttempt sent = d.lastSent();
    const auto at = static_cast<std::size_t>(sent.host == d.host(0)   ? 0
                                             : sent.host == d.host(1) ? 1
                                             : sent.host == d.host(2) ? 2
                                                                      : 3);
    const Duration taken = milliseconds(2) * (1 + static_cast<int>(queue[at])) / 2;
    d.advance(milliseconds(10), milliseconds(10));
    AttemptResult r{sent.request, sent.attempt, sent.host, Outcome::served, taken, true, {}};
    const auto then = [&](std::size_t steps) {
      return queues[queues.size() - std::min(queues.size(), steps)];
    };
    switch (how) {
      case Reporting::none: break;
      case Reporting::fresh: r.report = queueOf(then(1)[at]); break;
      case Reporting::late: r.report = queueOf(then(300)[at]); break;
      case Reporting::zero: r.report = queueOf(0); break;
      case Reporting::random: r.report = queueOf(static_cast<double>(engine() % 1000)); break;
    }
    d.balancer.onAttemptResult(d.now, r);
    d.collect();
    d.out.clear();
    if (i >= 500) sum += std::chrono::duration<double, std::milli>(taken).count(), ++count;
  }
  return sum / count;
}

TEST(LoadReportModel, LowersLatencyWhereReportsPredictAndDoesNoHarmElsewhere) {
  double none = 0, fresh = 0, late = 0, zero = 0, random = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    none += meanTaken(Reporting::none, seed) / 6;
    fresh += meanTaken(Reporting::fresh, seed) / 6;
    late += meanTaken(Reporting::late, seed) / 6;
    zero += meanTaken(Reporting::zero, seed) / 6;
    random += meanTaken(Reporting::random, seed) / 6;
  }
  ::testing::Test::RecordProperty("none_ms", std::to_string(none));
  printf("mean ms: none %.3f fresh %.3f late %.3f zero %.3f random %.3f\n", none, fresh, late, zero, random);
  EXPECT_LT(fresh, 0.9 * none);
  EXPECT_LT(late, 1.03 * none);
  EXPECT_EQ(zero, none);
  EXPECT_LT(random, 1.03 * none);
}

// A host's process restarts between its report and the next requests.
TEST(LoadReportModel, RestartDiscardsReportsOfTheHost) {
  Driver reporting(makeSettings(), 2), silent(makeSettings(), 2);
  for (Driver* d : {&reporting, &silent}) {
    d->request(0);
    const SentAttempt s = d->lastSent();
    d->advance(milliseconds(10));
    AttemptResult r{s.request, s.attempt, s.host, Outcome::served, milliseconds(10), true, {}};
    if (d == &reporting) r.report = queueOf(50);
    d->balancer.onAttemptResult(d->now, r);
    HostEntry restartedEntry = makeHost(s.host == d->host(0) ? 0 : 1, "east", s.host == d->host(0) ? 0 : 1);
    restartedEntry.startedAt = d->now;
    d->balancer.onHostListUpdate(d->now, HostListUpdate::incremental, {restartedEntry});
    d->collect();
  }
  for (int i = 0; i < 200; ++i)
    for (Driver* d : {&reporting, &silent}) {
      d->request(0);
      d->advance(milliseconds(10));
      while (!d->out.empty()) d->serve(SentAttempt(d->out.front()));
    }
  ASSERT_EQ(reporting.sent.size(), silent.sent.size());
  for (std::size_t i = 0; i < reporting.sent.size(); ++i)
    ASSERT_EQ(reporting.sent[i].host, silent.sent[i].host);
}

// An answer to an attempt that was sent before the host's restart carries a report of the old process. It
// must not affect the new process, whose own reports are used from the first one.
TEST(LoadReportModel, IgnoresReportOfOldProcessAfterRestart) {
  Settings settings = makeSettings();
  settings.warmUpTime = {};
  Driver reporting(settings, 2), silent(settings, 2);
  const auto answer = [](Driver& d, const SentAttempt& s, double queue, Duration taken, bool reports = true) {
    AttemptResult r{s.request, s.attempt, s.host, Outcome::served, taken, true, {}};
    if (reports) r.report = queueOf(queue);
    d.balancer.onAttemptResult(d.now, r);
    d.collect();
    d.out.clear();
  };
  const auto request = [](Driver& d) {
    d.request(0);
    d.advance(milliseconds(10));
    return d.lastSent();
  };
  for (Driver* d : {&reporting, &silent}) {
    for (int i = 0; i < 600; ++i) {  // the latency follows the last report
      const double queue = i / 12 % 2 ? 9 : 0;
      answer(*d, request(*d), queue, milliseconds(queue > 0 ? 40 : 10));
    }
    const SentAttempt late = request(*d);
    const int number = late.host == d->host(0) ? 0 : 1;
    HostEntry restartedEntry = makeHost(number, "east", number);
    restartedEntry.startedAt = d->now;
    d->balancer.onHostListUpdate(d->now, HostListUpdate::incremental, {restartedEntry});
    d->advance(milliseconds(10));
    answer(*d, late, 500, milliseconds(20), d == &reporting);
    d->clearHistory();
    for (int i = 0; i < 200; ++i) answer(*d, request(*d), 1, milliseconds(10));
  }
  ASSERT_EQ(reporting.sent.size(), silent.sent.size());
  for (std::size_t i = 0; i < reporting.sent.size(); ++i)
    ASSERT_EQ(reporting.sent[i].host, silent.sent[i].host) << i;
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
