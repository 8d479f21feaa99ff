// Interface for protocols other than HTTP requests. A handler accepts work, carries it to hosts on its own
// connections, and submits it to the load balancer as requests. The gateway only forwards the load balancer's
// actions to it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"

namespace finchstile {

/// Host to which an attempt is sent. The views are valid during the call only.
struct AttemptTarget {
  load_balancing::HostId host = load_balancing::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string_view name, zone;
};

/// Called while the gateway executes actions. A handler may call ProtocolHandlerCallbacks from within;
/// resulting actions are executed after the call, never within it.
class ProtocolHandler {
 public:
  virtual ~ProtocolHandler() = default;
  /// Sends the attempt. It has to be established or ended within `timeout`, and ends with exactly one
  /// `attemptEnded`.
  virtual void onSendAttempt(load_balancing::RequestId request, std::uint32_t attempt,
                             const AttemptTarget& target, Duration timeout) = 0;
  /// Cancels the attempt: nothing of it may be sent from now on. `attemptEnded` must still be called.
  virtual void onCancelAttempt(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  /// These two end a request that is not established. `retryAfter` is the delay before the client may retry;
  /// 0 if unspecified.
  virtual void onRequestRejected(load_balancing::RequestId request, Duration retryAfter) = 0;
  virtual void onRequestFailed(load_balancing::RequestId request) = 0;
  /// The effective phase of a host has changed, because of the endpoint list or a filter.
  virtual void onHostPhaseChanged(load_balancing::HostId host, load_balancing::HostPhase phase) = 0;
  /// The gateway exits at `exitAt` at the latest. The handler must accept nothing new and end everything that
  /// is open.
  virtual void onDrain(Time exitAt) = 0;
  /// Returns true if nothing is open.
  virtual bool isIdle() const = 0;
};

/// Services of the gateway for protocol handlers.
class ProtocolHandlerCallbacks {
 public:
  virtual ~ProtocolHandlerCallbacks() = default;
  /// Returns a new id for `submitRequest`.
  virtual load_balancing::RequestId newRequest() = 0;
  /// Submits a request to the load balancer. The handler receives the resulting actions.
  virtual void submitRequest(ProtocolHandler& handler, const load_balancing::Request& request) = 0;
  /// Reports that an attempt is established: the request is sent to no other host any more, and its timeout
  /// and deadline no longer apply.
  virtual void attemptEstablished(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  /// To be called once for each `onSendAttempt`. `last` means that nothing more follows for the request.
  virtual void attemptEnded(load_balancing::RequestId request, std::uint32_t attempt,
                            load_balancing::HostId host, load_balancing::Outcome outcome, Duration elapsed,
                            bool last) = 0;
  /// Reports that the client disconnected before the request was established.
  virtual void clientDisconnected(load_balancing::RequestId request) = 0;
  /// Returns the effective phase of the host; `removed` if it is unknown.
  virtual load_balancing::HostPhase hostPhase(load_balancing::HostId host) const = 0;
};

}  // namespace finchstile
