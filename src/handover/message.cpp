#include "handover/message.hpp"

namespace finchstile::handover {
namespace {

constexpr std::string_view kMagic = "fsho";
constexpr std::size_t kVersionOffset = 4;
constexpr std::size_t kKindOffset = 5;
constexpr std::size_t kReservedOffset = 6;
constexpr std::size_t kHeaderBytes = 8;

std::size_t maxPayloadBytes(MessageKind kind) {
  switch (kind) {
    case MessageKind::hello:
    case MessageKind::welcome: return kMaxNameBytes;
    case MessageKind::idempotencyKeys:
    case MessageKind::learnedState: return kMaxMessageBytes - kHeaderBytes;
    case MessageKind::connection:
    case MessageKind::finished: return 0;
  }
  return 0;
}

bool hasValidHeader(std::string_view bytes) {
  return bytes.size() >= kHeaderBytes && bytes.substr(0, kMagic.size()) == kMagic &&
         static_cast<std::uint8_t>(bytes[kVersionOffset]) == kProtocolVersion &&
         bytes[kReservedOffset] == 0 && bytes[kReservedOffset + 1] == 0;
}

}  // namespace

std::string encode(const Message& message) {
  std::string bytes(kMagic);
  bytes += static_cast<char>(kProtocolVersion);
  bytes += static_cast<char>(message.kind);
  bytes.append(kHeaderBytes - kReservedOffset, '\0');
  bytes += message.text.substr(0, maxPayloadBytes(message.kind));
  return bytes;
}

std::optional<Message> decode(std::string_view bytes, std::size_t descriptors) {
  if (bytes.size() > kMaxMessageBytes || !hasValidHeader(bytes)) return std::nullopt;
  Message message;
  message.kind = static_cast<MessageKind>(bytes[kKindOffset]);
  if (message.kind < MessageKind::hello || message.kind > MessageKind::idempotencyKeys) return std::nullopt;
  if (bytes.size() > kHeaderBytes + maxPayloadBytes(message.kind)) return std::nullopt;
  const std::size_t expectedDescriptors = message.kind == MessageKind::connection ? 1 : 0;
  if (descriptors != expectedDescriptors) return std::nullopt;
  message.text = bytes.substr(kHeaderBytes);
  return message;
}

}  // namespace finchstile::handover
