// The messages in which gateways agree on idempotency keys, as payloads of peer datagrams
// (peer/datagram.hpp). The encoding is fixed by this file: a u8 kind followed by the fields in the order in
// which they are declared, integers little-endian, a string as a u8 length and its bytes. No I/O.
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

// Kind 1: a request of the sender has the key. Answered by a ClaimResponse and retransmitted until then.
struct Claim {
  std::uint64_t requestId = 0;
  SharedKey key;
  std::uint64_t run = 0;             // unique for each claim of the sender
  std::uint32_t membershipHash = 0;  // of the number of gateways and owners that the sender is configured for
  bool responseUnavailable = false;  // the cached response could not be fetched: the run counts as uncertain
};

enum class KeyKnowledge : std::uint8_t { unused, running, completed, uncertain, mismatch, ownerFull };

// Kind 2: what the owner knows of the key. After `unused` and `uncertain` the claimer holds the key.
struct ClaimResponse {
  std::uint64_t requestId = 0;
  KeyKnowledge knowledge = KeyKnowledge::unused;
  std::uint16_t runner = 0;       // the gateway that has the key; for running and completed
  bool senderIsOwner = true;      // by its own configuration the sender owns the key
  bool senderIsNew = false;       // the sender has run for less than the retention and may have missed runs
  AttemptLocation attempt;        // for uncertain
  std::uint32_t remainingMs = 0;  // for uncertain and completed: how much longer that holds
};

// Kind 3: a run has finished. Answered by a FinishedAcknowledgement and retransmitted until then.
struct RunFinishedNotice {
  std::uint64_t requestId = 0;
  SharedKey key;
  std::uint64_t run = 0;
  KeyState state = KeyState::unused;  // or completed, or uncertain
  AttemptLocation attempt;
  std::uint32_t remainingMs = 0;  // how long the state holds
};

// Kind 4.
struct FinishedAcknowledgement {
  std::uint64_t requestId = 0;
};

// Kind 5: asks the gateway that has the cached response for a part of it. Answered by a ResponseChunk.
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
inline constexpr std::size_t kMaxZoneNameBytes = 64;  // longer zone names are left out

std::string encode(const OwnerMessage& message);

// Returns nothing unless `bytes` is exactly one valid message.
std::optional<OwnerMessage> decodeOwnerMessage(std::string_view bytes);

// A response as one string that is sent in chunks: u16 status, u8 length and content type, body.
std::string serializeResponse(const CachedResponse& response);
std::optional<CachedResponse> parseResponse(std::string_view bytes);

}  // namespace finchstile::idempotency
