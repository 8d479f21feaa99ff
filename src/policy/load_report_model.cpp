#include "policy/reports.hpp"

#include <algorithm>
#include <cmath>

namespace finchstile::load_balancing {
namespace {

// Ages up to 100, 200, 400, 800 and 1,600 ms, and beyond: a queue lasts for a few answers, so each doubling
// is another matter.
constexpr Duration kFirstBand = std::chrono::milliseconds(100);
constexpr double kUsualSeconds = 5;  // what a host usually reports: over so long
constexpr double kKeep = 0.998;      // per answer of a band: over the last five hundred
constexpr double kLeastSeen = 60;    // answers before a band counts for anything
// Of pure noise the squared distance in standard errors is 1 on average. What is nearer than this is not
// believed, and what is farther is shrunk by it: with twelve bands and signals, looked at for hours, less
// would let chance through every few minutes.
constexpr double kDoubt = 10;
// Danger: where reports hardly ever change, chance makes a slope of any size out of the few that do.
constexpr double kSpreadLeast = 0.1;
constexpr double kSlopeMost = 1;   // all that waits is waited for, one by one: no report can tell more
constexpr double kApartMost = 3;   // e^3: twenty times the usual; more is a mad report
constexpr double kFactorMost = 3;  // nor may a report outweigh what a host's own answers show by more

}  // namespace

void Reports::heard(Reported& of, const LoadReport& report, Time now) const {
  const std::array<double, Reported::kSignals> figures{
      report.queue >= 0      ? std::log1p(report.queue)
      : report.inflight >= 0 ? std::log1p(report.inflight)
                             : NAN,
      report.latencyMs >= 0 ? std::log(std::max(report.latencyMs, 0.1)) : NAN};
  const double passed = std::chrono::duration<double>(now - of.at).count();
  for (std::size_t i = 0; i < figures.size(); ++i) {
    if (!std::isfinite(figures[i])) continue;
    if (!of.has[i]) of.usual[i] = figures[i];
    else of.usual[i] += (1 - std::exp(-passed / kUsualSeconds)) * (of.last[i] - of.usual[i]);
    of.last[i] = figures[i];
    of.has[i] = true;
  }
  of.at = now;
}

Hint Reports::hint(const Reported& of, Time now) const {
  Hint h;
  for (Duration age = now - of.at; age > kFirstBand && h.band + 1u < kBands; age /= 2) ++h.band;
  for (std::size_t i = 0; i < h.apart.size(); ++i) {
    if (!of.has[i]) continue;
    h.apart[i] = std::clamp(of.last[i] - of.usual[i], -kApartMost, kApartMost);
    h.any = true;
  }
  return h;
}

double Reports::factor(const Hint& h) const {
  if (!h.any) return 1;
  double sum = 0;
  for (std::size_t i = 0; i < h.apart.size(); ++i) sum += fits_[h.band][i].slope * h.apart[i];
  if (sum == 0) return 1;  // the ordinary case, and asked for each candidate of each pick
  return std::clamp(std::exp(sum), 1 / kFactorMost, kFactorMost);
}

void Reports::learn(const Hint& h, double ratio) {
  if (!h.any || !(ratio > 0)) return;
  double rest = std::log(ratio);
  for (std::size_t i = 0; i < h.apart.size(); ++i) {
    Fit& f = fits_[h.band][i];
    const double x = h.apart[i], y = rest;
    for (double* sum : {&f.n, &f.x, &f.y, &f.xx, &f.xy, &f.yy}) *sum *= kKeep;
    f.n += 1, f.x += x, f.y += y, f.xx += x * x, f.xy += x * y, f.yy += y * y;
    const double xx = f.xx - f.x * f.x / f.n, xy = f.xy - f.x * f.y / f.n, yy = f.yy - f.y * f.y / f.n;
    f.slope = 0;
    // Danger: a slope below zero would send most to where most waits; it can only be chance, or a lie.
    if (f.n >= kLeastSeen && xx > kSpreadLeast * kSpreadLeast * f.n && xy > 0) {
      const double unexplained = std::max(yy - xy * xy / xx, 1e-12);
      const double squared = xy * xy / xx * (f.n - 2) / unexplained;  // distance from 0, in standard errors
      f.slope = std::min(xy / xx * std::max(0.0, 1 - kDoubt / squared), kSlopeMost);
    }
    rest -= f.slope * x;  // the next signal is asked for what this one leaves open
  }
}

}  // namespace finchstile::load_balancing
