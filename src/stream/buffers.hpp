// Memory for what streams hold between their two sides, bounded in all. A direction takes a piece when there
// are bytes to be read, and gives it back when all of it is written: a stream at rest holds none.
//
// Nobody waits for a piece. Danger: with one bound and pieces of one size, slow readers take all of it, and
// the streams of everybody else stand still. So one half is dealt out in large pieces as long as it lasts;
// the other half has a small one for each direction of each stream that there may be. No I/O.
#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace finchstile::stream {

inline constexpr std::size_t kPieceLeast = 512;
inline constexpr std::size_t kPieceLarge = std::size_t{16} * 1024;

// The least that `streams` streams need.
constexpr std::size_t minBufferBytes(std::size_t streams) { return 4 * kPieceLeast * streams; }

class BufferBudget {
 public:
  // `bytes` is `minBufferBytes(streams)` or more.
  BufferBudget(std::size_t bytes, std::size_t streams)
      : half_(bytes / 2), small_(std::min(kPieceLarge, bytes / 2 / std::max<std::size_t>(1, 2 * streams))) {}

  struct Grant {
    std::size_t size = 0;  // kPieceLeast or more
    bool large = false;
  };
  // For one direction that holds none.
  Grant take() {
    const bool large = large_ + kPieceLarge <= half_;
    const Grant g{large ? kPieceLarge : small_, large};
    (large ? large_ : inSmall_) += g.size;
    most_ = std::max(most_, held());
    scarce_ += !large;
    return g;
  }
  void giveBack(const Grant& g) {
    std::size_t& from = g.large ? large_ : inSmall_;
    assert(from >= g.size);
    from -= g.size;
  }

  std::size_t held() const { return large_ + inSmall_; }
  std::size_t most() const { return most_; }      // ever held
  std::size_t scarce() const { return scarce_; }  // pieces that had to be small, since the start
  std::size_t small() const { return small_; }

 private:
  const std::size_t half_, small_;
  std::size_t large_ = 0, inSmall_ = 0, most_ = 0, scarce_ = 0;
};

}  // namespace finchstile::stream
