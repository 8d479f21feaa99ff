// Builds the JSON configuration and host lists that fake services, tests and benchmarks pass to a gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace finchstile::fake_upstream {

using nlohmann::json;

// Settings of a request class.
struct RequestClass {
  std::string name, idempotency, deduplicationScope;
  double priorityWeight = 1;
  std::int64_t latencyObjectiveNs = 3000000000, clientTimeoutNs = 3000000000;
};

inline json classJson(const RequestClass& requestClass) {
  return {{"name", requestClass.name},
          {"effect", requestClass.idempotency},
          {"group", requestClass.deduplicationScope},
          {"aimNs", requestClass.latencyObjectiveNs},
          {"points", requestClass.priorityWeight},
          {"giveUpNs", requestClass.clientTimeoutNs},
          {"stream", false},
          {"lateShare", 0.0},
          {"windowNs", 2000000000}};
}

inline json settingsJson(const json& classes, bool retryAfter, const std::string& zone) {
  return {{"ceilings",
           {{"cancel", true},
            {"connectTimeoutNs", 500000000},
            {"idleCloseNs", 60000000000},
            {"maxAttempts", 3},
            {"maxRetryAfterNs", 1000000000},
            {"retryAfter", retryAfter},
            {"probes", false},
            {"peers", false}}},
          {"domain", {{"warmKeys", false}}},
          {"grades", classes},
          {"groupSize", 1},
          {"myNumber", 0},
          {"overShareWorth", 0.1},
          {"registryMode", "ask"},
          {"rules",
           {{"askWithinNs", 10000000000},
            {"coldNs", 9000000000},
            {"coldShare", 0.32},
            {"drainGraceNs", 500000000},
            {"fallMultiple", 3.0},
            {"fallNs", 2000000000}}},
          {"stepNs", 5000000},
          {"tenants", json::array()},
          {"zone", zone}};
}

inline json hostJson(const std::string& name, const std::string& address, const std::string& zone,
                     const std::string& status = "active", std::int64_t sinceMs = 0) {
  return {{"name", name}, {"address", address}, {"zone", zone},  {"type", "std"},
          {"group", 0},   {"status", status},   {"weight", 1.0}, {"since_ms", sinceMs}};
}

inline json listJson(int index, bool isSnapshot, const json& hosts) {
  return {{"index", index}, {"snapshot", isSnapshot}, {"endpoints", hosts}};
}

// Names for deployments of any size. Their length does not depend on the index; hosts are spread over five
// zones.
inline std::string zoneName(std::size_t i) { return "zone-" + std::to_string(i % 5); }
inline std::string hostName(std::size_t i) { return "host-" + std::to_string(100000 + i); }
inline std::string tenantName(std::size_t i) { return "tenant-" + std::to_string(100000 + i); }
inline json hostsJson(std::size_t count, const std::string& address) {
  json hosts = json::array();
  for (std::size_t i = 0; i < count; ++i) hosts.push_back(hostJson(hostName(i), address, zoneName(i)));
  return hosts;
}

}  // namespace finchstile::fake_upstream
