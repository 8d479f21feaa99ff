// Fields that records of the idempotency log and of the replication between two processes have in common.
#pragma once

#include <cstdint>

#include "base/fields.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

inline std::int64_t nanoseconds(Time time) { return time.count(); }

inline Time readTime(FieldReader& reader) { return Time(reader.number<std::int64_t>()); }

inline FieldWriter& writeAttempt(FieldWriter& writer, const EarlierAttempt& attempt) {
  return writer.text(attempt.zone).number(attempt.cell).number(nanoseconds(attempt.sentAt));
}

inline EarlierAttempt readAttempt(FieldReader& reader) {
  EarlierAttempt attempt;
  attempt.zone = reader.text();
  attempt.cell = reader.number<std::int64_t>();
  attempt.sentAt = readTime(reader);
  return attempt;
}

inline FieldWriter& writeResponse(FieldWriter& writer, const CachedResponse& response) {
  return writer.number(static_cast<std::uint16_t>(response.status))
      .text(response.contentType)
      .text<std::uint32_t>(response.body);
}

inline CachedResponse readResponse(FieldReader& reader) {
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 999;
  CachedResponse response;
  response.status = reader.number<std::uint16_t>();
  reader.require(response.status >= kMinStatus && response.status <= kMaxStatus);
  response.contentType = reader.text();
  response.body = reader.text<std::uint32_t>();
  return response;
}

}  // namespace finchstile::idempotency
