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
  // Own shuffle: that of the standard library differs between libraries, and with it the tests' figures.
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[dice_() % i]);
  const double step =
      static_cast<double>(within.count()) / static_cast<double>(std::max<std::size_t>(1, all.size()));
  for (std::size_t i = 0; i < all.size(); ++i) {
    const double part = static_cast<double>(dice_() >> 11) * 0x1.0p-53;
    set(all[i], now + Duration(static_cast<Duration::rep>(step * (static_cast<double>(i) + part))));
  }
}

void DrainPlan::erase(std::uint64_t stream) {
  const auto it = at_.find(stream);
  if (it == at_.end()) return;
  order_.erase({it->second, stream});
  at_.erase(it);
}

// Between two closes. What is left until the gateway's own end has to fit in.
Duration DrainPlan::gap(Time now) const {
  if (rate_ <= 0) return {};
  const Duration even = spacing(rate_);
  if (until_ == Time::max()) return even;
  if (now >= until_) return {};
  return std::min(even, (until_ - now) / static_cast<Duration::rep>(order_.size() + 1));
}

Time DrainPlan::next(Time now) const {
  if (order_.empty()) return Time::max();
  return std::max(std::min(order_.begin()->first, until_), last_ + gap(now));
}

std::vector<std::uint64_t> DrainPlan::due(Time now) {
  std::vector<std::uint64_t> out;
  while (!order_.empty()) {
    const auto [at, stream] = *order_.begin();
    const Duration between = gap(now);
    if ((at > now && now < until_) || last_ + between > now) break;
    // By places in time and not by calls: a loop that comes late makes good what it missed, but no more than
    // a tenth of a second of it at once.
    last_ = std::max(last_ + between, now - std::chrono::milliseconds(100));
    if (now > at) latest_ = std::max(latest_, now - at);
    order_.erase(order_.begin());
    at_.erase(stream);
    out.push_back(stream);
  }
  return out;
}

}  // namespace finchstile::stream
