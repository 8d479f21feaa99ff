// A front beside HTTP requests: it has its own way of taking something in and of carrying it to a host, and
// asks the same module as every request does. The gateway passes the module's decisions on; what becomes of
// them on sockets is the front's own.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>

#include "net/clock.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

// Where an attempt goes to. The views stay good during the call.
struct Target {
  ridgeshift::HostId host = ridgeshift::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string_view name, zone;
};

// Danger: called while the gateway carries out actions. A front may call its FrontHost from here: what comes
// of it is told after the call, never within it.
class Front {
 public:
  virtual ~Front() = default;
  // The attempt is to go out, and to be over or begun within `limit`; each is owed one `over`.
  virtual void onSend(ridgeshift::RequestId request, std::uint32_t attempt, const Target& to,
                      Duration limit) = 0;
  // Called off: nothing of it may go out from here on. Owed its `over` all the same.
  virtual void onCancel(ridgeshift::RequestId request, std::uint32_t attempt) = 0;
  // The last word on the request, unless it has begun. `after`: when to come back; 0: not said.
  virtual void onRefused(ridgeshift::RequestId request, Duration after) = 0;
  virtual void onFailed(ridgeshift::RequestId request) = 0;
  // The phase in force of a host, by the list or by hand, is another than before.
  virtual void onHost(ridgeshift::HostId host, ridgeshift::Phase phase) = 0;
  // The gateway ends at `until` at the latest: nothing new, and what is held is brought to its end.
  virtual void onDrain(Time until) = 0;
  virtual bool idle() const = 0;  // nothing is held
};

class FrontHost {
 public:
  virtual ~FrontHost() = default;
  // The id under which the front asks next; nothing is decided before it has asked.
  virtual ridgeshift::RequestId newRequest() = 0;
  virtual void ask(Front& front, const ridgeshift::Request& request) = 0;
  // It has begun: it goes nowhere else, and neither time-out nor deadline applies any more.
  virtual void begun(ridgeshift::RequestId request, std::uint32_t attempt) = 0;
  // One for each `onSend`. `last`: nothing more is owed for the request.
  virtual void over(ridgeshift::RequestId request, std::uint32_t attempt, ridgeshift::HostId host,
                    ridgeshift::Outcome outcome, Duration taken, bool last) = 0;
  virtual void left(ridgeshift::RequestId request) = 0;  // its client has gone, before it had begun
  virtual ridgeshift::Phase phaseOf(ridgeshift::HostId host) const = 0;  // `out` if it is not known
};

}  // namespace finchstile
