// Time until gateways detect an unresponsive worker, bytes used and rate of false alarms: a simulation of the
// gossip of src/membership with 3 to 1,000 gateways and 10 to 10,000 workers. Deterministic for a seed.
//
//   bench_gossip                       the tables of docs/design/gossip.md
//   bench_gossip --svg gossip.svg      and the plot
//   bench_gossip --gateways 100 --workers 100 --quorum 2 --fanout 3 --loss 0.1
#include "membership/gossip.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "units.hpp"

using namespace finchstile::membership;
using std::chrono::milliseconds;

namespace {

struct Options {
  std::size_t gateways = 100, workers = 100, quorum = 3, fanout = 3, faultyGateways = 0;
  double rate = 50;               // requests per second of a gateway
  double falseRate = 0.001;       // fraction of attempts at healthy workers that get no answer
  double loss = 0.01;             // fraction of datagrams lost
  double observationSeconds = 3;  // for which an observation of an unresponsive worker is valid
  double seconds = 40;            // simulated time
  bool gossip = true;             // false: each gateway detects failures on its own
  bool partitioned = false;       // the gateways are in two halves without a connection between them
  std::uint64_t seed = 1;
};

struct Result {
  // Seconds from the failure to its detection, by gateway; Options::seconds if it was not detected.
  std::vector<double> detectionTimes;
  double meanBytes = 0, maxBytes = 0;  // per gateway and second: mean while updates were sent, maximum
  double falseAlarms = 0;              // onsets per healthy worker, gateway and hour
  double lostAttempts = 0;             // sent to the failed worker by all gateways before kCountingEnds

  // Time after which `fraction` of the gateways have detected the failure, in seconds from the failure.
  double detectionTime(double fraction) const {
    std::vector<double> sorted = detectionTimes;
    std::sort(sorted.begin(), sorted.end());
    return sorted[std::min(
        sorted.size() - 1,
        static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size()))) - 1)];
  }
};

// Times in seconds.
constexpr double kStep = 0.01;        // of the simulation
constexpr double kFailureTime = 5;    // at which the first worker stops responding
constexpr double kCountingEnds = 28;  // lost attempts are counted from the failure until then
constexpr double kAttemptTimeout = 0.4;
constexpr double kNetworkDelay = 0.005;
constexpr double kTickInterval = 0.2;  // of the gossip of a gateway

constexpr double kSecondsPerHour = 3600;
constexpr double kDatagramOverheadBytes = 38;
// Workers simulated individually; the others only affect the request rate per worker.
constexpr std::size_t kMaxSimulatedWorkers = 20;
// Larger fleets are simulated with one seed only.
constexpr std::size_t kMaxGatewaysForAllSeeds = 300;
constexpr std::uint64_t kSeedStride = 1'000'003;  // between the gossip seeds of two runs
constexpr std::chrono::seconds kStartTime(1000);  // of the simulated clock

// The gateways and the workers, with the real gossip and a simulated network.
class Model {
 public:
  explicit Model(const Options& options)
      : options_(options),
        engine_(options.seed),
        simulatedWorkers_(std::min(options.workers, kMaxSimulatedWorkers)) {
    const Time start = time();
    for (std::size_t number = 0; number < options.gateways; ++number) {
      GossipSettings settings;
      settings.ownNumber = static_cast<GatewayNumber>(number);
      settings.gatewayCount = static_cast<GatewayNumber>(options.gateways);
      settings.quorum = options.quorum;
      settings.fanout = options.fanout;
      settings.observationLifetime =
          std::chrono::milliseconds(static_cast<int>(options.observationSeconds * 1000));
      auto gateway = std::make_unique<Gateway>();
      gateway->lastAnswers.assign(simulatedWorkers_, Time{});
      gateway->alarms.assign(simulatedWorkers_, false);
      Gateway* const gatewayPointer = gateway.get();
      gateway->gossip = std::make_unique<Gossip>(
          settings, options.seed * kSeedStride + number, start,
          [gatewayPointer](HostKey worker) { return gatewayPointer->lastAnswers[worker - 1]; });
      for (HostKey worker = 1; worker <= simulatedWorkers_; ++worker)
        gateway->gossip->onListed(worker, 0, finchstile::load_balancing::HostPhase::active, 1, start);
      gateway->nextTick = uniform() * kTickInterval;
      gateways_.push_back(std::move(gateway));
    }
  }

