// The messages that gateways exchange to coordinate idempotency keys, as payloads of peer datagrams
// (peer/datagram.hpp). The encoding is stable, since gateways of different versions run side by side: a u8
// kind followed by the fields in the order in which they are declared, integers little-endian, a string as a
// u8 length and its bytes. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/siphash.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// An idempotency key with its tenant and class, and the fingerprint of its request. Both are hashed under the
// secret that all gateways share, so the key's text is not sent.
struct SharedKey {
  SipHash128 id;
  std::uint64_t fingerprint = 0;
};

// Where an attempt was sent, and how long ago: gateways share no clock.
struct AttemptLocation {
  // The age is not known, or too long for the field.
  static constexpr std::uint32_t kUnknownAge = 0xffffffff;
  std::string zone;
  std::int64_t cell = 0;
  std::uint32_t ageMs = kUnknownAge;
};

// Kind 1: the sender begins a run of the key. Answered by a ClaimResponse and retransmitted until then.
struct Claim {
  std::uint64_t requestId = 0;
  SharedKey key;
  std::uint64_t run = 0;             // unique for each claim of the sender
  std::uint32_t membershipHash = 0;  // OwnerSelector::membershipHash() of the sender
  // The cached response could not be fetched, so the earlier run counts as uncertain.
  bool responseUnavailable = false;
};

// The state of a claimed key at its owner. `mismatch`: the key belongs to another request. `ownerFull`: the
// owner has no room for the key.
enum class ClaimResult : std::uint8_t { unused, running, completed, uncertain, mismatch, ownerFull };

// Kind 2: the owner's answer to a claim. With `unused` and `uncertain` the claimer becomes the runner of the
// key.
struct ClaimResponse {
  std::uint64_t requestId = 0;
  ClaimResult result = ClaimResult::unused;
  std::uint16_t runner = 0;       // for running and completed: the gateway that runs or ran the key
  bool senderIsOwner = true;      // according to its own configuration
  bool senderIsNew = false;       // it started recently and may have missed runs (see OwnedKeys)
  AttemptLocation attempt;        // for uncertain
  std::uint32_t remainingMs = 0;  // for uncertain and completed: until that state expires
};

// Kind 3: a run has finished. Answered by a FinishedAcknowledgement and retransmitted until then.
struct RunFinishedNotice {
  std::uint64_t requestId = 0;
  SharedKey key;
  std::uint64_t run = 0;
  KeyState state = KeyState::unused;  // or completed, or uncertain
  AttemptLocation attempt;
  std::uint32_t remainingMs = 0;  // until the state expires
};

// Kind 4.
struct FinishedAcknowledgement {
  std::uint64_t requestId = 0;
};

// Kind 5: requests a part of the cached response from the gateway that has it. Answered by a ResponseChunk.
struct ResponseRequest {
  std::uint64_t requestId = 0;
  SharedKey key;
  std::uint16_t offset = 0;
};

// Kind 6.
struct ResponseChunk {
  std::uint64_t requestId = 0;
  std::uint16_t totalBytes = 0;  // 0: the sender has no response, or one too large to be sent
  std::uint16_t offset = 0;
  std::string bytes;
};

using OwnerMessage = std::variant<Claim, ClaimResponse, RunFinishedNotice, FinishedAcknowledgement,
                                  ResponseRequest, ResponseChunk>;

inline constexpr std::size_t kMaxChunkBytes = 190;
inline constexpr std::size_t kMaxZoneNameBytes = 64;  // a longer zone name is omitted

std::string encode(const OwnerMessage& message);

// Returns nothing unless `bytes` is exactly one valid message.
std::optional<OwnerMessage> decodeOwnerMessage(std::string_view bytes);

// A response as one string that is sent in chunks: u16 status, u8 length and content type, body.
std::string serializeResponse(const CachedResponse& response);
std::optional<CachedResponse> parseResponse(std::string_view bytes);

}  // namespace finchstile::idempotency
