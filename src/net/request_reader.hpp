// Reads what a client's request means to the load balancer, and whether it can be used at all.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/tenant_table.hpp"

namespace finchstile {

class RequestReader {
 public:
  explicit RequestReader(const load_balancing::Settings& settings);

  /// Fills in `out` and returns `ok`, or returns the status with which the request is refused: it fits no
  /// class, or not the form of its class, or does not say who asks and for how long. Such a request would
  /// cost hosts work for nothing.
  boost::beast::http::status read(const ClientRequest& message, load_balancing::Request& out) const;

  TenantTable& tenants() { return tenants_; }
  const TenantTable& tenants() const { return tenants_; }

 private:
  struct RequestClass {
    std::uint32_t index = 0;  // into the settings' classes
    load_balancing::Idempotency idempotency{};
    Duration clientTimeout{};
  };
  static boost::beast::http::status checkForm(const ClientRequest& message, const RequestClass& requestClass);

  std::unordered_map<std::string, RequestClass> classes_;  // by name, the first segment of the target
  TenantTable tenants_;
};

}  // namespace finchstile
