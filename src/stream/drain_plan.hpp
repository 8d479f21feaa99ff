// When streams are closed that must go, because their host does or the gateway: spread evenly over a time, in
// no order that clients could share, and at a bounded rate over all hosts. Danger: closed at once, all their
// clients come back within one second, to the same few hosts. No I/O.
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
  // `mostPerSecond`: 0: no bound.
  DrainPlan(double mostPerSecond, std::uint64_t seed) : rate_(mostPerSecond), dice_(seed) {}

  // Each goes by its own place in [now, now + within). One that has an earlier place already keeps it.
  void add(const std::vector<std::uint64_t>& streams, Time now, Duration within);
  // The gateway ends at `until`: from now on no bound holds that would leave one over.
  void endsAt(Time until) { until_ = until; }
  void erase(std::uint64_t stream);
  bool planned(std::uint64_t stream) const { return at_.count(stream) > 0; }

  // When `due` has something to give; `Time::max()`: never.
  Time next(Time now) const;
  std::vector<std::uint64_t> due(Time now);

  std::size_t size() const { return at_.size(); }
  Duration latest() const { return latest_; }  // the most that one was put off by the bound

 private:
  static Duration spacing(double perSecond) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
  }
  void set(std::uint64_t stream, Time at);
  Duration gap(Time now) const;

  const double rate_;
  std::mt19937_64 dice_;
  std::set<std::pair<Time, std::uint64_t>> order_;
  std::unordered_map<std::uint64_t, Time> at_;
  Time last_{};  // the place in time that was last given out under the bound
  Time until_ = Time::max();
  Duration latest_{};
};

}  // namespace finchstile::stream
