#include "stream/statistics.hpp"

#include <algorithm>
#include <cstdio>

#include "base/metric_label.hpp"

namespace finchstile::stream {
namespace {

// Limits log lines, so that many simultaneous endings do not flood the log and block the event loop.
constexpr double kMaxLogLinesPerSecond = 50;

template <class E>
constexpr std::size_t at(E e) {
  return static_cast<std::size_t>(e);
}

void line(std::string& out, const char* name, const std::string& labels, std::uint64_t value) {
  out.append("lb_streams_").append(name).append("{").append(labels).append("} ");
  out.append(std::to_string(value)).append("\n");
}

}  // namespace

bool StreamStatistics::takeLogToken(Time now) {
  if (lastRefill_ == Time{}) tokens_ = kMaxLogLinesPerSecond;
  else tokens_ += std::chrono::duration<double>(now - lastRefill_).count() * kMaxLogLinesPerSecond;
  lastRefill_ = now;
  tokens_ = std::min(tokens_, kMaxLogLinesPerSecond);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

std::string StreamStatistics::onEnded(const std::string& name, const EndedStream& e, bool established,
                                      Time now) {
  NameStats& n = of(name);
  const StreamResult became = resultOf(e.how);
  ++n.ended[at(e.how.who)][at(e.how.why)];
  ++n.became[at(became)];
  n.in += e.in;
  n.out += e.out;
  if (established) --n.held;
  if (log_ == LogEnds::none || (log_ == LogEnds::failed && became != StreamResult::failed)) return {};
  if (!takeLogToken(now)) {
    ++suppressedLines_;
    return {};
  }
  char numbers[128];
  std::snprintf(numbers, sizeof numbers, " lasted=%.3fs in=%llu out=%llu",
                std::chrono::duration<double>(e.lasted).count(), static_cast<unsigned long long>(e.in),
                static_cast<unsigned long long>(e.out));
  std::string text = "stream " + name + " " + std::string(nameOf(became)) +
                     " by=" + std::string(nameOf(e.how.who)) + " why=" + std::string(nameOf(e.how.why)) +
                     " from=" + e.from;
  if (!e.host.empty()) text.append(" host=").append(e.host);
  text += numbers;
  if (suppressedLines_ > 0) text += " unsaid=" + std::to_string(std::exchange(suppressedLines_, 0));
  return text;
}

std::uint64_t StreamStatistics::ended(StreamResult became) const {
  std::uint64_t sum = 0;
  for (const auto& [name, n] : names_) sum += n.became[at(became)];
  return sum;
}

std::uint64_t StreamStatistics::ended(EndedBy who, EndReason why) const {
  std::uint64_t sum = 0;
  for (const auto& [name, n] : names_) sum += n.ended[at(who)][at(why)];
  return sum;
}

std::uint64_t StreamStatistics::taken() const {
  std::uint64_t sum = 0;
  for (const auto& [name, n] : names_) sum += n.taken;
  return sum;
}

std::string StreamStatistics::exposition(std::size_t bufferHeld) const {
  std::string out =
      "# TYPE lb_streams_taken_total counter\n# TYPE lb_streams_held gauge\n"
      "# TYPE lb_streams_ended_total counter\n# TYPE lb_streams_bytes_total counter\n"
      "# TYPE lb_streams_buffer_bytes gauge\nlb_streams_buffer_bytes " +
      std::to_string(bufferHeld) + "\n";
  for (const auto& [name, n] : names_) {
    const std::string label = "name=\"" + metricLabel(name) + "\"";
    line(out, "taken_total", label, n.taken);
    line(out, "held", label, n.held);
    line(out, "bytes_total", label + ",way=\"in\"", n.in);
    line(out, "bytes_total", label + ",way=\"out\"", n.out);
    for (std::size_t w = 0; w < 3; ++w)
      for (std::size_t y = 0; y < kEndReasonCount; ++y)
        if (n.ended[w][y] > 0)
          line(out, "ended_total",
               label + ",by=\"" + std::string(nameOf(static_cast<EndedBy>(w))) + "\",why=\"" +
                   std::string(nameOf(static_cast<EndReason>(y))) + "\"",
               n.ended[w][y]);
  }
  return out;
}

std::string StreamStatistics::summary() const {
  std::uint64_t held = 0;
  for (const auto& [name, n] : names_) held += n.held;
  return "streams held=" + std::to_string(held) + " taken=" + std::to_string(taken()) +
         " served=" + std::to_string(ended(StreamResult::served)) +
         " refused=" + std::to_string(ended(StreamResult::refused)) +
         " failed=" + std::to_string(ended(StreamResult::failed));
}

}  // namespace finchstile::stream
