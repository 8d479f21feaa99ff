// Encodes the ids of requests whose clients have left, which two processes of a gateway tell each other, so
// that such an id is refused at both. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::handover {

/// An id, and for how long it has been known.
struct AbandonedIdAge {
  std::string id;
  std::int64_t ageMs = 0;
};

/// Returns the payloads of messages of the kind `learnedState`, which earlier releases ignore. Extremely long
/// ids are left out.
std::vector<std::string> encodeAbandonedIds(const std::vector<AbandonedIdAge>& ids);

/// Returns nothing if the text has no such ids.
std::optional<std::vector<AbandonedIdAge>> decodeAbandonedIds(std::string_view text);

}  // namespace finchstile::handover
