// What load reports of hosts are worth to the pick. A host tells how much waits there and how long its work
// lately took; the figure is old when it is told, older when it is used, and may be made up. So a report is
// believed as far as reports of its age have lately told what came: how long an answer took, beyond what the
// host's own pace led one to expect. One that tells nothing is worth nothing, whatever it says.
#pragma once

#include <array>
#include <cstdint>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Of one host: its last report, beside what it usually reports.
struct Reported {
  static constexpr std::size_t kSignals = 2;  // what waits, how long work takes
  std::array<double, kSignals> last{}, usual{};
  std::array<bool, kSignals> has{};
  Time at{};  // heard; 0: none was
};

// A host's report as it stood when an attempt went out.
struct Hint {
  std::array<double, Reported::kSignals> apart{};  // from what the host usually reports, in logarithms
  std::uint8_t band = 0;                           // of age
  bool any = false;
};

class Reports {
 public:
  void heard(Reported& of, const LoadReport& report, Time now) const;
  Hint hint(const Reported& of, Time now) const;
  // How many times as long as by its pace an answer of the host is to be expected. 1: nothing to go by.
  double factor(const Hint& hint) const;
  // An answer took `ratio` times what the host's pace led one to expect.
  void learn(const Hint& hint, double ratio);

 private:
  struct Fit {  // of the logarithm of the ratio to how far the report was apart; decayed sums
    double n = 0, x = 0, y = 0, xx = 0, xy = 0, yy = 0;
    double slope = 0;  // as far as it is proven
  };
  static constexpr std::size_t kBands = 6;
  std::array<std::array<Fit, Reported::kSignals>, kBands> fits_{};
};

}  // namespace finchstile::load_balancing
