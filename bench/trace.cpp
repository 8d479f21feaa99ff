// Cost of the attempt log: for a request with one attempt (two lines), from the event in the gateway to the
// buffer of the writer thread; and the time to merge logs.
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

int main(int argc, char** argv) {
  using namespace finchstile;
  const int requests = argc > 1 ? std::max(1, std::atoi(argv[1])) : 200000;
  const auto seconds = [](auto what) {
    const auto begun = std::chrono::steady_clock::now();
    what();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  };
  boost::asio::io_context io;
  const Clock clock;
  finchstile::load_balancing::ClassSettings type;
  type.name = "stock-out";
  const auto play = [&](double share, double perSecond) {
    trace::TraceSettings settings;
    settings.file = "/dev/null";
    settings.sampleFraction = share;
    settings.linesPerSecond = perSecond;
    settings.maxFileBytes = std::size_t{1} << 40;
    settings.maxQueuedBytes = std::size_t{1} << 30;
    TraceLog log(io, clock, settings, "n54");
    return seconds([&] {
             for (int i = 0; i < requests; ++i) {
               const std::string id = "574506fc" + std::to_string(i);
               const auto now = clock.now();
               const HostObservation known{now, now, {}, false};
               log.onAttempt({id, type, 0, "s-68200762", "brasov", 3, now, now,
                              finchstile::load_balancing::Outcome::served, false, false, known});
               log.onRequest(
                   {id, type, now, std::chrono::milliseconds(480), RequestResult::served, 200, 1, 0});
             }
           }) /
           requests * 1e6;
  };
  std::printf(
      "a request, two lines: %.2f us written, %.2f us beyond the rate, %.2f us not chosen (share 0.01)\n",
      play(1, 1e6 * 1000), play(1, 1), play(0.01, 1e9));
  trace::LogMerger log;
  std::string text;
  const double read = seconds([&] {
    for (int i = 0; i < requests; ++i) {
      trace::AttemptLine a;
      a.gateway = "n" + std::to_string(i % 300);
      a.id = std::to_string(i);
      a.host = "s-" + std::to_string(i % 200);
      a.chosenAtUs = 1764621000000000 + std::int64_t{100} * i;
      a.firstByteAtUs = a.chosenAtUs + 300;
      a.endedAtUs = a.chosenAtUs + 80000;
      text.clear();
      trace::appendLine(text, a);
      text.pop_back();
      log.add(trace::parseLine(text).line);
    }
  });
  std::size_t findings = 0;
  const double audit = seconds([&] { findings = trace::audit(log, {}).size(); });
  std::printf("put together: %.2f us a line, audit of %d requests %.2f s, %zu findings\n",
              read / requests * 1e6, requests, audit, findings);
}
