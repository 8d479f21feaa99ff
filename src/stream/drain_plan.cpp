#include "stream/drain_plan.hpp"

#include <algorithm>

namespace finchstile::stream {

void DrainPlan::set(std::uint64_t stream, Time at) {
  const auto [it, fresh] = at_.emplace(stream, at);
  if (!fresh) {
    if (it->second <= at) return;
    order_.erase({it->second, stream});
    it->second = at;
  }
  order_.emplace(at, stream);
}

void DrainPlan::add(const std::vector<std::uint64_t>& streams, Time now, Duration within) {
  std::vector<std::uint64_t> all = streams;
  // std::shuffle differs between standard libraries, which would change the schedule for a seed and the
  // figures expected by tests.
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random_() % i]);
  const double step =
      static_cast<double>(within.count()) / static_cast<double>(std::max<std::size_t>(1, all.size()));
  for (std::size_t i = 0; i < all.size(); ++i) {
    const double part = static_cast<double>(random_() >> 11) * 0x1.0p-53;
    set(all[i], now + Duration(static_cast<Duration::rep>(step * (static_cast<double>(i) + part))));
  }
}

void DrainPlan::erase(std::uint64_t stream) {
  const auto it = at_.find(stream);
  if (it == at_.end()) return;
  order_.erase({it->second, stream});
  at_.erase(it);
}

// Interval between two closes. Shortened so that the remaining streams are closed before the gateway stops.
Duration DrainPlan::closeInterval(Time now) const {
  if (maxRate_ <= 0) return {};
  const Duration even = spacing(maxRate_);
  if (deadline_ == Time::max()) return even;
  if (now >= deadline_) return {};
  return std::min(even, (deadline_ - now) / static_cast<Duration::rep>(order_.size() + 1));
}

Time DrainPlan::next(Time now) const {
  if (order_.empty()) return Time::max();
  return std::max(std::min(order_.begin()->first, deadline_), lastSlot_ + closeInterval(now));
}

std::vector<std::uint64_t> DrainPlan::due(Time now) {
  std::vector<std::uint64_t> out;
  while (!order_.empty()) {
    const auto [at, stream] = *order_.begin();
    const Duration between = closeInterval(now);
    if ((at > now && now < deadline_) || lastSlot_ + between > now) break;
    // Slots advance on the schedule instead of from the time of the call: a late event loop catches up, but
    // with at most 100 ms of missed slots at once.
    lastSlot_ = std::max(lastSlot_ + between, now - std::chrono::milliseconds(100));
    if (now > at) maxDelay_ = std::max(maxDelay_, now - at);
    order_.erase(order_.begin());
    at_.erase(stream);
    out.push_back(stream);
  }
  return out;
}

}  // namespace finchstile::stream
