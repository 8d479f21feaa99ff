// Encodes and decodes gossip messages. No I/O.
//
// Format: u8 1, u8 count, then for each update u64 host, u64 start, u8 kind, u64 version, u16 age in
// hundredths of a second; integers are little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

using HostKey = std::uint64_t;  // keyed hash of the host's name, the same on all gateways
using GatewayNumber = std::uint16_t;

// A message for another gateway.
struct OutgoingMessage {
  GatewayNumber recipient = 0;
  std::string payload;
};

// One observation about one process of a host.
struct GossipUpdate {
  enum class Kind : std::uint8_t { unresponsive = 1, draining = 2, removed = 3 };  // values on the wire
  HostKey host = 0;
  std::int64_t startedUnixMs = 0;  // start of the process according to the list; 0: long ago
  Kind kind = Kind::unresponsive;
  std::uint64_t version = 0;  // of the list that contains the phase; 0 for `unresponsive`
  Duration age{};             // since the original observation, on whichever gateway
  friend bool operator==(const GossipUpdate&, const GossipUpdate&) = default;
};

inline constexpr std::uint8_t kGossipMessageType = 1;  // first byte of the payload
inline constexpr std::size_t kGossipUpdateBytes = 27;
inline constexpr std::size_t kMaxUpdatesPerMessage = 8;  // 218 bytes, the maximum payload of a peer datagram
inline constexpr Duration kMaxAge = std::chrono::milliseconds(655'350);

// Returns nothing for no updates or more than `kMaxUpdatesPerMessage`. Ages are rounded up to hundredths of a
// second and limited to `kMaxAge`.
std::optional<std::string> encodeGossipMessage(const std::vector<GossipUpdate>& updates);
// Returns nothing unless the payload has exactly the format above.
std::optional<std::vector<GossipUpdate>> decodeGossipMessage(std::string_view payload);

}  // namespace finchstile::membership
