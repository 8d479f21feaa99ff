#include "peer/replay_window.hpp"

namespace finchstile::peer {
namespace {

constexpr std::uint64_t kWindowSize = 64;

}  // namespace

bool ReplayWindow::accept(std::uint64_t epoch, std::uint64_t sequenceNumber) {
  if (!empty_ && epoch < epoch_) return false;
  if (empty_ || epoch > epoch_) {
    empty_ = false;
    epoch_ = epoch;
    highest_ = sequenceNumber;
    received_ = 1;
    return true;
  }
  if (sequenceNumber > highest_) {
    const std::uint64_t advance = sequenceNumber - highest_;
    received_ = advance >= kWindowSize ? 0 : received_ << advance;
    received_ |= 1;
    highest_ = sequenceNumber;
    return true;
  }
  const std::uint64_t distance = highest_ - sequenceNumber;
  if (distance >= kWindowSize) return false;
  const std::uint64_t bit = std::uint64_t{1} << distance;
  if ((received_ & bit) != 0) return false;
  received_ |= bit;
  return true;
}

}  // namespace finchstile::peer
