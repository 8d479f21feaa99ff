// Cost of the attempt log: the time of the event loop for a request with one attempt (two lines), up to the
// buffer of the writer thread; and the time to format, parse and merge lines and to audit the merged log.
//   build/bench_trace [REQUESTS]
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/trace_log.hpp"
#include "trace/log_auditor.hpp"
#include "trace/log_merger.hpp"
#include "trace/trace_line_codec.hpp"
#include "units.hpp"

constexpr double kUnlimitedLinesPerSecond = 1e9;  // in effect no limit

int main(int argc, char** argv) {
  using namespace finchstile;
  const int requests = argc > 1 ? std::max(1, std::atoi(argv[1])) : 200000;
  // Duration of one call of `work`, in seconds.
  const auto secondsOf = [](auto work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  boost::asio::io_context io;
  const Clock clock;
  finchstile::load_balancing::ClassSettings requestClass;
  requestClass.name = "stock-out";
  // Time to log one request, in microseconds.
  const auto logMicroseconds = [&](double sampleFraction, double linesPerSecond) {
    trace::TraceSettings settings;
    settings.file = "/dev/null";
    settings.sampleFraction = sampleFraction;
    settings.linesPerSecond = linesPerSecond;
    settings.maxFileBytes = std::size_t{1} << 40;
    settings.maxQueuedBytes = std::size_t{1} << 30;
    TraceLog log(io, clock, settings, "n54");
    return secondsOf([&] {
             for (int i = 0; i < requests; ++i) {
               const std::string id = "574506fc" + std::to_string(i);
               const auto now = clock.now();
               const HostObservation observation{now, now, {}, false};
               log.onAttempt({id, requestClass, 0, "s-68200762", "brasov", 3, now, now,
                              finchstile::load_balancing::Outcome::served, false, false, observation});
               log.onRequest(
                   {id, requestClass, now, std::chrono::milliseconds(480), RequestResult::served, 200, 1, 0});
             }
           }) /
           requests * finchstile::bench::kMicrosecondsPerSecond;
  };
  std::printf(
      "per request of two lines: %.2f us written, %.2f us over the rate limit, %.2f us not sampled (fraction "
      "0.01)\n",
      logMicroseconds(1, kUnlimitedLinesPerSecond), logMicroseconds(1, 1),
      logMicroseconds(0.01, kUnlimitedLinesPerSecond));
  trace::LogMerger merger;
  std::string text;
  const double mergeSeconds = secondsOf([&] {
    for (int i = 0; i < requests; ++i) {
      trace::AttemptLine line;
      line.gateway = "n" + std::to_string(i % 300);
      line.id = std::to_string(i);
      line.host = "s-" + std::to_string(i % 200);
      line.chosenAtUs = 1764621000000000 + std::int64_t{100} * i;
      line.firstByteAtUs = line.chosenAtUs + 300;
      line.endedAtUs = line.chosenAtUs + 80000;
      text.clear();
      trace::appendLine(text, line);
      text.pop_back();
      merger.add(trace::parseLine(text).line);
    }
  });
  std::size_t findings = 0;
  const double auditSeconds = secondsOf([&] { findings = trace::audit(merger, {}).size(); });
  std::printf("formatted, parsed and merged: %.2f us per line, audit of %d requests %.2f s, %zu findings\n",
              mergeSeconds / requests * finchstile::bench::kMicrosecondsPerSecond, requests, auditSeconds,
              findings);
}
