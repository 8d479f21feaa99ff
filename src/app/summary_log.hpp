// Prints the subsystems' summary lines at intervals, each only when it has changed since it was last printed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.hpp"

namespace finchstile {

class SummaryLog {
 public:
  using CollectLines = std::function<std::vector<std::string>()>;
  using Print = std::function<void(std::string_view line)>;

  SummaryLog(boost::asio::io_context& io, CollectLines collect, Print print);

  // Starts an interval, and restarts a running one. Lines are printed at the end of each interval.
  void start();
  // Takes effect with the next interval. Must be called before the first `start`.
  void setInterval(Duration interval) { interval_ = interval; }

 private:
  void onTimer();

  const CollectLines collect_;
  const Print print_;
  boost::asio::steady_timer timer_;
  Duration interval_{};
  std::map<std::string, std::string> lastLines_;  // by subject
};

// Returns the subject of a summary line: its text up to the first field with a numeric value, for example
// "crossing class=a zone=b" for "crossing class=a zone=b attempts=3".
std::string subjectOfSummary(const std::string& line);

}  // namespace finchstile
