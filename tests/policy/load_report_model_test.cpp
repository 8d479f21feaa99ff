// LoadReportModel: reports count as far as reports of their age have predicted latency, and no further.
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

// One host whose reports swing. Each is used at the age of `age`, and an answer then takes
// exp(`slope` x deviation of the report) times the host's relative latency, times some noise.
struct ReportingHost {
  LoadReportModel reports;
  ReportedLoad host;
  std::mt19937 dice{5};
  Time now = seconds(100);
  std::normal_distribution<double> noise{0, 0.5};

  LoadHint report(double queue, Duration age) {
    now += milliseconds(100);
    reports.onReport(host, queueOf(queue), now);
    return reports.hintAt(host, now + age);
  }
  void teach(int answers, Duration age, double slope) {
    for (int i = 0; i < answers; ++i) {
      const LoadHint h = report(dice() % 2 ? 0 : 8, age);
      reports.onAnswer(h, std::exp(slope * h.deviation[0] + noise(dice)));
    }
  }
  double factorOf(double queue, Duration age) { return reports.latencyFactor(report(queue, age)); }
};

TEST(LoadReportModel, FollowsReportsThatPredict) {
  ReportingHost t;
  EXPECT_EQ(t.factorOf(8, {}), 1);  // nothing is known of reports yet
  t.teach(400, milliseconds(20), 0.5);
  EXPECT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  EXPECT_LT(t.factorOf(0, milliseconds(20)), 0.8);
}

TEST(LoadReportModel, IgnoresReportsThatPredictNothing) {
  ReportingHost t;
  t.teach(5000, milliseconds(20), 0);
  EXPECT_EQ(t.factorOf(8, milliseconds(20)), 1);
  EXPECT_EQ(t.factorOf(0, milliseconds(20)), 1);
}

// By chance alone, over many trials, a report is hardly ever believed.
TEST(LoadReportModel, SeldomBelievesChance) {
  int believed = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    ReportingHost t;
    t.dice.seed(seed);
    t.teach(500, milliseconds(20), 0);
    believed += t.factorOf(8, milliseconds(20)) != 1;
  }
  EXPECT_LE(believed, 4);
}

// reports that are late by seconds do no harm, and spoil nothing for fresh ones.
TEST(LoadReportModel, JudgesEachAgeByItself) {
  ReportingHost t;
  for (int i = 0; i < 100; ++i) {
    t.teach(5, milliseconds(20), 0.5);
    t.teach(5, seconds(3), 0);
  }
  EXPECT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  EXPECT_EQ(t.factorOf(8, seconds(3)), 1);
}

// A report that says the contrary of what follows is wrong, and no guide by being inverted.
TEST(LoadReportModel, NeverInvertsAReport) {
  ReportingHost t;
  t.teach(2000, milliseconds(20), -0.5);
  EXPECT_EQ(t.factorOf(8, milliseconds(20)), 1);
}

// a report that says 0 for ever.
TEST(LoadReportModel, ConstantReportPredictsNothing) {
  ReportingHost t;
  for (int i = 0; i < 1000; ++i) {
    const LoadHint h = t.report(0, milliseconds(20));
    t.reports.onAnswer(h, std::exp(t.noise(t.dice)));
  }
  EXPECT_EQ(t.factorOf(0, milliseconds(20)), 1);
  EXPECT_EQ(t.factorOf(1e300, milliseconds(20)), 1);
}

TEST(LoadReportModel, FactorIsBounded) {
  ReportingHost t;
  t.teach(2000, milliseconds(20), 1);
  EXPECT_LE(t.factorOf(1e6, milliseconds(20)), 3);
  EXPECT_GE(t.factorOf(0, milliseconds(20)), 1.0 / 3);
}