  Result run() {
    Result result;
    result.detectionTimes.assign(options_.gateways, options_.seconds);
    double maxBytes = 0;
    for (now_ = 0; now_ < options_.seconds; now_ += kStep) {
      deliver();
      for (std::size_t index = 0; index < gateways_.size(); ++index) {
        Gateway& gateway = *gateways_[index];
        attempts(gateway, result);
        if (options_.gossip && now_ >= gateway.nextTick) tick(index, gateway, result);
        if (now_ >= kFailureTime && result.detectionTimes[index] >= options_.seconds &&
            hasDetectedFailure(gateway))
          result.detectionTimes[index] = now_ - kFailureTime;
        maxBytes = std::max(maxBytes, gateway.bytesInSecond);
      }
    }
    result.maxBytes = maxBytes;
    double sum = 0, ticks = 0;
    for (const auto& gateway : gateways_)
      sum += gateway->bytesSent, ticks += static_cast<double>(gateway->ticksWithUpdates);
    result.meanBytes = ticks > 0 ? sum / (ticks * kTickInterval) : 0;
    result.falseAlarms = falseAlarms_ / (static_cast<double>(options_.gateways * (simulatedWorkers_ - 1)) *
                                         options_.seconds / kSecondsPerHour);
    return result;
  }

 private:
  struct Attempt {
    double sentAt, timeoutAt;
    std::size_t host;
    bool unanswered;
  };
  struct Gateway {
    std::unique_ptr<Gossip> gossip;
    std::vector<Time> lastAnswers;           // by worker
    std::vector<bool> alarms;                // by worker: unresponsive by quorum at the last tick
    std::deque<Attempt> unansweredAttempts;  // until their time-out, in the order of sending
    Time failureObservedAt{};  // when this gateway itself last observed the failed worker as unresponsive
    double nextTick = 0;
    double bytesSent = 0, bytesInSecond = 0;  // in total and since the start of the current second
    double secondEnds = 0;
    std::size_t ticksWithUpdates = 0;
  };
  struct Datagram {
    double arrivesAt;
    GatewayNumber from, to;
    std::string payload;
  };

  Time time() const {
    return kStartTime + std::chrono::nanoseconds(
                            static_cast<std::int64_t>(now_ * finchstile::bench::kNanosecondsPerSecond));
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(engine_); }

  bool hasDetectedFailure(const Gateway& gateway) const {
    return (gateway.failureObservedAt != Time{} &&
            std::chrono::duration<double>(time() - gateway.failureObservedAt).count() <
                options_.observationSeconds) ||
           gateway.gossip->isUnresponsiveByQuorum(1, time());
  }

  // Simulates the requests of one gateway in one step, and the time-outs of its attempts.
  void attempts(Gateway& gateway, Result& result) {
    const double attemptsPerWorker = options_.rate / static_cast<double>(options_.workers) * kStep;
    // The first worker fails; a gateway that considers it unresponsive sends nothing to it.
    if (uniform() < 1 - std::exp(-attemptsPerWorker)) {
      if (now_ < kFailureTime) {
        gateway.lastAnswers[0] = time();
      } else if (!hasDetectedFailure(gateway)) {
        gateway.unansweredAttempts.push_back({now_, now_ + kAttemptTimeout, 0, true});
        if (now_ < kCountingEnds) result.lostAttempts += 1;
      }
    }
    const double attemptsAtOthers = attemptsPerWorker * static_cast<double>(simulatedWorkers_ - 1);
    for (int n = std::poisson_distribution<>(attemptsAtOthers)(engine_); n > 0; --n) {
      const std::size_t worker =
          1 + static_cast<std::size_t>(uniform() * static_cast<double>(simulatedWorkers_ - 1));
      if (uniform() < options_.falseRate)
        gateway.unansweredAttempts.push_back({now_, now_ + kAttemptTimeout, worker, true});
      else gateway.lastAnswers[worker] = time();
    }
    while (!gateway.unansweredAttempts.empty() && gateway.unansweredAttempts.front().timeoutAt <= now_) {
      const Attempt attempt = gateway.unansweredAttempts.front();
      gateway.unansweredAttempts.pop_front();
      const Time sentAt = time() - std::chrono::nanoseconds(static_cast<std::int64_t>(
                                       (now_ - attempt.sentAt) * finchstile::bench::kNanosecondsPerSecond));
      if (gateway.lastAnswers[attempt.host] >= sentAt) continue;  // the worker has answered a later attempt
      gateway.gossip->onUnresponsive(attempt.host + 1, 0, time());
      if (attempt.host == 0) gateway.failureObservedAt = time();
    }
  }

