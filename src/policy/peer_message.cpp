#include "policy/peer_message.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace finchstile::load_balancing::peer {
namespace {

constexpr std::uint8_t kVersion = 0x10;  // upper four bits of the first byte; the lower four are the kind
constexpr std::uint8_t kVersionMask = 0xf0;
constexpr std::uint8_t kKindMask = 0x0f;
constexpr double kValueUnit = 1.0 / 12;
constexpr std::size_t kMinSize = 5;

void appendInteger(std::string& bytes, std::uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8) bytes.push_back(static_cast<char>(value >> shift & 0xff));
}

std::uint32_t integerAt(std::string_view bytes, std::size_t position) {
  std::uint32_t value = 0;
  for (std::size_t i = 4; i > 0; --i)
    value = value << 8 | static_cast<unsigned char>(bytes[position + i - 1]);
  return value;
}

double valueAt(std::string_view bytes, std::size_t position) {
  return static_cast<std::uint8_t>(bytes[position]) * kValueUnit;
}

bool hasCorrelationId(MessageKind kind) {
  return kind == MessageKind::recommendationRequest || kind == MessageKind::recommendation;
}

std::size_t sizeOf(MessageKind kind) {
  switch (kind) {
    case MessageKind::recommendationRequest: return 13;
    case MessageKind::recommendation: return 14;
    case MessageKind::attemptStarted: return kMinSize;
    case MessageKind::attemptEnded: return 7;
  }
  return 0;
}

}  // namespace

std::string encode(const Message& message) {
  std::string bytes(1, static_cast<char>(kVersion | static_cast<std::uint8_t>(message.kind)));
  appendInteger(bytes, message.hostHash);
  if (hasCorrelationId(message.kind)) {
    appendInteger(bytes, static_cast<std::uint32_t>(message.correlationId));
    appendInteger(bytes, static_cast<std::uint32_t>(message.correlationId >> 32));
  }
  if (message.kind == MessageKind::attemptEnded) bytes.push_back(static_cast<char>(message.outcome));
  if (message.kind == MessageKind::attemptEnded || message.kind == MessageKind::recommendation)
    bytes.push_back(static_cast<char>(std::clamp(std::lround(message.value / kValueUnit), 0L, 255L)));
  return bytes;
}

bool decode(std::string_view bytes, Message& message) {
  if (bytes.size() < kMinSize) return false;
  const auto head = static_cast<std::uint8_t>(bytes[0]);
  message.kind = static_cast<MessageKind>(head & kKindMask);
  if ((head & kVersionMask) != kVersion || bytes.size() != sizeOf(message.kind)) return false;
  message.hostHash = integerAt(bytes, 1);
  if (hasCorrelationId(message.kind))
    message.correlationId = integerAt(bytes, 5) | static_cast<std::uint64_t>(integerAt(bytes, 9)) << 32;
  if (message.kind == MessageKind::recommendation) message.value = valueAt(bytes, 13);
  if (message.kind == MessageKind::attemptEnded) {
    const auto outcome = static_cast<std::uint8_t>(bytes[5]);
    if (outcome > static_cast<std::uint8_t>(Outcome::notSent)) return false;
    message.outcome = static_cast<Outcome>(outcome);
    message.value = valueAt(bytes, 6);
  }
  return true;
}

}  // namespace finchstile::load_balancing::peer
