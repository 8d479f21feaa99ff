// finchstile-reconnect-surge: simulates a rolling deploy with long-lived streams, prints and optionally draws
// (--svg) the number of streams over time, and reports whether the limits were met. The exit code is 0 if
// they were, 1 if not, and that of CLI11 for invalid options.
//
//   finchstile-reconnect-surge --workers 6 --streams 2000 --rate 20 --drain-within 20 --gap 25 --svg
//   surge.svg
#include <CLI/CLI.hpp>
#include <string>

#include "reconnect_surge/model.hpp"
#include "reconnect_surge/report.hpp"

int main(int argc, char** argv) {
  finchstile::reconnect_surge::Options options;
  std::string drawing;
  CLI::App app("Simulates a rolling deploy with long-lived streams");
  app.add_option("--workers", options.workers, "workers, each replaced once")->check(CLI::Range(1, 1000));
  app.add_option("--gateways", options.gateways)->check(CLI::Range(1, 100));
  app.add_option("--streams", options.streams)->check(CLI::Range(1, 200'000));
  app.add_option("--rate", options.workerRate,
                 "limit for streams started at one worker per second; 0: no limit");
  app.add_option("--drain-within", options.drainTime, "seconds");
  app.add_option("--drain-rate", options.gatewayEndRate,
                 "streams ended per second by one gateway; 0: no limit");
  app.add_option("--gap", options.replacementInterval, "seconds between the drains of two workers");
  app.add_option("--return-within", options.retrySpread, "seconds");
  app.add_flag("!--at-once", options.spreadsDrain, "end all streams of a worker at once");
  app.add_option("--seed", options.seed);
  app.add_option("--svg", drawing, "draw streams by worker over time");
  CLI11_PARSE(app, argc, argv);
  finchstile::reconnect_surge::Model model(options);
  model.run();
  const bool held = finchstile::reconnect_surge::printReport(model, options);
  if (!drawing.empty()) finchstile::reconnect_surge::drawStreams(model, drawing);
  return held ? 0 : 1;
}
