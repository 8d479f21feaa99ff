// What gateways send one another: datagrams of 256 bytes at most, which come late, twice, in any order or not
// at all. Each is versioned, authenticated under a key that all share, and taken once. No I/O.
//
//   u16 0x4650, u8 version, u8 topic, u16 sender, u64 epoch, u64 number, payload, 16 bytes of SipHash-2-4-128
//   under the shared key over all before them; integers little-endian
//
// `epoch` is another and higher one with each start of the sender (Unix time in ms), `number` rises within
// it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/siphash.hpp"

namespace finchstile::peer {

inline constexpr std::size_t kDatagramMost = 256;  // bytes, all told
inline constexpr std::size_t kOverhead = 2 + 1 + 1 + 2 + 8 + 8 + 16;
inline constexpr std::size_t kPayloadMost = kDatagramMost - kOverhead;
inline constexpr std::uint8_t kVersion = 1;

using Number = std::uint16_t;  // of a gateway: its place in the list of peers

enum class Topic : std::uint8_t { keys = 1, hosts = 2 };

struct Datagram {
  Topic topic{};
  Number sender = 0;
  std::uint64_t epoch = 0, number = 0;
  std::string payload;
};

enum class Verdict : std::uint8_t {
  good,
  malformed,  // too short or long, no datagram of ours
  version,    // of another version: a roll-out is under way, or something else sends here
  forged,     // its sum does not hold under our key
  stranger,   // its sender is none of the list, or not at that address
  replayed    // taken before, too old to tell, or of an epoch before one that was heard of
};

// A payload that is too long is the caller's fault: nothing is encoded.
std::optional<std::string> encode(const Datagram& d, const SipKey& key);
// Good or not by itself; `replayed` and `stranger` are for those below.
Verdict decode(std::string_view bytes, const SipKey& key, Datagram& out);

// Takes each number of a sender once: a window of 64 behind the highest, as in RFC 4303, section 3.4.3.
class ReplayWindow {
 public:
  bool take(std::uint64_t epoch, std::uint64_t number);

 private:
  std::uint64_t epoch_ = 0, highest_ = 0, seen_ = 0;  // bit n: highest - n has been taken
  bool any_ = false;
};

}  // namespace finchstile::peer