  // Sends the gossip messages of gateway `index` and counts its false alarms.
  void tick(std::size_t index, Gateway& gateway, Result&) {
    gateway.nextTick += kTickInterval;
    if (now_ >= gateway.secondEnds) gateway.secondEnds = now_ + 1, gateway.bytesInSecond = 0;
    // A faulty gateway reports every worker as unresponsive to all gateways.
    if (index < options_.faultyGateways) {
      std::vector<GossipUpdate> updates;
      for (HostKey worker = 1; worker <= std::min<std::size_t>(simulatedWorkers_, kMaxUpdatesPerMessage);
           ++worker)
        updates.push_back({worker, 0, GossipUpdate::Kind::unresponsive, 0, {}});
      for (std::size_t to = 0; to < options_.gateways; ++to)
        if (to != index)
          send(static_cast<GatewayNumber>(index), static_cast<GatewayNumber>(to),
               *encodeGossipMessage(updates));
      return;
    }
    const auto messages = gateway.gossip->tick(time());
    gateway.ticksWithUpdates += !messages.empty();
    for (const auto& message : messages) {
      gateway.bytesSent += static_cast<double>(message.payload.size()) + kDatagramOverheadBytes;
      gateway.bytesInSecond += static_cast<double>(message.payload.size()) + kDatagramOverheadBytes;
      send(static_cast<GatewayNumber>(index), message.recipient, message.payload);
    }
    for (std::size_t worker = 1; worker < simulatedWorkers_; ++worker) {
      const bool alarm = gateway.gossip->isUnresponsiveByQuorum(worker + 1, time());
      falseAlarms_ += alarm && !gateway.alarms[worker];
      gateway.alarms[worker] = alarm;
    }
  }

  void send(GatewayNumber from, GatewayNumber to, const std::string& payload) {
    const bool separated =
        options_.partitioned && (from < options_.gateways / 2) != (to < options_.gateways / 2);
    if (!separated && uniform() >= options_.loss)
      datagramsInTransit_.push_back({now_ + kNetworkDelay, from, to, payload});
  }
  void deliver() {
    while (!datagramsInTransit_.empty() && datagramsInTransit_.front().arrivesAt <= now_) {
      const Datagram datagram = std::move(datagramsInTransit_.front());
      datagramsInTransit_.pop_front();
      if (datagram.to >= options_.faultyGateways)
        gateways_[datagram.to]->gossip->onMessage(datagram.from, datagram.payload, time());
    }
  }

  const Options options_;
  std::mt19937_64 engine_;
  const std::size_t simulatedWorkers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::deque<Datagram> datagramsInTransit_;
  double now_ = 0, falseAlarms_ = 0;
};

// Means of the results over several seeds.
struct Averages {
  double halfDetected = 0, almostAllDetected = 0;  // seconds until 50% and 99% of gateways detect the failure
  double meanBytes = 0;
  double maxBytes = 0;  // the maximum of all seeds, not the mean
  double falseAlarms = 0, lostAttempts = 0;
};

Averages averageOver(Options options, int seeds) {
  Averages averages;
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    const Result result = Model(options).run();
    averages.halfDetected += result.detectionTime(0.5) / seeds;
    averages.almostAllDetected += result.detectionTime(0.99) / seeds;
    averages.meanBytes += result.meanBytes / seeds;
    averages.maxBytes = std::max(averages.maxBytes, result.maxBytes);
    averages.falseAlarms += result.falseAlarms / seeds;
    averages.lostAttempts += result.lostAttempts / seeds;
  }
  return averages;
}

