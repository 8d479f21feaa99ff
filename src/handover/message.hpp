// Encodes and decodes the messages between two processes of a gateway while the successor takes over from the
// predecessor. No I/O.
//
// Each message is one datagram of a SOCK_SEQPACKET socket, so a descriptor always arrives together with its
// message:
//
//   offset  bytes
//        0  4      "fsho"
//        4  1      version, 1
//        5  1      kind
//        6  2      0
//        8  ...    payload
//
//   kind 1  hello         from the successor: the payload is the gateway's name
//   kind 2  welcome       the predecessor's response: the payload is the gateway's name
//   kind 3  connection    from the predecessor: an idle client connection; its descriptor is sent along, no
//                         payload
//   kind 4  finished      from the predecessor: no more connections follow; no payload
//   kind 5  learnedState  from the predecessor, after its welcome: what its load balancer has learned
//                         (learned_state_text.hpp); then its endpoint list, in parts (host_list_parts.hpp).
//                         From either process: ids of requests whose clients left (abandoned_ids_text.hpp)
//   kind 6  idempotencyKeys  a record of idempotency keys (idempotency/replication_record.hpp). From the
//                         successor only if the predecessor has announced it by kKeysAnnouncement in a
//                         message of kind 5, and from the predecessor only after the successor's first one
//
// A process closes its channel when it receives anything else. Between two releases with different formats
// client connections are therefore closed when the predecessor exits, as if there were no successor.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace finchstile::handover {

inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kMaxMessageBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxNameBytes = 256;  // of the name of a gateway

// Values on the wire.
enum class MessageKind : std::uint8_t {
  hello = 1,
  welcome = 2,
  connection = 3,
  finished = 4,
  learnedState = 5,
  idempotencyKeys = 6
};

// The payload of a message of kind 5, sent before all others of that kind, from a process that exchanges
// idempotency keys. Earlier releases ignore it.
inline constexpr std::string_view kKeysAnnouncement = R"({"idempotencyKeys":1})";

struct Message {
  MessageKind kind = MessageKind::hello;
  std::string text;  // the payload
};

// Longer payloads are truncated: names to kMaxNameBytes, learned state to what a message holds.
std::string encode(const Message& message);

// `descriptors` is the number of descriptors received with the message. Returns nothing unless the message is
// valid, with one descriptor for a connection and none for all other kinds.
std::optional<Message> decode(std::string_view bytes, std::size_t descriptors);

}  // namespace finchstile::handover
