// Decides what the load reports of hosts are worth to the pick. Inputs are the reports and the relative
// latency of the answers that followed them.
//
// A host reports how much waits there and how long its work lately took. The figures are old when they are
// sent, older when they are used, and may be wrong. So a report counts as far as reports of its age have
// lately predicted how long an answer took beyond the host's relative latency; one that predicts nothing
// counts for nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// The last report of one host and its usual one, in logarithms.
struct ReportedLoad {
  static constexpr std::size_t kSignals = 2;  // work that waits; how long work takes
  std::array<double, kSignals> last{};
  std::array<double, kSignals> usual{};
  std::array<bool, kSignals> isKnown{};
  Time reportedAt{};  // zero: never
};
static_assert(ReportedLoad::kSignals == 2);

// A host's report as it stands at one time, for instance when an attempt goes out.
struct LoadHint {
  std::array<double, ReportedLoad::kSignals> deviation{};  // from the usual report, in logarithms
  std::uint8_t ageBand = 0;
  bool isKnown = false;
};

class LoadReportModel {
 public:
  // Takes a report into the host's record. Figures that are not finite or below 0 count as not reported.
  static void onReport(ReportedLoad& reported, const LoadReport& report, Time now);
  static LoadHint hintAt(const ReportedLoad& reported, Time now);

  // How many times its relative latency an answer of the host is expected to take; 1: nothing is known.
  double latencyFactor(const LoadHint& hint) const;

  // The factor of a host's report as it stands now. Called for each candidate of each pick.
  double latencyFactorAt(const ReportedLoad& reported, Time now) const {
    const bool isReported = reported.isKnown[0] || reported.isKnown[1];
    return isReported ? latencyFactor(hintAt(reported, now)) : 1;
  }

  // An answer took `ratio` times what the host's relative latency predicted.
  void onAnswer(const LoadHint& hint, double ratio);

 private:
  // A linear fit of the logarithm of the ratio to the deviation, by decayed sums.
  struct Fit {
    double count = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    double slope = 0;  // as far as it is proven

    void add(double x, double y);
    void renewSlope();
  };

  static constexpr std::size_t kAgeBands = 6;
  std::array<std::array<Fit, ReportedLoad::kSignals>, kAgeBands> fits_{};
};

}  // namespace finchstile::load_balancing
