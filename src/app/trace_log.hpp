// The attempt log of the program: receives the gateway's log entries and writes them to a file as lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>

#include "app/trace_file.hpp"
#include "net/attempt_log.hpp"
#include "net/clock.hpp"
#include "trace/line_rate_limiter.hpp"
#include "trace/settings.hpp"
#include "trace/trace_line.hpp"

namespace finchstile {

// Used from the event loop's thread only.
class TraceLog : public AttemptLog {
 public:
  // `{name}` in the file's path stands for the gateway's name. `io` and `clock` must outlive the log. Throws
  // TraceFileError if the file cannot be opened.
  TraceLog(boost::asio::io_context& io, const Clock& clock, const trace::TraceSettings& settings,
           const std::string& gateway);
  ~TraceLog() override { flush(); }

  void onAttempt(const AttemptLogEntry& attempt) override;
  void onRequest(const RequestLogEntry& request) override;
  void onHostPhase(const std::string& host, load_balancing::HostPhase phase) override;

  // Records the regular end of the process, with the number of requests that are still open.
  void stop(std::size_t openRequests);

  // The numbers of written and dropped lines, for the program's log.
  std::string summary() const;

 private:
  void fillIdentity(trace::RequestIdentity& identity, std::string_view id,
                    const load_balancing::ClassSettings& classSettings) const;
  void add(const trace::TraceLine& line);
  void flush();
  void scheduleFlush();
  std::int64_t unixMicroseconds(load_balancing::Time at) const;  // 0 for a time of 0
  std::int64_t unixMicrosecondsNow() const;

  const Clock& clock_;
  const trace::TraceSettings settings_;
  const std::string gateway_;
  TraceFile file_;
  trace::LineRateLimiter rateLimiter_;
  boost::asio::steady_timer flushTimer_;
  std::string buffer_;
  std::uint64_t bufferedLines_ = 0;  // without gap lines
  std::uint64_t writtenLines_ = 0;
  std::uint64_t droppedLines_ = 0;  // as reported by the gap lines in the file
};

}  // namespace finchstile
