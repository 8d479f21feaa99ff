// Encodes and decodes the datagrams between gateways: versioned, authenticated with a shared key, at most 256
// bytes. They may be delayed, duplicated, reordered or lost. No I/O.
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
inline constexpr std::size_t kDatagramOverheadBytes = 2 + 1 + 1 + 2 + 8 + 8 + 16;  // all except the payload
inline constexpr std::size_t kMaxPayloadBytes = kMaxDatagramBytes - kDatagramOverheadBytes;
inline constexpr std::uint8_t kProtocolVersion = 1;

using GatewayNumber = std::uint16_t;  // index of a gateway in the list of peers

// Subject of a payload: ownership of idempotency keys, or hosts. Values on the wire.
enum class Topic : std::uint8_t { keys = 1, hosts = 2 };

struct Datagram {
  Topic topic{};
  GatewayNumber sender = 0;
  std::uint64_t epoch = 0;           // increases with each start of the sender: Unix time in ms
  std::uint64_t sequenceNumber = 0;  // increases within an epoch
  std::string payload;
};

// Why a datagram was delivered or dropped.
enum class DatagramResult : std::uint8_t {
  valid,
  malformed,           // too short, too long, or without the magic number
  unsupportedVersion,  // from another release during a rollout, or from another program
  invalidSignature,    // not signed with the shared key
  unknownSender,       // the sender is not in the list, or the address is not its own
  replayed,            // received before, below the replay window, or of an earlier epoch
};
inline constexpr std::size_t kDatagramResultCount = 6;

// Returns nothing if the payload is longer than kMaxPayloadBytes.
std::optional<std::string> encode(const Datagram& datagram, const SipKey& key);

// Fills `out` if the result is `valid`. Never returns `unknownSender` or `replayed`, which Channel
// determines.
DatagramResult decode(std::string_view bytes, const SipKey& key, Datagram& out);

}  // namespace finchstile::peer
