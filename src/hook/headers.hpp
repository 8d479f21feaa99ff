// Which header lines a hook may set. Names are tokens; values are visible ASCII, blanks and bytes above 0x7f
// (RFC 9110, 5.1 and 5.5). Neither can contain a line end, which prevents header injection.
#pragma once

#include <string_view>

namespace finchstile::hook {

inline constexpr std::size_t kMaxHeaderNameBytes = 64;
inline constexpr std::size_t kMaxHeaderValueBytes = 1024;

// Case-insensitive.
bool sameHeaderName(std::string_view a, std::string_view b);
bool isHeaderName(std::string_view name);
bool isHeaderValue(std::string_view value);
// Whether only the gateway may set the header: framing, connection and encoding; the request's identity,
// deadline and idempotency key; Date, Expect, Retry-After and X-Unprocessed.
bool isReservedHeader(std::string_view name);

}  // namespace finchstile::hook
