#include "idempotency/log_record.hpp"

#include "idempotency/record_fields.hpp"

namespace finchstile::idempotency {
namespace {

enum class RecordKind : std::uint8_t {
  session = 1,
  runStarted = 2,
  attemptSent = 3,
  attemptNotExecuted = 4,
  runFinished = 5
};

FieldWriter writerFor(RecordKind kind) { return FieldWriter(static_cast<std::uint8_t>(kind)); }

struct Encoder {
  std::string operator()(const Session& session) const {
    return writerFor(RecordKind::session)
        .number(Session::kVersion)
        .number(session.seed.a)
        .number(session.seed.b)
        .text(session.timeBase.bootId)
        .number(session.timeBase.steadyEpochNs)
        .number(session.timeBase.unixEpochNs)
        .take();
  }

  std::string operator()(const RunStarted& started) const {
    FieldWriter writer = writerFor(RecordKind::runStarted);
    writer.number(started.run).number(nanoseconds(started.startedAt));
    writer.number(started.fingerprint.high).number(started.fingerprint.low);
    writer.text(started.tenant).text(started.className).text(started.key);
    writer.number(static_cast<std::uint8_t>(started.earlierAttempt ? 1 : 0));
    if (started.earlierAttempt) writeAttempt(writer, *started.earlierAttempt);
    return writer.take();
  }

  std::string operator()(const AttemptSent& sent) const {
    FieldWriter writer = writerFor(RecordKind::attemptSent);
    writer.number(sent.run);
    return writeAttempt(writer, sent.attempt).take();
  }

  std::string operator()(const AttemptNotExecuted& notExecuted) const {
    return writerFor(RecordKind::attemptNotExecuted).number(notExecuted.run).take();
  }

  std::string operator()(const RunFinished& finished) const {
    FieldWriter writer = writerFor(RecordKind::runFinished);
    writer.number(finished.run).number(nanoseconds(finished.finishedAt));
    writer.number(static_cast<std::uint8_t>(finished.state));
    if (finished.state == KeyState::completed) writeResponse(writer, finished.response);
    return writer.take();
  }
};

Session readSession(FieldReader& reader) {
  Session session;
  reader.require(reader.number<std::uint8_t>() == Session::kVersion);
  session.seed.a = reader.number<std::uint64_t>();
  session.seed.b = reader.number<std::uint64_t>();
  session.timeBase.bootId = reader.text();
  session.timeBase.steadyEpochNs = reader.number<std::int64_t>();
  session.timeBase.unixEpochNs = reader.number<std::int64_t>();
  return session;
}

RunStarted readRunStarted(FieldReader& reader) {
  RunStarted started;
  started.run = reader.number<std::uint64_t>();
  started.startedAt = readTime(reader);
  started.fingerprint.high = reader.number<std::uint64_t>();
  started.fingerprint.low = reader.number<std::uint64_t>();
  started.tenant = reader.text();
  started.className = reader.text();
  started.key = reader.text();
  const auto hasAttempt = reader.number<std::uint8_t>();
  reader.require(hasAttempt <= 1);
  if (hasAttempt == 1) started.earlierAttempt = readAttempt(reader);
  return started;
}

AttemptSent readAttemptSent(FieldReader& reader) {
  AttemptSent sent;
  sent.run = reader.number<std::uint64_t>();
  sent.attempt = readAttempt(reader);
  return sent;
}

RunFinished readRunFinished(FieldReader& reader) {
  RunFinished finished;
  finished.run = reader.number<std::uint64_t>();
  finished.finishedAt = readTime(reader);
  const auto state = reader.number<std::uint8_t>();
  finished.state = static_cast<KeyState>(state);
  reader.require(state <= static_cast<std::uint8_t>(KeyState::uncertain) &&
                 finished.state != KeyState::running);
  if (finished.state == KeyState::completed) finished.response = readResponse(reader);
  return finished;
}

std::optional<LogRecord> readRecord(FieldReader& reader) {
  switch (static_cast<RecordKind>(reader.number<std::uint8_t>())) {
    case RecordKind::session: return readSession(reader);
    case RecordKind::runStarted: return readRunStarted(reader);
    case RecordKind::attemptSent: return readAttemptSent(reader);
    case RecordKind::attemptNotExecuted: return AttemptNotExecuted{reader.number<std::uint64_t>()};
    case RecordKind::runFinished: return readRunFinished(reader);
  }
  return std::nullopt;
}

}  // namespace

std::string encode(const LogRecord& record) { return std::visit(Encoder{}, record); }

std::optional<LogRecord> decode(std::string_view bytes) {
  FieldReader reader(bytes);
  auto record = readRecord(reader);
  if (!reader.isComplete()) return std::nullopt;
  return record;
}

}  // namespace finchstile::idempotency
