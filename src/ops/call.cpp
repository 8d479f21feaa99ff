#include "ops/call.hpp"

#include <array>

#include "base/percent.hpp"

namespace finchstile::ops {
namespace {

constexpr std::string_view kRoot = "/api/";
constexpr std::size_t kNameMost = 256;

struct Known {
  std::string_view path, method;
  CallKind kind;
  bool host;
};
constexpr std::array<Known, 8> kKnown = {{
    {"ready", "GET", CallKind::ready, false},
    {"telemetry", "GET", CallKind::telemetry, false},
    {"exclude", "PUT", CallKind::exclude, true},
    {"include", "PUT", CallKind::include, true},
    {"evacuate", "PUT", CallKind::evacuate, false},
    {"rejoin", "PUT", CallKind::rejoin, false},
    {"hosts", "GET", CallKind::hosts, false},
    {"hosts", "GET", CallKind::hosts, true},
}};

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
    if (path != k.path || k.host != (slash != std::string_view::npos)) continue;
    if (method != k.method) {
      none.status = 405;
      none.allow = k.method;
      return none;
    }
    CallResult out;
    out.call = Call{k.kind, {}};
    if (!k.host) return out;
    const auto name = percentDecoded(target.substr(slash + 1));
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
