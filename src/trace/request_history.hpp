// All records of one request id, from all gateways, and their display as a timeline. No I/O.
#pragma once

#include <string>
#include <vector>

#include "trace/trace_line.hpp"

namespace finchstile::trace {

struct RequestHistory {
  // Once sorted: by the time at which the host was chosen.
  std::vector<AttemptLine> attempts;
  // One for each time that a gateway received the id. Once sorted: by arrival.
  std::vector<RequestLine> requests;
};

// Returns the history with its records in the order stated above.
RequestHistory sorted(RequestHistory history);

// Whether a byte of the attempt was sent to its host.
bool wasSent(const AttemptLine& attempt);

// The request record that an attempt belongs to, of those with its id at its gateway; null if there is none.
// `history` must be sorted. The result points into it.
const RequestLine* requestOf(const RequestHistory& history, const AttemptLine& attempt);

// Returns one line per event, in order of time, with the milliseconds since the first event. Empty for an
// empty history. `history` must be sorted.
std::string formatTimeline(const RequestHistory& history);

// Microseconds as milliseconds with one decimal place.
std::string formatMilliseconds(std::int64_t microseconds);

}  // namespace finchstile::trace