// `seconds` as text, or "-" if the failure was not detected before the end of the run at `end` seconds.
std::string secondsOrDash(double seconds, double end) {
  constexpr double kEndTolerance = 0.05;  // seconds
  char text[32];
  if (seconds >= end - kFailureTime - kEndTolerance) return "-";
  std::snprintf(text, sizeof text, "%.2f", seconds);
  return text;
}

void printRow(const char* name, const Options& options, const Averages& averages) {
  std::printf("| %s | %s | %s | %.0f | %.0f | %.2f | %.0f |\n", name,
              secondsOrDash(averages.halfDetected, options.seconds).c_str(),
              secondsOrDash(averages.almostAllDetected, options.seconds).c_str(), averages.meanBytes,
              averages.maxBytes, averages.falseAlarms, averages.lostAttempts);
}

void printTableHead(const char* firstColumn) {
  std::printf(
      "\n| %s | half know, s | 99%% know, s | bytes/s with news | worst second | false alarms | lost "
      "attempts |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n",
      firstColumn);
}

// Writes an SVG plot of the fraction of gateways that have detected the failure, over time.
void writePlot(const std::string& path, const std::vector<std::pair<std::string, Options>>& curves) {
  std::ofstream file(path);
  constexpr double kPlotWidth = 640, kPlotHeight = 300, kPlotSeconds = 8;
  constexpr int kLeft = 40, kTop = 20;  // margins
  const char* const colours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"};
  file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth + 190 << "\" height=\""
       << kPlotHeight + 60
       << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
          "fill=\"white\"/>\n";
  for (int t = 0; t <= static_cast<int>(kPlotSeconds); ++t) {
    const double x = kLeft + kPlotWidth * t / kPlotSeconds;
    file << "<line x1=\"" << x << "\" y1=\"" << kTop << "\" x2=\"" << x << "\" y2=\"" << kTop + kPlotHeight
         << "\" stroke=\"#ddd\"/><text x=\"" << x - 4 << "\" y=\"" << kPlotHeight + 38 << "\">" << t
         << "</text>\n";
  }
  for (int p = 0; p <= 100; p += 25)
    file << "<text x=\"4\" y=\"" << 24 + kPlotHeight * (1 - p / 100.0) << "\">" << p << "%</text>\n";
  file << "<text x=\"220\" y=\"" << kPlotHeight + 55
       << "\">seconds since a worker stopped responding (gateways/workers)</text>\n";
  std::size_t n = 0;
  for (const auto& [name, options] : curves) {
    std::vector<double> detectionTimes = Model(options).run().detectionTimes;
    std::sort(detectionTimes.begin(), detectionTimes.end());
    file << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colours[n % 6] << "\""
         << (options.gossip ? "" : " stroke-dasharray=\"5,4\"") << " points=\"" << kLeft << ","
         << kTop + kPlotHeight << " ";
    for (std::size_t i = 0; i < detectionTimes.size(); ++i) {
      if (detectionTimes[i] > kPlotSeconds) break;
      const double x = kLeft + kPlotWidth * detectionTimes[i] / kPlotSeconds,
                   size = static_cast<double>(detectionTimes.size());
      file << x << "," << kTop + kPlotHeight * (1 - static_cast<double>(i) / size) << " " << x << ","
           << kTop + kPlotHeight * (1 - static_cast<double>(i + 1) / size) << " ";
    }
    file << "\"/>\n<text x=\"" << kPlotWidth + 50 << "\" y=\"" << 40 + 18 * static_cast<double>(n)
         << "\" fill=\"" << colours[n % 6] << "\">" << name << "</text>\n";
    ++n;
  }
  file << "</svg>\n";
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  std::string svg;
  int seeds = 3;
  CLI::App app("Simulation of gossip about unresponsive workers among gateways");
  auto* gatewaysOption = app.add_option("--gateways", options.gateways)->check(CLI::Range(2, 1000));
  app.add_option("--workers", options.workers)->check(CLI::Range(2, 10'000));
  app.add_option("--quorum", options.quorum)->check(CLI::Range(1, 16));
  app.add_option("--fanout", options.fanout)->check(CLI::Range(1, 32));
  app.add_option("--rate", options.rate, "requests per second of each gateway");
  app.add_option("--false-rate", options.falseRate,
                 "fraction of the attempts at healthy workers that get no answer");
  app.add_option("--holds", options.observationSeconds, "seconds for which an observation is valid");
  app.add_option("--loss", options.loss, "fraction of the datagrams that are lost");
  app.add_option("--mad", options.faultyGateways, "gateways that report every worker as unresponsive");
  app.add_flag("--cut", options.partitioned, "partition the gateways into two halves without a connection");
  app.add_option("--seeds", seeds)->check(CLI::Range(1, 100));
  app.add_option("--svg", svg, "file for a plot of the fraction of gateways that have detected the failure");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "False alarms: onsets per healthy worker, gateway and hour. Lost attempts: sent to the failed worker "
      "by all\ngateways in the %.0f s after its failure.\n",
      kCountingEnds - kFailureTime);
  if (gatewaysOption->count() > 0) {
    printTableHead("");
    printRow("as specified", options, averageOver(options, seeds));
    return 0;
  }
  for (const std::size_t workers : {10u, 100u, 1000u, 10'000u}) {
    char title[64];
    std::snprintf(title, sizeof title, "gateways, %zu workers", workers);
    printTableHead(title);
    for (const std::size_t gateways : {3u, 10u, 100u, 1000u}) {
      Options variant = options;
      variant.gateways = gateways;
      variant.workers = workers;
      for (const bool gossip : {false, true}) {
        variant.gossip = gossip;
        char name[64];
        std::snprintf(name, sizeof name, "%zu%s", gateways, gossip ? "" : ", no gossip");
        printRow(name, variant, averageOver(variant, gateways > kMaxGatewaysForAllSeeds ? 1 : seeds));
      }
    }
  }
  printTableHead("quorum and fanout; 100 gateways, 100 workers");
  for (const std::size_t quorum : {1u, 2u, 3u, 5u})
    for (const std::size_t fanout : {1u, 3u, 6u}) {
      Options variant = options;
      variant.quorum = quorum;
      variant.fanout = fanout;
      char name[64];
      std::snprintf(name, sizeof name, "quorum %zu, fanout %zu", quorum, fanout);
      printRow(name, variant, averageOver(variant, seeds));
    }
  printTableHead("observation lifetime; 1000 gateways, 10000 workers");
  for (const double observationSeconds : {3.0, 6.0, 12.0}) {
    Options variant = options;
    variant.gateways = 1000;
    variant.workers = 10'000;
    variant.observationSeconds = observationSeconds;
    char name[64];
    std::snprintf(name, sizeof name, "lifetime %.0f s", observationSeconds);
    printRow(name, variant, averageOver(variant, 1));
  }
  printTableHead("faults; 100 gateways, 100 workers");
  const auto addFaultRow = [&](const char* name, const std::function<void(Options&)>& change) {
    Options variant = options;
    change(variant);
    printRow(name, variant, averageOver(variant, seeds));
  };
  addFaultRow("none", [](Options&) {});
  addFaultRow("30% datagram loss", [](Options& variant) { variant.loss = 0.3; });
  addFaultRow("partition into two halves", [](Options& variant) { variant.partitioned = true; });
  addFaultRow("one faulty gateway", [](Options& variant) { variant.faultyGateways = 1; });
  addFaultRow("two faulty gateways", [](Options& variant) { variant.faultyGateways = 2; });
  addFaultRow("three faulty gateways (a quorum)", [](Options& variant) { variant.faultyGateways = 3; });
  addFaultRow("1% of attempts at healthy workers unanswered",
              [](Options& variant) { variant.falseRate = 0.01; });
  if (!svg.empty()) {
    std::vector<std::pair<std::string, Options>> curves;
    const auto add = [&](const char* name, std::size_t gateways, std::size_t workers, bool gossip) {
      Options variant = options;
      variant.gateways = gateways;
      variant.workers = workers;
      variant.gossip = gossip;
      curves.emplace_back(name, variant);
    };
    add("10/10", 10, 10, true);
    add("100/100", 100, 100, true);
    add("100/100, no gossip", 100, 100, false);
    add("1000/1000", 1000, 1000, true);
    add("1000/1000, no gossip", 1000, 1000, false);
    add("1000/10000", 1000, 10'000, true);
    writePlot(svg, curves);
  }
  return 0;
}
