// Runs decision modules behind the simulator's line protocol: events come in batches of lines, and the
// actions of each gateway go back when a batch ends. Nothing is decided here; the protocol's names are mapped
// to those of the decision module here and in the readers beside this file, and nowhere else.
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
  // Complaints about lines that the protocol does not allow go to `complaints`, which must outlive the
  // adapter.
  explicit Adapter(std::ostream& complaints);
  ~Adapter();

  // Takes one line without its line end. When the line closes a batch, appends the reply to `reply` and
  // returns true. A line that the protocol does not allow has no effect but a complaint.
  bool feed(std::string_view line, std::string& reply);

  bool insideBatch() const { return insideBatch_; }
  std::size_t lineNumber() const { return lineNumber_; }
  bool malformed() const { return malformed_; }  // a complaint has been made

 private:
  // The request, and the attempt where the event has one, that an event names.
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
  void complain(std::string_view line, std::string_view cause);

  std::ostream& complaints_;
  TextMap<std::unique_ptr<SimulatedGateway>> gateways_;
  std::vector<SimulatedGateway*> gatewaysInBatch_;  // in the order of their first event
  EndpointLists lists_;
  Time now_{};  // never goes back
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
  bool malformed_ = false;
};

}  // namespace finchstile::load_balancing::simulator
