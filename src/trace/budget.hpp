// How much the log of attempts may write. Whole requests are chosen by their ids, so that all gateways keep
// the lines of the same ones; a bound on lines a second holds a gateway's cost in a storm. No I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::trace {

// `share` of all ids, 0 to 1; the same ids for the same share, and those of a smaller one among those of a
// larger.
bool chosen(std::string_view id, double share);

class Budget {
 public:
  // `perSecond`: 1 or more; so many may also come at once.
  Budget(double perSecond, load_balancing::Time now) : rate_(perSecond), tokens_(perSecond), at_(now) {}

  // Whether a line may be written. One that may not is counted.
  bool take(load_balancing::Time now);
  // Left out since this was last asked; the place for a line that says so.
  std::uint64_t takeDropped();
  void drop(std::uint64_t lines) { dropped_ += lines; }  // for other reasons

 private:
  double rate_, tokens_;
  load_balancing::Time at_;
  std::uint64_t dropped_ = 0;
};

}  // namespace finchstile::trace
