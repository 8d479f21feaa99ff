#include "stream/ending.hpp"

namespace finchstile::stream {

using load_balancing::Outcome;

Became becameOf(const Ending& e) {
  switch (e.why) {
    case Why::turnedAway: return Became::refused;
    case Why::unreached:
    case Why::left:
    case Why::header: return Became::failed;
    default: return e.orderly ? Became::served : Became::failed;
  }
}

Outcome outcomeOf(const Ending& e) {
  if (e.who != Ender::host) return Outcome::served;
  switch (e.why) {
    case Why::reset:
    case Why::protocol:
    case Why::tooBig: return Outcome::reset;
    case Why::stalled:
    case Why::silent: return Outcome::timeout;
    default: return Outcome::served;
  }
}

std::string_view nameOf(Ender e) {
  switch (e) {
    case Ender::client: return "client";
    case Ender::host: return "host";
    case Ender::gateway: return "gateway";
  }
  return "";
}

std::string_view nameOf(Why w) {
  switch (w) {
    case Why::finished: return "finished";
    case Why::reset: return "reset";
    case Why::turnedAway: return "turned_away";
    case Why::unreached: return "unreached";
    case Why::left: return "left";
    case Why::drain: return "drain";
    case Why::idle: return "idle";
    case Why::halfIdle: return "half_idle";
    case Why::stalled: return "stalled";
    case Why::silent: return "silent";
    case Why::protocol: return "protocol";
    case Why::tooBig: return "too_big";
    case Why::header: return "header";
  }
  return "";
}

std::string_view nameOf(Became b) {
  switch (b) {
    case Became::served: return "served";
    case Became::refused: return "refused";
    case Became::failed: return "failed";
  }
  return "";
}

}  // namespace finchstile::stream
