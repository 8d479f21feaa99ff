#include "idempotency/owner_message.hpp"

#include "base/fields.hpp"

namespace finchstile::idempotency {
namespace {

enum class MessageKind : std::uint8_t {
  claim = 1,
  claimResponse = 2,
  runFinishedNotice = 3,
  finishedAcknowledgement = 4,
  responseRequest = 5,
  responseChunk = 6
};

// The flags of a ClaimResponse.
constexpr std::uint8_t kSenderIsOwner = 1;
constexpr std::uint8_t kSenderIsNew = 2;

constexpr std::size_t kMaxContentTypeBytes = 255;  // its length is a u8
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 999;

FieldWriter writerFor(MessageKind kind) { return FieldWriter(static_cast<std::uint8_t>(kind)); }

FieldWriter& writeKey(FieldWriter& writer, const SharedKey& key) {
  return writer.number(key.id.high).number(key.id.low).number(key.fingerprint);
}

FieldWriter& writeLocation(FieldWriter& writer, const AttemptLocation& location) {
  // A truncated zone name could be the name of another zone. Without a zone and an age the receiver sends no
  // repeat.
  const bool fits = location.zone.size() <= kMaxZoneNameBytes;
  return writer.text<std::uint8_t>(fits ? location.zone : "")
      .number(location.cell)
      .number(fits ? location.ageMs : AttemptLocation::kUnknownAge);
}

SharedKey readKey(FieldReader& reader) {
  SharedKey key;
  key.id.high = reader.number<std::uint64_t>();
  key.id.low = reader.number<std::uint64_t>();
  key.fingerprint = reader.number<std::uint64_t>();
  return key;
}

AttemptLocation readLocation(FieldReader& reader) {
  AttemptLocation location;
  location.zone = reader.text<std::uint8_t>();
  reader.require(location.zone.size() <= kMaxZoneNameBytes);
  location.cell = reader.number<std::int64_t>();
  location.ageMs = reader.number<std::uint32_t>();
  return location;
}

std::uint8_t flagsOf(const ClaimResponse& response) {
  const int owner = response.senderIsOwner ? kSenderIsOwner : 0;
  const int isNew = response.senderIsNew ? kSenderIsNew : 0;
  return static_cast<std::uint8_t>(owner | isNew);
}

struct Encoder {
  std::string operator()(const Claim& claim) const {
    FieldWriter writer = writerFor(MessageKind::claim);
    writer.number(claim.requestId);
    return writeKey(writer, claim.key)
        .number(claim.run)
        .number(claim.membershipHash)
        .number(static_cast<std::uint8_t>(claim.responseUnavailable ? 1 : 0))
        .take();
  }

  std::string operator()(const ClaimResponse& response) const {
    FieldWriter writer = writerFor(MessageKind::claimResponse);
    writer.number(response.requestId)
        .number(static_cast<std::uint8_t>(response.result))
        .number(response.runner)
        .number(flagsOf(response));
    return writeLocation(writer, response.attempt).number(response.remainingMs).take();
  }

  std::string operator()(const RunFinishedNotice& notice) const {
    FieldWriter writer = writerFor(MessageKind::runFinishedNotice);
    writer.number(notice.requestId);
    writeKey(writer, notice.key).number(notice.run).number(static_cast<std::uint8_t>(notice.state));
    return writeLocation(writer, notice.attempt).number(notice.remainingMs).take();
  }

  std::string operator()(const FinishedAcknowledgement& acknowledgement) const {
    return writerFor(MessageKind::finishedAcknowledgement).number(acknowledgement.requestId).take();
  }

  std::string operator()(const ResponseRequest& request) const {
    FieldWriter writer = writerFor(MessageKind::responseRequest);
    writer.number(request.requestId);
    return writeKey(writer, request.key).number(request.offset).take();
  }

