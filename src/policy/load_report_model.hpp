// Predicts latency from the load reports of hosts, for the choice of hosts. Inputs are the reports and the
// relative latency of the answers that follow them.
//
// A host reports its queue length and its recent processing time. These values are stale when they are sent,
// staler when they are used, and may be wrong. So a report is weighted by how well reports of its age have
// recently predicted the latency of an answer relative to the host's relative latency; a report without
// predictive value is ignored.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// The last report of a host and its baseline, on a logarithmic scale.
struct ReportedLoad {
  static constexpr std::size_t kSignals = 2;  // queue length; processing time
  std::array<double, kSignals> last{};
  std::array<double, kSignals> baseline{};
  std::array<bool, kSignals> isKnown{};
  Time reportedAt{};  // zero: never
};
static_assert(ReportedLoad::kSignals == 2);

// Features of a host's report at one point in time, for instance when an attempt is sent.
struct LoadHint {
  std::array<double, ReportedLoad::kSignals> deviation{};  // from the baseline, in logarithms
  std::uint8_t ageBand = 0;
  bool isKnown = false;
};

class LoadReportModel {
 public:
  // Records a report of the host. Values that are negative or not finite count as not reported.
  static void onReport(ReportedLoad& reported, const LoadReport& report, Time now);
  static LoadHint hintAt(const ReportedLoad& reported, Time now);

  // Predicted latency of an answer relative to the host's relative latency; 1: no prediction.
  double latencyFactor(const LoadHint& hint) const;

  // The factor for the host's current report. Called for each candidate of each pick.
  double latencyFactorAt(const ReportedLoad& reported, Time now) const {
    const bool isReported = reported.isKnown[0] || reported.isKnown[1];
    return isReported ? latencyFactor(hintAt(reported, now)) : 1;
  }

  // Trains the model: an answer took `ratio` times what the host's relative latency predicted.
  void onAnswer(const LoadHint& hint, double ratio);

 private:
  // Linear regression of the logarithm of the ratio on the deviation, with exponentially decayed sums.
  struct Fit {
    double count = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    double slope = 0;  // shrunk towards 0 by its uncertainty

    void add(double x, double y);
    void renewSlope();
  };

  static constexpr std::size_t kAgeBands = 6;
  std::array<std::array<Fit, ReportedLoad::kSignals>, kAgeBands> fits_{};
};

}  // namespace finchstile::load_balancing
