#include "hook/headers.hpp"

#include <algorithm>

namespace finchstile::hook {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

}  // namespace

bool sameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

bool isHeaderName(std::string_view name) {
  if (name.empty() || name.size() > kMaxHeaderNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool isHeaderValue(std::string_view value) {
  if (value.size() > kMaxHeaderValueBytes) return false;
  return std::all_of(value.begin(), value.end(), [](char c) {
    const auto b = static_cast<unsigned char>(c);
    return b == '\t' || (b >= 0x20 && b != 0x7f);
  });
}

bool isReservedHeader(std::string_view name) {
  static constexpr std::string_view kReserved[] = {"connection",
                                                   "content-length",
                                                   "expect",
                                                   "host",
                                                   "idempotency-key",
                                                   "keep-alive",
                                                   "te",
                                                   "trailer",
                                                   "transfer-encoding",
                                                   "upgrade",
                                                   "x-correlation-id",
                                                   "x-time-left-ms",
                                                   "retry-after",
                                                   "date",
                                                   "x-unprocessed",
                                                   "proxy-connection",
                                                   "content-encoding"};
  return std::any_of(std::begin(kReserved), std::end(kReserved),
                     [&](std::string_view r) { return sameHeaderName(name, r); });
}

}  // namespace finchstile::hook
