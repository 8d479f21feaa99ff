// One simulated gateway: a decision module, and the mappings from the simulator's names to its indices and
// ids.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "simulator/request_ids.hpp"

namespace finchstile::load_balancing::simulator {

class SimulatedGateway {
 public:
  // Throws std::invalid_argument on invalid settings. `reportFields`: see readReportFields.
  SimulatedGateway(std::string_view name, const Settings& settings, std::vector<std::string> reportFields,
                   Time now);

  const std::string& name() const { return name_; }
  LoadBalancer& loadBalancer() { return loadBalancer_; }
  RequestIds& requests() { return requests_; }

  // Index into the settings; kNone if there is no class or tenant with that name.
  std::uint32_t classIndex(std::string_view name) const;
  std::uint32_t tenantIndex(std::string_view name) const;

  // Parses the comma-separated values of a load report. Throws ProtocolError if one is not a number.
  LoadReport readLoadReport(std::string_view values) const;

  // Appends the decision module's actions as lines, and releases the requests that they end.
  void writeActions();
  // Appends a line that ends a request with an error, without the decision module. `request` is its name.
  void writeError(std::string_view request);
  // Returns the lines of this batch and clears them.
  std::string takeLines();

  bool hasEventInBatch = false;  // maintained by the adapter

 private:
  void writeAction(const Action& action);

  std::string name_;
  LoadBalancer loadBalancer_;
  RequestIds requests_;
  TextMap<std::uint32_t> classes_, tenants_;
  std::vector<std::string> reportFields_;
  std::string lines_;
};

}  // namespace finchstile::load_balancing::simulator
