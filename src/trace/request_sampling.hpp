// Chooses the requests that are recorded in the attempt log. The choice depends on the request's id alone,
// so that all gateways record the same requests and each can be traced through all of them. No I/O.
#pragma once

#include <string_view>

namespace finchstile::trace {

// Whether the request `id` is in the sample. `fraction`: of all ids, 0 to 1. The sample of a smaller
// fraction is a subset of that of a larger one.
bool isSampled(std::string_view id, double fraction);

}  // namespace finchstile::trace
