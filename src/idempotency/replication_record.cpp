#include "idempotency/replication_record.hpp"

#include <type_traits>
#include <utility>

#include "idempotency/record_fields.hpp"

namespace finchstile::idempotency {
namespace {

// Kinds below are those of the log.
enum class RecordKind : std::uint8_t {
  keyRestored = 16,
  keysComplete = 17,
  runGranted = 18,
  runAnswered = 19,
  runRefused = 20
};

FieldWriter writerFor(RecordKind kind) { return FieldWriter(static_cast<std::uint8_t>(kind)); }

struct Encoder {
  template <class LogRecordType>
  std::string operator()(const LogRecordType& record) const {
    return encode(LogRecord(record));
  }

  std::string operator()(const KeyRestored& restored) const {
    FieldWriter writer = writerFor(RecordKind::keyRestored);
    writer.number(restored.fingerprint.high).number(restored.fingerprint.low);
    writer.text(restored.tenant).text(restored.className).text(restored.key);
    writer.number(static_cast<std::uint8_t>(restored.state));
    if (restored.state == KeyState::completed) writeResponse(writer, restored.response);
    writeAttempt(writer, restored.earlierAttempt);
    return writer.number(nanoseconds(restored.expiresAt)).take();
  }

  std::string operator()(const KeysComplete&) const { return writerFor(RecordKind::keysComplete).take(); }

  std::string operator()(const RunGranted& granted) const {
    FieldWriter writer = writerFor(RecordKind::runGranted);
    writer.number(granted.run).number(nanoseconds(granted.expiresAt));
    writer.number(static_cast<std::uint8_t>(granted.earlierAttempt ? 1 : 0));
    if (granted.earlierAttempt) writeAttempt(writer, *granted.earlierAttempt);
    return writer.take();
  }

  std::string operator()(const RunAnswered& answered) const {
    FieldWriter writer = writerFor(RecordKind::runAnswered);
    writer.number(answered.run).number(nanoseconds(answered.expiresAt));
    writeAttempt(writer, answered.earlierAttempt);
    return writeResponse(writer, answered.response).take();
  }

  std::string operator()(const RunRefused& refused) const {
    return writerFor(RecordKind::runRefused).number(refused.run).take();
  }
};

KeyRestored readKeyRestored(FieldReader& reader) {
  KeyRestored restored;
  restored.fingerprint.high = reader.number<std::uint64_t>();
  restored.fingerprint.low = reader.number<std::uint64_t>();
  restored.tenant = reader.text();
  restored.className = reader.text();
  restored.key = reader.text();
  restored.state = static_cast<KeyState>(reader.number<std::uint8_t>());
  reader.require(restored.state == KeyState::completed || restored.state == KeyState::uncertain);
  if (restored.state == KeyState::completed) restored.response = readResponse(reader);
  restored.earlierAttempt = readAttempt(reader);
  restored.expiresAt = readTime(reader);
  return restored;
}

RunGranted readRunGranted(FieldReader& reader) {
  RunGranted granted;
  granted.run = reader.number<std::uint64_t>();
  granted.expiresAt = readTime(reader);
  const auto hasAttempt = reader.number<std::uint8_t>();
  reader.require(hasAttempt <= 1);
  if (hasAttempt == 1) granted.earlierAttempt = readAttempt(reader);
  return granted;
}

RunAnswered readRunAnswered(FieldReader& reader) {
  RunAnswered answered;
  answered.run = reader.number<std::uint64_t>();
  answered.expiresAt = readTime(reader);
  answered.earlierAttempt = readAttempt(reader);
  answered.response = readResponse(reader);
  return answered;
}

std::optional<ReplicationRecord> readRecord(FieldReader& reader) {
  switch (static_cast<RecordKind>(reader.number<std::uint8_t>())) {
    case RecordKind::keyRestored: return readKeyRestored(reader);
    case RecordKind::keysComplete: return KeysComplete{};
    case RecordKind::runGranted: return readRunGranted(reader);
    case RecordKind::runAnswered: return readRunAnswered(reader);
    case RecordKind::runRefused: return RunRefused{reader.number<std::uint64_t>()};
  }
  return std::nullopt;
}

}  // namespace

std::string encodeReplicationRecord(const ReplicationRecord& record) { return std::visit(Encoder{}, record); }

std::optional<ReplicationRecord> decodeReplicationRecord(std::string_view bytes) {
  if (auto logRecord = decode(bytes))
    return std::visit([](auto& typed) { return ReplicationRecord(std::move(typed)); }, *logRecord);
  FieldReader reader(bytes);
  auto record = readRecord(reader);
  if (!reader.isComplete()) return std::nullopt;
  return record;
}

}  // namespace finchstile::idempotency
