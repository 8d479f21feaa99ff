// The datagrams that gateways exchange: versioned, authenticated under a shared key, at most 256 bytes. They
// may arrive late, twice, in any order, or not at all. No I/O.
//
//   u16 0x4650, u8 version, u8 topic, u16 sender, u64 epoch, u64 sequence number, payload, then 16 bytes of
//   SipHash-2-4-128 under the shared key over all bytes before them; integers are little-endian
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/siphash.hpp"

namespace finchstile::peer {

inline constexpr std::size_t kMaxDatagramBytes = 256;
inline constexpr std::size_t kDatagramOverheadBytes = 2 + 1 + 1 + 2 + 8 + 8 + 16;  // all but the payload
inline constexpr std::size_t kMaxPayloadBytes = kMaxDatagramBytes - kDatagramOverheadBytes;
inline constexpr std::uint8_t kProtocolVersion = 1;

using GatewayNumber = std::uint16_t;  // index of a gateway in the list of peers

// What a payload is about; the values are those on the wire.
enum class Topic : std::uint8_t { keys = 1, hosts = 2 };

struct Datagram {
  Topic topic{};
  GatewayNumber sender = 0;
  std::uint64_t epoch = 0;           // higher with each start of the sender: Unix time in milliseconds
  std::uint64_t sequenceNumber = 0;  // rises within an epoch
  std::string payload;
};

// Why a datagram was delivered or dropped.
enum class DatagramResult : std::uint8_t {
  valid,
  malformed,           // too short, too long, or without the magic number
  unsupportedVersion,  // of another release during a roll-out, or from another program
  invalidSignature,    // the sum does not hold under our key
  unknownSender,       // the sender is not in the list, or not at its address
  replayed,            // received before, too old to tell, or of an earlier epoch
};
inline constexpr std::size_t kDatagramResultCount = 6;

// Empty if the payload is too long.
std::optional<std::string> encode(const Datagram& datagram, const SipKey& key);

// Fills `out` if the result is `valid`. `unknownSender` and `replayed` are found by Channel.
DatagramResult decode(std::string_view bytes, const SipKey& key, Datagram& out);

}  // namespace finchstile::peer
