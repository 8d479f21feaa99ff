// What a stream knows of the protocol that goes on it, where it knows any: where its units end, what breaks
// it, and how to say in its own words that the stream ends. A stream without one carries bytes and knows
// nothing of them. No I/O.
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
  struct Look {
    std::size_t pass = 0;      // bytes that may go on: all of them, unless it stopped or found a fault
    std::optional<Why> fault;  // what comes behind those breaks the protocol
  };

  virtual ~Codec() = default;
  // The next bytes of `from`, each looked at once. With `stop` it stops behind the unit that they are in.
  virtual Look look(Side from, const char* bytes, std::size_t n, bool stop) = 0;
  // What has been passed of `from` ends with a unit: words of ours may go in there.
  virtual bool atBoundary(Side from) const = 0;
  // `from` has said, in the protocol's words, that it ends; nothing of it follows that.
  virtual bool saidEnd(Side from) const = 0;
  // The words that tell `to` that the stream ends, and why; empty if it has been told already.
  virtual std::string farewell(Side to, const Ending& ending) = 0;
  // Words that `to` has to answer; empty if there are none.
  virtual std::string ping(Side to) = 0;
  virtual Duration pingAfter() const = 0;   // silence of a side after which it is asked; 0: never
  virtual Duration pingAnswer() const = 0;  // and has to show a sign of life within
};

}  // namespace finchstile::stream
