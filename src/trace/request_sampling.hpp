// Chooses the requests whose records the attempt log keeps. The choice depends on the request's id alone, so
// that all gateways keep the records of the same requests and one request can be followed through all of
// them. No I/O.
#pragma once

#include <string_view>

namespace finchstile::trace {

// Whether the request `id` is in the sample. `fraction`: of all ids, 0 to 1. A sample of a smaller fraction
// is part of any sample of a larger one.
bool isSampled(std::string_view id, double fraction);

}  // namespace finchstile::trace
