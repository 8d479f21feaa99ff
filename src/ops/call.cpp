#include "ops/call.hpp"

#include <array>

namespace finchstile::ops {
namespace {

constexpr std::string_view kRoot = "/api/";
constexpr std::size_t kNameMost = 256;

struct Known {
  std::string_view path, method;
  CallKind kind;
  bool host;
};
constexpr std::array<Known, 6> kKnown = {{
    {"ready", "GET", CallKind::ready, false},
    {"telemetry", "GET", CallKind::telemetry, false},
    {"exclude", "PUT", CallKind::exclude, true},
    {"include", "PUT", CallKind::include, true},
    {"evacuate", "PUT", CallKind::evacuate, false},
    {"rejoin", "PUT", CallKind::rejoin, false},
}};

int digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// RFC 3986, 2.1. Danger: a name that is decoded twice, or half, is another host's.
std::optional<std::string> decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = digit(text[i + 1]), low = digit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

}  // namespace

CallResult readCall(std::string_view method, std::string_view target) {
  target = target.substr(0, target.find('?'));
  CallResult none;
  none.status = 404;
  if (target.substr(0, kRoot.size()) != kRoot) return none;
  target.remove_prefix(kRoot.size());
  const std::size_t slash = target.find('/');
  const std::string_view path = target.substr(0, slash);
  for (const Known& k : kKnown) {
    if (path != k.path) continue;
    if (k.host != (slash != std::string_view::npos)) return none;
    if (method != k.method) {
      none.status = 405;
      none.allow = k.method;
      return none;
    }
    CallResult out;
    out.call = Call{k.kind, {}};
    if (!k.host) return out;
    const auto name = decoded(target.substr(slash + 1));
    if (!name || name->empty() || name->size() > kNameMost) {
      none.status = 400;
      return none;
    }
    out.call->host = *name;
    return out;
  }
  return none;
}

}  // namespace finchstile::ops
