// Schedule by which streams of draining hosts, or of a draining gateway, are closed: evenly spread over an
// interval, in random order, with a bounded rate over all hosts. If all were closed at the same time, their
// clients would all reconnect within a second to the same few hosts. No I/O.
#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/clock.hpp"

namespace finchstile::stream {

class DrainPlan {
 public:
  // `mostPerSecond` bounds closes over all hosts; 0: no bound.
  DrainPlan(double mostPerSecond, std::uint64_t seed) : maxRate_(mostPerSecond), random_(seed) {}

  // Schedules each stream at its own time in [now, now + within). A stream that already has an earlier time
  // keeps it.
  void add(const std::vector<std::uint64_t>& streams, Time now, Duration within);
  // The gateway stops at `until`. The rate bound is exceeded where it would leave streams open at that time.
  void endsAt(Time until) { deadline_ = until; }
  void erase(std::uint64_t stream);
  bool planned(std::uint64_t stream) const { return at_.count(stream) > 0; }

  // Time at which `due` returns streams next; `Time::max()`: never.
  Time next(Time now) const;
  std::vector<std::uint64_t> due(Time now);

  std::size_t size() const { return at_.size(); }
  Duration maxDelay() const { return maxDelay_; }  // longest delay of a close by the rate bound

 private:
  static Duration spacing(double perSecond) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
  }
  void set(std::uint64_t stream, Time at);
  Duration closeInterval(Time now) const;

  const double maxRate_;
  std::mt19937_64 random_;
  std::set<std::pair<Time, std::uint64_t>> order_;
  std::unordered_map<std::uint64_t, Time> at_;
  Time lastSlot_{};  // last time slot used under the rate bound
  Time deadline_ = Time::max();
  Duration maxDelay_{};
};

}  // namespace finchstile::stream
