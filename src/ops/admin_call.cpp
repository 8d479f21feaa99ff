#include "ops/admin_call.hpp"

#include <array>

#include "base/percent.hpp"

namespace finchstile::ops {
namespace {

constexpr std::string_view kPathPrefix = "/api/";
constexpr std::size_t kMaxHostNameBytes = 256;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;

struct Route {
  std::string_view path, method;
  AdminCallKind kind;
  bool namesHost;
};

constexpr std::array<Route, 8> kRoutes = {{
    {"ready", "GET", AdminCallKind::ready, false},
    {"telemetry", "GET", AdminCallKind::telemetry, false},
    {"exclude", "PUT", AdminCallKind::exclude, true},
    {"include", "PUT", AdminCallKind::include, true},
    {"evacuate", "PUT", AdminCallKind::evacuate, false},
    {"rejoin", "PUT", AdminCallKind::rejoin, false},
    {"hosts", "GET", AdminCallKind::hosts, false},
    {"hosts", "GET", AdminCallKind::hosts, true},
}};

const Route* findRoute(std::string_view path, bool namesHost) {
  for (const Route& route : kRoutes)
    if (route.path == path && route.namesHost == namesHost) return &route;
  return nullptr;
}

}  // namespace

AdminCallResult parseAdminCall(std::string_view method, std::string_view target) {
  target = target.substr(0, target.find('?'));
  if (target.substr(0, kPathPrefix.size()) != kPathPrefix) return {std::nullopt, kNotFound, {}};
  target.remove_prefix(kPathPrefix.size());
  const std::size_t slash = target.find('/');
  const Route* const route = findRoute(target.substr(0, slash), slash != std::string_view::npos);
  if (!route) return {std::nullopt, kNotFound, {}};
  if (method != route->method) return {std::nullopt, kMethodNotAllowed, route->method};
  AdminCallResult result;
  result.call = AdminCall{route->kind, {}};
  if (!route->namesHost) return result;
  const auto host = percentDecoded(target.substr(slash + 1));
  if (!host || host->empty() || host->size() > kMaxHostNameBytes) return {std::nullopt, kBadRequest, {}};
  result.call->host = *host;
  return result;
}

}  // namespace finchstile::ops
