// Measurement of processor time and allocated bytes, and output of results as a table and as tab-separated
// values.
#pragma once

#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "units.hpp"

namespace finchstile::bench {

// Processor time of the whole process, in seconds.
inline double processorSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / kNanosecondsPerSecond;
}

// Processor time of the whole process while `work` runs, in seconds.
inline double processorSecondsOf(const std::function<void()>& work) {
  const double start = processorSeconds();
  work();
  return processorSeconds() - start;
}

// Bytes of the heap in use, as counted by bench/allocation_count.cpp.
std::int64_t allocatedBytes();

// Repeated measurements of one quantity.
struct Samples {
  std::vector<double> values;

  // `fraction`: 0 for the minimum, 1 for the maximum.
  double quantile(double fraction) const {
    std::vector<double> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    return sorted.at(
        static_cast<std::size_t>(std::lround(fraction * static_cast<double>(sorted.size() - 1))));
  }
  double median() const { return quantile(0.5); }
  double least() const { return quantile(0); }
  double most() const { return quantile(1); }
};

// One measured quantity at one size.
struct Row {
  std::string variable;  // varied quantity, e.g. "hosts"
  double size = 0;
  std::string cost;  // measured quantity, e.g. "one change"
  std::string unit;
  Samples samples;
};

// Prints each row when it is added and writes it to a tab-separated file, for plotting.
class Table {
 public:
  // With an empty path, no file is written. Throws std::runtime_error if the file cannot be written.
  explicit Table(const std::string& path) {
    if (path.empty()) return;
    file_.open(path, std::ios::trunc);
    if (!file_) throw std::runtime_error("cannot write '" + path + "'");
    file_ << "variable\tsize\tcost\tunit\tmedian\tleast\tmost\tsamples\n";
  }
  void add(const Row& row) {
    std::printf("%-9s %7.6g  %-34s %12.3f %-6s (%.3f to %.3f, %zu)\n", row.variable.c_str(), row.size,
                row.cost.c_str(), row.samples.median(), row.unit.c_str(), row.samples.least(),
                row.samples.most(), row.samples.values.size());
    std::fflush(stdout);
    if (!file_.is_open()) return;
    file_ << row.variable << '\t' << row.size << '\t' << row.cost << '\t' << row.unit << '\t'
          << row.samples.median() << '\t' << row.samples.least() << '\t' << row.samples.most() << '\t'
          << row.samples.values.size() << '\n';
    file_.flush();
    if (!file_) throw std::runtime_error("cannot write the results");
  }

 private:
  std::ofstream file_;
};

}  // namespace finchstile::bench
