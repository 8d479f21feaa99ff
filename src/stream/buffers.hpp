// Bounded memory budget for bytes in transit between the two sides of streams. A direction takes a piece when
// there are bytes to read and returns it when all of them are written, so an idle stream holds none.
//
// Taking a piece never waits. With one shared pool of equal pieces, slow readers could hold all of it and
// block all other streams. Therefore one half of the budget is given out in large pieces while it lasts; the
// other half reserves a small piece for each direction of as many streams as the limit allows. No I/O.
#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace finchstile::stream {

inline constexpr std::size_t kMinPieceBytes = 512;
inline constexpr std::size_t kLargePieceBytes = std::size_t{16} * 1024;

// Smallest budget in bytes that serves `streams` streams.
constexpr std::size_t minBufferBytes(std::size_t streams) { return 4 * kMinPieceBytes * streams; }

class BufferBudget {
 public:
  // `bytes` must be at least `minBufferBytes(streams)`.
  BufferBudget(std::size_t bytes, std::size_t streams)
      : half_(bytes / 2),
        smallPieceBytes_(std::min(kLargePieceBytes, bytes / 2 / std::max<std::size_t>(1, 2 * streams))) {}

  struct Grant {
    std::size_t size = 0;  // at least kMinPieceBytes
    bool large = false;
  };
  // For a direction that holds no piece.
  Grant take() {
    const bool large = largeHeld_ + kLargePieceBytes <= half_;
    const Grant g{large ? kLargePieceBytes : smallPieceBytes_, large};
    (large ? largeHeld_ : smallHeld_) += g.size;
    most_ = std::max(most_, held());
    smallPieces_ += !large;
    return g;
  }
  void returnPiece(const Grant& g) {
    std::size_t& from = g.large ? largeHeld_ : smallHeld_;
    assert(from >= g.size);
    from -= g.size;
  }

  std::size_t held() const { return largeHeld_ + smallHeld_; }
  std::size_t most() const { return most_; }                // peak of held()
  std::size_t smallPieces() const { return smallPieces_; }  // small pieces taken since the start
  std::size_t small() const { return smallPieceBytes_; }

 private:
  const std::size_t half_, smallPieceBytes_;
  std::size_t largeHeld_ = 0, smallHeld_ = 0, most_ = 0, smallPieces_ = 0;
};

}  // namespace finchstile::stream