TEST(LoadReportModel, InvalidFiguresCountAsNotReported) {
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

// What was learned is forgotten in about five hundred answers: hosts whose reports turn wrong are found out.
TEST(LoadReportModel, ForgetsWhatReportsOncePredicted) {
  ReportingHost t;
  t.teach(1000, milliseconds(20), 0.5);
  ASSERT_GT(t.factorOf(8, milliseconds(20)), 1.4);
  t.teach(4000, milliseconds(20), 0);
  EXPECT_LT(t.factorOf(8, milliseconds(20)), 1.1);
}

// --- With the module: hosts that another gateway keeps busy by turns, which our own in-flight can't show.

enum class Reporting { none, fresh, late, zero, mad };

// Mean time of our requests, one at a time.
double meanTaken(Reporting how, unsigned seed) {
  Settings s = makeSettings();
  s.seed = seed;
  Driver d(s, 4);
  std::mt19937 dice(seed);
  std::vector<std::vector<double>> queues;  // by ten milliseconds
  std::vector<double> queue(4, 0);
  double sum = 0;
  int count = 0;
  for (int i = 0; i < 3000; ++i) {
    for (double& q : queue)
      if (dice() % 50 == 0) q = dice() % 2 ? 9 : 0;
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
      case Reporting::mad: r.report = queueOf(static_cast<double>(dice() % 1000)); break;
    }
    d.balancer.onAttemptResult(d.now, r);
    d.collect();
    d.out.clear();
    if (i >= 500) sum += std::chrono::duration<double, std::milli>(taken).count(), ++count;
  }
  return sum / count;
}

TEST(LoadReportModel, HelpsThePickWhereReportsPredictAndDoesNoHarmElsewhere) {
  double none = 0, fresh = 0, late = 0, zero = 0, mad = 0;
  for (unsigned seed = 1; seed <= 6; ++seed) {
    none += meanTaken(Reporting::none, seed) / 6;
    fresh += meanTaken(Reporting::fresh, seed) / 6;
    late += meanTaken(Reporting::late, seed) / 6;
    zero += meanTaken(Reporting::zero, seed) / 6;
    mad += meanTaken(Reporting::mad, seed) / 6;
  }
  ::testing::Test::RecordProperty("none_ms", std::to_string(none));
  printf("mean ms: none %.3f fresh %.3f late %.3f zero %.3f mad %.3f\n", none, fresh, late, zero, mad);
  EXPECT_LT(fresh, 0.9 * none);
  EXPECT_LT(late, 1.03 * none);
  EXPECT_EQ(zero, none);
  EXPECT_LT(mad, 1.03 * none);
}

// a worker restarts between two facts.
TEST(LoadReportModel, RestartVoidsReportsOfTheHost) {
  Driver reporting(makeSettings(), 2), silent(makeSettings(), 2);
  for (Driver* d : {&reporting, &silent}) {
    d->request(0);
    const SentAttempt s = d->lastSent();
    d->advance(milliseconds(10));
    AttemptResult r{s.request, s.attempt, s.host, Outcome::served, milliseconds(10), true, {}};
    if (d == &reporting) r.report = queueOf(50);
    d->balancer.onAttemptResult(d->now, r);
    HostEntry again = makeHost(s.host == d->host(0) ? 0 : 1, "east", s.host == d->host(0) ? 0 : 1);
    again.startedAt = d->now;
    d->balancer.onHostListUpdate(d->now, HostListUpdate::incremental, {again});
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

// a report of one worker carried by another's address: the answer to what went out before the
// host's start is the old process's. Reports are believed here, and the new process is judged by its own from
// the first.
TEST(LoadReportModel, LateAnswerOfTheOldProcessSaysNothingOfTheNewOne) {
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
    for (int i = 0; i < 600; ++i) {  // what was reported last is what comes
      const double queue = i / 12 % 2 ? 9 : 0;
      answer(*d, request(*d), queue, milliseconds(queue > 0 ? 40 : 10));
    }
    const SentAttempt late = request(*d);
    const int number = late.host == d->host(0) ? 0 : 1;
    HostEntry again = makeHost(number, "east", number);
    again.startedAt = d->now;
    d->balancer.onHostListUpdate(d->now, HostListUpdate::incremental, {again});
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