  std::string operator()(const ResponseChunk& chunk) const {
    return writerFor(MessageKind::responseChunk)
        .number(chunk.requestId)
        .number(chunk.totalBytes)
        .number(chunk.offset)
        .text<std::uint8_t>(std::string_view(chunk.bytes).substr(0, kMaxChunkBytes))
        .take();
  }
};

Claim readClaim(FieldReader& reader) {
  Claim claim;
  claim.requestId = reader.number<std::uint64_t>();
  claim.key = readKey(reader);
  claim.run = reader.number<std::uint64_t>();
  claim.membershipHash = reader.number<std::uint32_t>();
  const auto unavailable = reader.number<std::uint8_t>();
  reader.require(unavailable <= 1);
  claim.responseUnavailable = unavailable == 1;
  return claim;
}

ClaimResponse readClaimResponse(FieldReader& reader) {
  ClaimResponse response;
  response.requestId = reader.number<std::uint64_t>();
  const auto result = reader.number<std::uint8_t>();
  reader.require(result <= static_cast<std::uint8_t>(ClaimResult::ownerFull));
  response.result = static_cast<ClaimResult>(result);
  response.runner = reader.number<std::uint16_t>();
  const auto flags = reader.number<std::uint8_t>();
  reader.require(flags <= (kSenderIsOwner | kSenderIsNew));
  response.senderIsOwner = (flags & kSenderIsOwner) != 0;
  response.senderIsNew = (flags & kSenderIsNew) != 0;
  response.attempt = readLocation(reader);
  response.remainingMs = reader.number<std::uint32_t>();
  return response;
}

RunFinishedNotice readRunFinishedNotice(FieldReader& reader) {
  RunFinishedNotice notice;
  notice.requestId = reader.number<std::uint64_t>();
  notice.key = readKey(reader);
  notice.run = reader.number<std::uint64_t>();
  const auto state = reader.number<std::uint8_t>();
  notice.state = static_cast<KeyState>(state);
  reader.require(state <= static_cast<std::uint8_t>(KeyState::uncertain) &&
                 notice.state != KeyState::running);
  notice.attempt = readLocation(reader);
  notice.remainingMs = reader.number<std::uint32_t>();
  return notice;
}

ResponseRequest readResponseRequest(FieldReader& reader) {
  ResponseRequest request;
  request.requestId = reader.number<std::uint64_t>();
  request.key = readKey(reader);
  request.offset = reader.number<std::uint16_t>();
  return request;
}

ResponseChunk readResponseChunk(FieldReader& reader) {
  ResponseChunk chunk;
  chunk.requestId = reader.number<std::uint64_t>();
  chunk.totalBytes = reader.number<std::uint16_t>();
  chunk.offset = reader.number<std::uint16_t>();
  chunk.bytes = reader.text<std::uint8_t>();
  reader.require(chunk.bytes.size() <= kMaxChunkBytes &&
                 chunk.offset + chunk.bytes.size() <= chunk.totalBytes);
  return chunk;
}

std::optional<OwnerMessage> readMessage(FieldReader& reader) {
  switch (static_cast<MessageKind>(reader.number<std::uint8_t>())) {
    case MessageKind::claim: return readClaim(reader);
    case MessageKind::claimResponse: return readClaimResponse(reader);
    case MessageKind::runFinishedNotice: return readRunFinishedNotice(reader);
    case MessageKind::finishedAcknowledgement: return FinishedAcknowledgement{reader.number<std::uint64_t>()};
    case MessageKind::responseRequest: return readResponseRequest(reader);
    case MessageKind::responseChunk: return readResponseChunk(reader);
  }
  return std::nullopt;
}

}  // namespace

std::string encode(const OwnerMessage& message) { return std::visit(Encoder{}, message); }

std::optional<OwnerMessage> decodeOwnerMessage(std::string_view bytes) {
  FieldReader reader(bytes);
  auto message = readMessage(reader);
  if (!reader.isComplete()) return std::nullopt;
  return message;
}

std::string serializeResponse(const CachedResponse& response) {
  std::string bytes;
  putLittleEndian(bytes, static_cast<std::uint16_t>(response.status));
  const std::string_view type = std::string_view(response.contentType).substr(0, kMaxContentTypeBytes);
  putLittleEndian(bytes, static_cast<std::uint8_t>(type.size()));
  bytes += type;
  return bytes + response.body;
}

std::optional<CachedResponse> parseResponse(std::string_view bytes) {
  FieldReader reader(bytes);
  CachedResponse response;
  response.status = reader.number<std::uint16_t>();
  response.contentType = reader.text<std::uint8_t>();
  if (!reader.require(response.status >= kMinStatus && response.status <= kMaxStatus)) return std::nullopt;
  response.body = reader.rest();
  return response;
}

}  // namespace finchstile::idempotency
