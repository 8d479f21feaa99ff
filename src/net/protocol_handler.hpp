// A front beside HTTP requests: it has its own way of taking something in and of carrying it to a host, and
// asks the same module as every request does. The gateway passes the module's decisions on; what becomes of
// them on sockets is the front's own.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"

namespace finchstile {

// Where an attempt goes to. The views stay good during the call.
struct AttemptTarget {
  load_balancing::HostId host = load_balancing::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string_view name, zone;
};

// Danger: called while the gateway carries out actions. A front may call its FrontHost from here: what comes
// of it is told after the call, never within it.
class ProtocolHandler {
 public:
  virtual ~ProtocolHandler() = default;
  // The attempt is to go out, and to be over or begun within `limit`; each is owed one `over`.
  virtual void onSendAttempt(load_balancing::RequestId request, std::uint32_t attempt,
                             const AttemptTarget& to, Duration limit) = 0;
  // Called off: nothing of it may go out from here on. Owed its `over` all the same.
  virtual void onCancelAttempt(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  // The last word on the request, unless it has begun. `after`: when to come back; 0: not said.
  virtual void onRequestRejected(load_balancing::RequestId request, Duration after) = 0;
  virtual void onRequestFailed(load_balancing::RequestId request) = 0;
  // The phase in force of a host, by the list or by hand, is another than before.
  virtual void onHostPhaseChanged(load_balancing::HostId host, load_balancing::HostPhase phase) = 0;
  // The gateway ends at `until` at the latest: nothing new, and what is held is brought to its end.
  virtual void onDrain(Time until) = 0;
  virtual bool isIdle() const = 0;  // nothing is held
};

class ProtocolHandlerCallbacks {
 public:
  virtual ~ProtocolHandlerCallbacks() = default;
  // The id under which the front asks next; nothing is decided before it has asked.
  virtual load_balancing::RequestId newRequest() = 0;
  virtual void submitRequest(ProtocolHandler& front, const load_balancing::Request& request) = 0;
  // It has begun: it goes nowhere else, and neither time-out nor deadline applies any more.
  virtual void attemptEstablished(load_balancing::RequestId request, std::uint32_t attempt) = 0;
  // One for each `onSend`. `last`: nothing more is owed for the request.
  virtual void attemptEnded(load_balancing::RequestId request, std::uint32_t attempt,
                            load_balancing::HostId host, load_balancing::Outcome outcome, Duration taken,
                            bool last) = 0;
  virtual void clientDisconnected(
      load_balancing::RequestId request) = 0;  // its client has gone, before it had begun
  virtual load_balancing::HostPhase hostPhase(
      load_balancing::HostId host) const = 0;  // `out` if it is not known
};

}  // namespace finchstile
