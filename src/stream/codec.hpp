// Interface of the application protocol on a stream: message boundaries, protocol errors, close messages and
// pings. A stream without a codec relays opaque bytes. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "net/clock.hpp"
#include "stream/ending.hpp"

namespace finchstile::stream {

class Codec {
 public:
  struct DecodeResult {
    std::size_t pass = 0;  // bytes to forward; fewer than `n` at a stop, a fault or an incomplete unit
    std::optional<EndReason> fault;  // the bytes after `pass` violate the protocol
  };

  virtual ~Codec() = default;
  // Decodes the next `n` bytes sent by `from`, starting after those passed so far. With `stop` it stops after
  // the unit (frame) in progress.
  virtual DecodeResult decode(Side from, const char* bytes, std::size_t n, bool stop) = 0;
  // Whether the bytes forwarded from `from` end at a unit boundary, so that the gateway may insert its own
  // messages there.
  virtual bool atBoundary(Side from) const = 0;
  // Whether `from` has sent its close message. Its later bytes are dropped.
  virtual bool closeReceived(Side from) const = 0;
  // The close message for `to` with the reason of the ending; empty: nothing to send.
  virtual std::string closeMessage(Side to, const Ending& ending) = 0;
  // A ping for `to`; empty if the protocol has none.
  virtual std::string ping(Side to) = 0;
  virtual Duration pingInterval() const = 0;  // silence of a side before a ping is sent; 0: no pings
  virtual Duration pingTimeout() const = 0;   // time the side has to send anything after a ping
};

}  // namespace finchstile::stream
