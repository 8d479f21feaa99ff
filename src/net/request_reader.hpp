// Validates client requests and extracts their parameters for the load balancer.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/tenant_table.hpp"

namespace finchstile {

/// Maps requests to classes and tenants.
class RequestReader {
 public:
  explicit RequestReader(const load_balancing::Settings& settings);

  /// Sets `out` and returns `ok`, or returns the status with which the request is refused: it matches no
  /// class, doesn't have the form of its class, or lacks a valid correlation id or time limit. Hosts would
  /// process such a request in vain.
  boost::beast::http::status read(const ClientRequest& message, load_balancing::Request& out) const;

  TenantTable& tenants() { return tenants_; }
  const TenantTable& tenants() const { return tenants_; }

 private:
  struct RequestClass {
    std::uint32_t index = 0;  // index into Settings::classes
    load_balancing::Idempotency idempotency{};
    Duration clientTimeout{};
  };
  static boost::beast::http::status checkForm(const ClientRequest& message, const RequestClass& requestClass);

  std::unordered_map<std::string, RequestClass> classes_;  // by class name, the first segment of the target
  TenantTable tenants_;
};

}  // namespace finchstile
