// The log of attempts in the program: what the gateway tells, as lines in a file.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>

#include "app/trace_file.hpp"
#include "net/attempt_log.hpp"
#include "net/clock.hpp"
#include "trace/budget.hpp"
#include "trace/line.hpp"
#include "trace/settings.hpp"

namespace finchstile {

class TraceLog : public AttemptLog {
 public:
  // `{name}` in the file's path stands for the gateway's name. Throws std::runtime_error if the file can't be
  // opened.
  TraceLog(boost::asio::io_context& io, const Clock& clock, const trace::TraceSettings& settings,
           const std::string& gateway);
  ~TraceLog() override { flush(); }

  void onAttempt(const AttemptLogEntry& attempt) override;
  void onRequest(const RequestLogEntry& request) override;
  void onHostPhase(const std::string& host, load_balancing::HostPhase phase) override;
  void stop(std::size_t open);  // the process ends in order, with so many requests open
  std::string summary() const;

 private:
  void describe(trace::About& about, std::string_view id, const load_balancing::ClassSettings& type) const;
  void add(const trace::Line& line);
  void flush();
  void waitToFlush();
  std::int64_t unixUs(load_balancing::Time at) const;  // 0 for never
  std::int64_t ageMs(load_balancing::Time since, load_balancing::Time at) const;

  const Clock& clock_;
  const trace::TraceSettings settings_;
  const std::string gateway_;
  TraceFile file_;
  trace::Budget budget_;
  boost::asio::steady_timer timer_;
  std::string lines_;
  std::uint64_t linesNow_ = 0, written_ = 0, leftOut_ = 0;
};

}  // namespace finchstile
