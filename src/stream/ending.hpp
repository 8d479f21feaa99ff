// How a stream ended: what became of it, who ended it, and why. Every stream that was taken has one, once.
#pragma once

#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::stream {

enum class Side : std::uint8_t { client, host };
constexpr Side other(Side s) { return s == Side::client ? Side::host : Side::client; }

enum class Ender : std::uint8_t { client, host, gateway };
enum class Why : std::uint8_t {
  finished,    // both directions ended in order
  reset,       // broken off by a side
  turnedAway,  // unsent, or no host took it: trying again is harmless
  unreached,   // it could not begin, and may have run
  left,        // its client went before it had begun
  drain,       // its host goes, or the gateway does
  idle,        // nothing went on it for too long, in either direction
  halfIdle,    // the same, with one direction ended
  stalled,     // a side took nothing of what was there for it
  silent,      // a side did not answer a ping
  protocol,    // a side broke the protocol that is looked into
  tooBig,      // a message or frame beyond the limit
  header       // its PROXY protocol header is none that may be taken
};
inline constexpr std::size_t kWhys = 13;
enum class Became : std::uint8_t { served, refused, failed };

struct Ending {
  Ender who = Ender::gateway;
  Why why = Why::finished;
  // Both sides can tell that it ended as it should: by FIN, or by a close code of its protocol.
  bool orderly = true;
  bool operator==(const Ending&) const = default;
};

// A stream that had begun is served if it ended in order, and has failed if it did not; nobody was promised
// how long it lasts.
Became becameOf(const Ending& e);

// What the module is told of the host. Only what a host does itself counts against it.
load_balancing::Outcome outcomeOf(const Ending& e);

std::string_view nameOf(Ender e);
std::string_view nameOf(Why w);
std::string_view nameOf(Became b);

}  // namespace finchstile::stream
