// Protocols beside HTTP requests. A handler accepts work and carries it to hosts by its own means, and asks
// the load balancer as HTTP requests do. The gateway only passes the load balancer's actions on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"

namespace finchstile {

/// Where an attempt is sent. The views are valid during the call only.
struct AttemptTarget {
  load_balancing::HostId host = load_balancing::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string_view name, zone;
};

/// Called while the gateway executes actions. A handler may call ProtocolHandlerCallbacks from within;
/// actions that follow from that are executed after the call, never within it.
class ProtocolHandler {
 public:
  virtual ~ProtocolHandler() = default;
  /// Sends the attempt, which has to be established or ended within `limit`. Each attempt ends with one
  /// `attemptEnded`.
  virtual void onSendAttempt(load_balancing::RequestId request, std::uint32_t attempt,
                             const AttemptTarget& to, Duration limit) = 0;
  /// Nothing of the attempt may be sent from here on. `attemptEnded` is due all the same.
  virtual void onCancelAttempt(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  /// These two end a request that is not established. `after`: when to come back; 0: not said.
  virtual void onRequestRejected(load_balancing::RequestId request, Duration after) = 0;
  virtual void onRequestFailed(load_balancing::RequestId request) = 0;
  /// The phase in force of a host has changed, by the list or by a filter.
  virtual void onHostPhaseChanged(load_balancing::HostId host, load_balancing::HostPhase phase) = 0;
  /// The gateway exits at `until` at the latest. The handler accepts nothing new, and ends what is open.
  virtual void onDrain(Time until) = 0;
  /// Nothing is open.
  virtual bool isIdle() const = 0;
};

/// What the gateway does for protocol handlers.
class ProtocolHandlerCallbacks {
 public:
  virtual ~ProtocolHandlerCallbacks() = default;
  /// An id for `submitRequest`.
  virtual load_balancing::RequestId newRequest() = 0;
  virtual void submitRequest(ProtocolHandler& handler, const load_balancing::Request& request) = 0;
  /// The request goes to no other host any more, and neither time-out nor deadline applies.
  virtual void attemptEstablished(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  /// Called once for each `onSendAttempt`. `last`: nothing more follows for the request.
  virtual void attemptEnded(load_balancing::RequestId request, std::uint32_t attempt,
                            load_balancing::HostId host, load_balancing::Outcome outcome, Duration elapsed,
                            bool last) = 0;
  /// The client has gone before the request was established.
  virtual void clientDisconnected(load_balancing::RequestId request) = 0;
  /// `removed` if the host is not known.
  virtual load_balancing::HostPhase hostPhase(load_balancing::HostId host) const = 0;
};

}  // namespace finchstile
