// What a client's request says, in the module's terms, and whether it can be used at all.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "finchstile/load_balancer.hpp"
#include "net/client.hpp"
#include "net/tenants.hpp"

namespace finchstile {

inline std::string_view view(boost::beast::string_view s) { return {s.data(), s.size()}; }

class RequestReader {
 public:
  explicit RequestReader(const load_balancing::Settings& settings);

  // `ok`, or the status with which the request is turned down: it fits no class, or not the form of its
  // class, or does not say who asks for how long. Danger: passed on, it would cost hosts work, and one that
  // repeats an id would run as a second copy.
  boost::beast::http::status read(const ClientRequest& message, load_balancing::Request& out) const;

  TenantTable& tenants() { return tenants_; }
  const TenantTable& tenants() const { return tenants_; }

 private:
  struct Class {
    std::uint32_t index = 0;
    load_balancing::Idempotency effect{};
    Duration giveUp{};
  };
  std::unordered_map<std::string, Class> classOf_;
  TenantTable tenants_;
};

}  // namespace finchstile
