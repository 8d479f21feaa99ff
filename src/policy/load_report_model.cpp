#include "policy/load_report_model.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration_math.hpp"

namespace finchstile::load_balancing {
namespace {

// The age bands end at 100, 200, 400, 800 and 1,600 ms; the last one is unbounded. A queue persists only for
// a few answers, so reports are fitted separately for each doubling of their age.
constexpr Duration kFirstAgeBand = std::chrono::milliseconds(100);
constexpr double kBaselineSeconds = 5;  // the baseline of a host is a moving average over this time
constexpr double kDecay = 0.998;        // per answer in an age band: averages over about five hundred answers
constexpr double kMinAnswers = 60;      // in an age band before it is used
// Threshold of the squared t-statistic of a slope, which is 1 on average for pure noise. Slopes below it are
// ignored, and slopes above it are shrunk accordingly. With twelve combinations of age band and signal
// evaluated for hours, a lower threshold would accept noise every few minutes.
constexpr double kMinSquaredT = 10;
// Minimum standard deviation of the reports: where they hardly ever change, the few changes give slopes of
// any size by chance.
constexpr double kMinSpread = 0.1;
constexpr double kMaxSlope = 1;      // latency proportional to the queue length; no report can predict more
constexpr double kMaxDeviation = 3;  // e^3, twenty times the baseline; larger deviations are taken for errors
constexpr double kMaxFactor = 3;     // maximum influence of a report relative to the host's measured latency
constexpr double kMinLatencyMs = 0.1;
constexpr double kMinResidual = 1e-12;

}  // namespace

void LoadReportModel::onReport(ReportedLoad& reported, const LoadReport& report, Time now) {
  double waiting = NAN;
  if (report.queue >= 0) waiting = std::log1p(report.queue);
  else if (report.inflight >= 0) waiting = std::log1p(report.inflight);
  const double latency = report.latencyMs >= 0 ? std::log(std::max(report.latencyMs, kMinLatencyMs)) : NAN;
  const std::array<double, ReportedLoad::kSignals> signals{waiting, latency};
  const double elapsedSeconds = toSeconds(now - reported.reportedAt);
  for (std::size_t i = 0; i < signals.size(); ++i) {
    if (!std::isfinite(signals[i])) continue;
    if (!reported.isKnown[i]) reported.baseline[i] = signals[i];
    else
      reported.baseline[i] +=
          (1 - std::exp(-elapsedSeconds / kBaselineSeconds)) * (reported.last[i] - reported.baseline[i]);
    reported.last[i] = signals[i];
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
    hint.deviation[i] = std::clamp(reported.last[i] - reported.baseline[i], -kMaxDeviation, kMaxDeviation);
    hint.isKnown = true;
  }
  return hint;
}

double LoadReportModel::latencyFactor(const LoadHint& hint) const {
  if (!hint.isKnown) return 1;
  double sum = 0;
  for (std::size_t i = 0; i < hint.deviation.size(); ++i)
    sum += fits_[hint.ageBand][i].slope * hint.deviation[i];
  if (sum == 0) return 1;  // fast path: this is called for each candidate of each pick
  return std::clamp(std::exp(sum), 1 / kMaxFactor, kMaxFactor);
}

void LoadReportModel::onAnswer(const LoadHint& hint, double ratio) {
  if (!hint.isKnown || !(ratio > 0)) return;
  double residualLogRatio = std::log(ratio);
  for (std::size_t i = 0; i < hint.deviation.size(); ++i) {
    Fit& fit = fits_[hint.ageBand][i];
    const double deviation = hint.deviation[i];
    fit.add(deviation, residualLogRatio);
    fit.renewSlope();
    residualLogRatio -= fit.slope * deviation;  // the next signal is fitted to the residual of this one
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
  // A negative slope would favor the hosts with the longest queues; it can only result from chance or wrong
  // reports.
  const bool isSignificant = count >= kMinAnswers && xx > kMinSpread * kMinSpread * count && xy > 0;
  if (!isSignificant) return;
  const double residual = std::max(yy - xy * xy / xx, kMinResidual);
  const double squaredT = xy * xy / xx * (count - 2) / residual;
  slope = std::min(xy / xx * std::max(0.0, 1 - kMinSquaredT / squaredT), kMaxSlope);
}

}  // namespace finchstile::load_balancing
