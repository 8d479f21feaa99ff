// Rejects repeated datagrams of one sender. No I/O.
#pragma once

#include <cstdint>

namespace finchstile::peer {

// Sliding window of the 64 sequence numbers up to the highest one received, as in RFC 4303, section 3.4.3.
class ReplayWindow {
 public:
  // Returns false for a number that was received before or is below the window, and for an epoch earlier than
  // the newest one. A newer epoch starts an empty window.
  bool accept(std::uint64_t epoch, std::uint64_t sequenceNumber);

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t highest_ = 0;
  std::uint64_t received_ = 0;  // bit n: number `highest_` - n was received
  bool empty_ = true;
};

}  // namespace finchstile::peer
