// finchstile-reconnect-surge: plays a rolling deploy with held streams in a model, prints what became of the
// streams, draws them (--svg), and says whether the bounds held. Exit code 0 if they did, 1 if not, CLI11's
// on bad options.
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
  CLI::App app("A rolling deploy with streams, in a model");
  app.add_option("--workers", options.workers, "workers, each replaced once")->check(CLI::Range(1, 1000));
  app.add_option("--gateways", options.gateways)->check(CLI::Range(1, 100));
  app.add_option("--streams", options.streams)->check(CLI::Range(1, 200'000));
  app.add_option("--rate", options.workerRate, "streams that may begin at one worker a second; 0: no bound");
  app.add_option("--drain-within", options.drainTime, "seconds");
  app.add_option("--drain-rate", options.gatewayEndRate, "ended a second by one gateway; 0: no bound");
  app.add_option("--gap", options.replacementInterval, "seconds from one worker's drain to the next one's");
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
