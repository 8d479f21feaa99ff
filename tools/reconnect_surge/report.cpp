#include "reconnect_surge/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <fstream>

namespace finchstile::reconnect_surge {
namespace {

constexpr std::size_t kSecondsPerRow = 10;
// Limits: the streams started at a worker in any second, as a factor of the configured rate plus a burst for
// each gateway, and the spread of streams among the replacements at the end, as a fraction of the mean.
constexpr double kMaxRateFactor = 1.3;
constexpr double kBurstPerGateway = 2;
constexpr double kMaxSpread = 0.4;

struct Figures {
  std::size_t startsAfterDrainGrace = 0;
  double maxStartsPerSecond = 0;
  double maxWarmUpRateFactor = 0;  // starts per second at a warming worker / its part of the rate
  std::size_t fewestStreams = SIZE_MAX, mostStreams = 0;  // of any replacement, at the end
};

// Counts, for each start at the worker, the streams started there within the second before it.
void countStarts(const Worker& worker, const Options& options, Figures& figures) {
  const std::vector<double>& starts = worker.streamStarts;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] >= 1) ++first;
    const auto count = static_cast<double>(last - first + 1);
    figures.maxStartsPerSecond = std::max(figures.maxStartsPerSecond, count);
    const double age = starts[last] - worker.startedAt;
    if (worker.startedAt <= 0 || starts[last] >= worker.startedAt + options.warmUpTime) continue;
    const double capacity =
        options.initialCapacityFraction + (1 - options.initialCapacityFraction) * age / options.warmUpTime;
    figures.maxWarmUpRateFactor =
        std::max(figures.maxWarmUpRateFactor, count / (options.workerRate * capacity));
  }
}

Figures figuresOf(const Model& model, const Options& options) {
  Figures figures;
  const std::vector<Worker>& workers = model.workers();
  for (const Worker& worker : workers) {
    const double lastAllowedStart = worker.drainsAt + kNotificationDelay + kDrainGrace;
    for (const double start : worker.streamStarts) figures.startsAfterDrainGrace += start > lastAllowedStart;
    countStarts(worker, options, figures);
  }
  for (std::size_t i = options.workers; i < workers.size(); ++i) {
    figures.fewestStreams = std::min(figures.fewestStreams, workers[i].openStreams);
    figures.mostStreams = std::max(figures.mostStreams, workers[i].openStreams);
  }
  return figures;
}

void printTable(const Model& model) {
  const std::size_t workers = model.workers().size();
  std::printf("| s |");
  for (const Worker& worker : model.workers()) std::printf(" %s |", worker.name.c_str());
  std::printf(" without stream | rejected |\n| --- |");
  for (std::size_t i = 0; i < workers + 2; ++i) std::printf(" --- |");
  std::printf("\n");
  const std::vector<Sample>& samples = model.samples();
  for (std::size_t row = 0; row < samples.size(); row += kSecondsPerRow) {
    const Sample& sample = samples[row];
    std::printf("| %.0f |", sample.at);
    for (std::size_t i = 0; i < workers; ++i)
      std::printf(" %zu |", i < sample.openStreams.size() ? sample.openStreams[i] : 0);
    std::printf(" %zu | %zu |\n", sample.clientsWithoutStream, sample.rejections);
  }
}

}  // namespace

bool printReport(const Model& model, const Options& options) {
  printTable(model);
  const Figures figures = figuresOf(model, options);
  const double mean = static_cast<double>(options.streams) / static_cast<double>(options.workers);
  const double spread = static_cast<double>(figures.mostStreams - figures.fewestStreams) / mean;
  std::printf("\nstreams that began at a draining worker later than %.1f s after its notification: %zu\n",
              kDrainGrace, figures.startsAfterDrainGrace);
  std::printf(
      "most streams that began at one worker in any second: %.0f (rate %.0f and a quarter in a burst)\n",
      figures.maxStartsPerSecond, options.workerRate);
  std::printf("warming workers, most in a second against their part of the rate: %.2f\n",
              figures.maxWarmUpRateFactor);
  std::printf("streams of a replacement at the end: %zu to %zu, a spread of %.1f%% of the mean\n",
              figures.fewestStreams, figures.mostStreams, 100 * spread);
  std::printf("rejected: %zu; longest reconnect: %.1f s\n", model.rejections(), model.longestReconnect());
  const double maxStarts =
      options.workerRate * kMaxRateFactor + kBurstPerGateway * static_cast<double>(options.gateways);
  const bool held =
      figures.startsAfterDrainGrace == 0 && figures.maxStartsPerSecond <= maxStarts && spread < kMaxSpread;
  std::printf("%s\n", held ? "bounds held" : "BOUNDS BROKEN");
  return held;
}

void drawStreams(const Model& model, const std::string& path) {
  constexpr double kWidth = 960, kHeight = 420, kLeft = 60, kTop = 30;
  constexpr int kGridLines = 4;
  const std::vector<Sample>& samples = model.samples();
  const std::vector<Worker>& workers = model.workers();
  double maxStreams = 1;
  for (const Sample& sample : samples)
    for (const std::size_t count : sample.openStreams)
      maxStreams = std::max(maxStreams, static_cast<double>(count));
  const double end = samples.back().at;
  std::ofstream out(path);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"1060\" height=\"500\" "
         "font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"60\" y=\"18\">streams by worker "
         "over time, s"
      << "</text>\n";
  for (int i = 0; i <= kGridLines; ++i) {
    const double y = kTop + kHeight * (1 - i / static_cast<double>(kGridLines));
    out << "<line x1=\"" << kLeft << "\" y1=\"" << y << "\" x2=\"" << kLeft + kWidth << "\" y2=\"" << y
        << "\" stroke=\"#ddd\"/><text x=\"8\" y=\"" << y + 4 << "\">"
        << std::lround(maxStreams * i / kGridLines) << "</text>\n";
    const double x = kLeft + kWidth * i / kGridLines;
    out << "<text x=\"" << x - 8 << "\" y=\"" << kTop + kHeight + 18 << "\">"
        << std::lround(end * i / kGridLines) << "</text>\n";
  }
  for (std::size_t w = 0; w < workers.size(); ++w) {
    const auto hue = 360 * w / workers.size();
    out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"hsl(" << hue << ",70%,40%)\" points=\"";
    for (const Sample& sample : samples) {
      if (w >= sample.openStreams.size()) continue;
      out << kLeft + kWidth * sample.at / end << ","
          << kTop + kHeight * (1 - static_cast<double>(sample.openStreams[w]) / maxStreams) << " ";
    }
    out << "\"/>\n<text fill=\"hsl(" << hue << ",70%,40%)\" x=\"" << 60 + 70 * w << "\" y=\"480\">"
        << workers[w].name << "</text>\n";
  }
  out << "</svg>\n";
}

}  // namespace finchstile::reconnect_surge
