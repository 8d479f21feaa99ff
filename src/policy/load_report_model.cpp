#include "policy/load_report_model.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration_math.hpp"

namespace finchstile::load_balancing {
namespace {

// Bands of age end at 100, 200, 400, 800 and 1,600 ms; the last is open. A queue lasts for a few answers, so
// each doubling of the age predicts something else.
constexpr Duration kFirstAgeBand = std::chrono::milliseconds(100);
constexpr double kUsualSpanSeconds = 5;  // the usual report of a host is a mean over so long
constexpr double kDecay = 0.998;         // per answer of a band: over the last five hundred
constexpr double kMinAnswers = 60;       // before a band counts for anything
// The squared distance of a slope from 0, in standard errors, is 1 on average for pure noise. What is nearer
// than this is not believed, and what is farther is shrunk by it: with twelve bands and signals that are
// looked at for hours, less would let chance through every few minutes.
constexpr double kMinSquaredDistance = 10;
// Where reports hardly ever change, chance makes a slope of any size out of the few that do.
constexpr double kMinSpread = 0.1;
constexpr double kMaxSlope = 1;      // all that waits is waited for, one by one: no report can predict more
constexpr double kMaxDeviation = 3;  // e^3, twenty times the usual report: more is a wrong one
constexpr double kMaxFactor = 3;     // a report outweighs the host's own answers by no more
constexpr double kMinLatencyMs = 0.1;
constexpr double kMinResidual = 1e-12;

}  // namespace

void LoadReportModel::onReport(ReportedLoad& reported, const LoadReport& report, Time now) {
  double waiting = NAN;
  if (report.queue >= 0) waiting = std::log1p(report.queue);
  else if (report.inflight >= 0) waiting = std::log1p(report.inflight);
  const double latency = report.latencyMs >= 0 ? std::log(std::max(report.latencyMs, kMinLatencyMs)) : NAN;
  const std::array<double, ReportedLoad::kSignals> figures{waiting, latency};
  const double passed = toSeconds(now - reported.reportedAt);
  for (std::size_t i = 0; i < figures.size(); ++i) {
    if (!std::isfinite(figures[i])) continue;
    if (!reported.isKnown[i]) reported.usual[i] = figures[i];
    else
      reported.usual[i] +=
          (1 - std::exp(-passed / kUsualSpanSeconds)) * (reported.last[i] - reported.usual[i]);
    reported.last[i] = figures[i];
    reported.isKnown[i] = true;
  }
  reported.reportedAt = now;
}

LoadHint LoadReportModel::hintAt(const ReportedLoad& reported, Time now) {
  LoadHint hint;
  for (Duration age = now - reported.reportedAt; age > kFirstAgeBand && hint.ageBand + 1U < kAgeBands;
       age /= 2)
    ++hint.ageBand;
  for (std::size_t i = 0; i < hint.deviation.size(); ++i) {
    if (!reported.isKnown[i]) continue;
    hint.deviation[i] = std::clamp(reported.last[i] - reported.usual[i], -kMaxDeviation, kMaxDeviation);
    hint.isKnown = true;
  }
  return hint;
}

double LoadReportModel::latencyFactor(const LoadHint& hint) const {
  if (!hint.isKnown) return 1;
  double sum = 0;
  for (std::size_t i = 0; i < hint.deviation.size(); ++i)
    sum += fits_[hint.ageBand][i].slope * hint.deviation[i];
  if (sum == 0) return 1;  // the ordinary case, and called for each candidate of each pick
  return std::clamp(std::exp(sum), 1 / kMaxFactor, kMaxFactor);
}

void LoadReportModel::onAnswer(const LoadHint& hint, double ratio) {
  if (!hint.isKnown || !(ratio > 0)) return;
  double unexplained = std::log(ratio);
  for (std::size_t i = 0; i < hint.deviation.size(); ++i) {
    Fit& fit = fits_[hint.ageBand][i];
    const double deviation = hint.deviation[i];
    fit.add(deviation, unexplained);
    fit.renewSlope();
    unexplained -= fit.slope * deviation;  // the next signal is fitted to what this one leaves open
  }
}

void LoadReportModel::Fit::add(double x, double y) {
  for (double* sum : {&count, &sumX, &sumY, &sumXX, &sumXY, &sumYY}) *sum *= kDecay;
  count += 1;
  sumX += x;
  sumY += y;
  sumXX += x * x;
  sumXY += x * y;
  sumYY += y * y;
}

void LoadReportModel::Fit::renewSlope() {
  const double xx = sumXX - sumX * sumX / count;
  const double xy = sumXY - sumX * sumY / count;
  const double yy = sumYY - sumY * sumY / count;
  slope = 0;
  // A slope below zero would send most to where most waits; it can only be chance or a false report.
  const bool isProven = count >= kMinAnswers && xx > kMinSpread * kMinSpread * count && xy > 0;
  if (!isProven) return;
  const double residual = std::max(yy - xy * xy / xx, kMinResidual);
  const double squaredDistance = xy * xy / xx * (count - 2) / residual;
  slope = std::min(xy / xx * std::max(0.0, 1 - kMinSquaredDistance / squaredDistance), kMaxSlope);
}

}  // namespace finchstile::load_balancing
