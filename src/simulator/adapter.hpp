// Adapter between the simulator's line protocol and the decision modules of the simulated gateways. Events
// arrive in batches of lines; the actions of each gateway are written as the reply at the end of a batch. The
// names of the protocol are mapped to those of the decision module only here and in the readers in this
// folder.
#pragma once

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "simulator/endpoint_lists.hpp"
#include "simulator/request_ids.hpp"
#include "simulator/simulated_gateway.hpp"

namespace finchstile::load_balancing::simulator {

class Adapter {
 public:
  // Malformed lines are reported to `diagnostics`, which must outlive the adapter.
  explicit Adapter(std::ostream& diagnostics);
  ~Adapter();

  // Processes one line, without its line end. If the line ends a batch, appends the reply to `reply` and
  // returns true. A malformed line is reported and otherwise ignored, except that a malformed request with an
  // id is answered with an error.
  bool feed(std::string_view line, std::string& reply);

  bool insideBatch() const { return insideBatch_; }
  std::size_t lineNumber() const { return lineNumber_; }
  bool malformed() const { return malformed_; }  // a malformed line has been reported

 private:
  // The request that an event refers to, and the attempt, for events that have one.
  struct RequestReference {
    std::string_view name;
    std::uint32_t attempt = 0;
  };

  void beginBatch(std::string_view line, std::string_view fields);
  void endBatch(std::string_view line, std::string& reply);
  void onEvent(std::string_view event, std::string_view fields);

  void addGateway(std::string_view fields);
  void removeGateway(std::string_view fields);
  void onHostListUpdate(SimulatedGateway& gateway, std::string_view fields);
  void onRequest(SimulatedGateway& gateway, std::string_view fields);
  void onAttemptResult(SimulatedGateway& gateway, std::string_view fields);
  void onClientDisconnected(SimulatedGateway& gateway, std::string_view fields);
  void onResponseStarted(SimulatedGateway& gateway, std::string_view fields);
  void onProbeResult(SimulatedGateway& gateway, std::string_view fields);
  void onPeerMessage(SimulatedGateway& gateway, std::string_view fields);

  static RequestReference readReference(std::string_view fields);
  SimulatedGateway& gatewayOf(std::string_view fields);
  void reportMalformedLine(std::string_view line, std::string_view cause);

  std::ostream& diagnostics_;
  TextMap<std::unique_ptr<SimulatedGateway>> gateways_;
  std::vector<SimulatedGateway*> gatewaysInBatch_;  // in the order of their first event in the batch
  EndpointLists lists_;
  Time now_{};  // never decreases
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
  bool malformed_ = false;
};

}  // namespace finchstile::load_balancing::simulator
