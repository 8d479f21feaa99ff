#include "membership/gossip_message.hpp"

#include <algorithm>

#include "base/little_endian.hpp"

namespace finchstile::membership {
namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(10);
constexpr std::size_t kHeaderBytes = 2;
constexpr std::size_t kStartOffset = 8;
constexpr std::size_t kKindOffset = 16;
constexpr std::size_t kVersionOffset = 17;
constexpr std::size_t kAgeOffset = 25;

// Rounds up: with each forwarding an update that is rounded down would become younger.
std::uint16_t encodeAge(Duration age) {
  const Duration bounded = std::clamp(age, Duration{}, kMaxAge);
  return static_cast<std::uint16_t>((bounded + kAgeUnit - Duration(1)) / kAgeUnit);
}

void encodeUpdate(const GossipUpdate& update, std::string& out) {
  putLittleEndian(out, update.host);
  putLittleEndian(out, static_cast<std::uint64_t>(update.startedUnixMs));
  putLittleEndian(out, static_cast<std::uint8_t>(update.kind));
  putLittleEndian(out, update.version);
  putLittleEndian(out, encodeAge(update.age));
}

std::optional<GossipUpdate> decodeUpdate(std::string_view bytes) {
  const auto kind = static_cast<std::uint8_t>(bytes[kKindOffset]);
  constexpr auto kFirst = static_cast<std::uint8_t>(GossipUpdate::Kind::unresponsive);
  constexpr auto kLast = static_cast<std::uint8_t>(GossipUpdate::Kind::removed);
  GossipUpdate update;
  update.host = getLittleEndian<std::uint64_t>(bytes);
  update.startedUnixMs =
      static_cast<std::int64_t>(getLittleEndian<std::uint64_t>(bytes.substr(kStartOffset)));
  if (kind < kFirst || kind > kLast || update.startedUnixMs < 0) return std::nullopt;
  update.kind = static_cast<GossipUpdate::Kind>(kind);
  update.version = getLittleEndian<std::uint64_t>(bytes.substr(kVersionOffset));
  update.age = getLittleEndian<std::uint16_t>(bytes.substr(kAgeOffset)) * kAgeUnit;
  return update;
}

}  // namespace

std::optional<std::string> encodeGossipMessage(const std::vector<GossipUpdate>& updates) {
  if (updates.empty() || updates.size() > kMaxUpdatesPerMessage) return std::nullopt;
  std::string payload;
  payload.reserve(kHeaderBytes + updates.size() * kGossipUpdateBytes);
  putLittleEndian(payload, kGossipMessageType);
  putLittleEndian(payload, static_cast<std::uint8_t>(updates.size()));
  for (const GossipUpdate& update : updates) encodeUpdate(update, payload);
  return payload;
}

std::optional<std::vector<GossipUpdate>> decodeGossipMessage(std::string_view payload) {
  if (payload.size() < kHeaderBytes) return std::nullopt;
  if (static_cast<std::uint8_t>(payload[0]) != kGossipMessageType) return std::nullopt;
  const std::size_t count = static_cast<std::uint8_t>(payload[1]);
  if (count == 0 || count > kMaxUpdatesPerMessage) return std::nullopt;
  if (payload.size() != kHeaderBytes + count * kGossipUpdateBytes) return std::nullopt;
  std::vector<GossipUpdate> updates;
  updates.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto update = decodeUpdate(payload.substr(kHeaderBytes + i * kGossipUpdateBytes));
    if (!update) return std::nullopt;
    updates.push_back(*update);
  }
  return updates;
}

}  // namespace finchstile::membership
