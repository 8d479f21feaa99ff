// One gateway of the simulator: a decision module, and what is needed to name things to it.
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
  // Throws std::invalid_argument as LoadBalancer does. `reportFields`: see readReportFields.
  SimulatedGateway(std::string_view name, const Settings& settings, std::vector<std::string> reportFields,
                   Time now);

  const std::string& name() const { return name_; }
  LoadBalancer& loadBalancer() { return loadBalancer_; }
  RequestIds& requests() { return requests_; }

  // Index into the settings; kNone if they have no class or tenant of that name.
  std::uint32_t classIndex(std::string_view name) const;
  std::uint32_t tenantIndex(std::string_view name) const;

  // A load report from its comma-separated values. Throws ProtocolError if one is no number.
  LoadReport readLoadReport(std::string_view values) const;

  // Writes the decision module's actions as lines, after those that are there, and forgets the requests that
  // they have ended.
  void writeActions();
  // Writes that a request, by the simulator's name, ends with an error; the decision module was not asked.
  void writeError(std::string_view request);
  // The lines of this batch, which are cleared.
  std::string takeLines();

  bool hasEventInBatch = false;  // kept by the adapter

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
