#include "stream/ending.hpp"

namespace finchstile::stream {

using load_balancing::Outcome;

StreamResult resultOf(const Ending& e) {
  switch (e.why) {
    case EndReason::rejected: return StreamResult::refused;
    case EndReason::notEstablished:
    case EndReason::clientDisconnected:
    case EndReason::header: return StreamResult::failed;
    default: return e.orderly ? StreamResult::served : StreamResult::failed;
  }
}

Outcome outcomeOf(const Ending& e) {
  if (e.who != EndedBy::host) return Outcome::served;
  switch (e.why) {
    case EndReason::reset:
    case EndReason::protocol:
    case EndReason::tooBig: return Outcome::reset;
    case EndReason::stalled:
    case EndReason::silent: return Outcome::timeout;
    default: return Outcome::served;
  }
}

std::string_view nameOf(EndedBy e) {
  switch (e) {
    case EndedBy::client: return "client";
    case EndedBy::host: return "host";
    case EndedBy::gateway: return "gateway";
  }
  return "";
}

std::string_view nameOf(EndReason w) {
  switch (w) {
    case EndReason::finished: return "finished";
    case EndReason::reset: return "reset";
    case EndReason::rejected: return "turned_away";
    case EndReason::notEstablished: return "unreached";
    case EndReason::clientDisconnected: return "left";
    case EndReason::drain: return "drain";
    case EndReason::idle: return "idle";
    case EndReason::halfIdle: return "half_idle";
    case EndReason::stalled: return "stalled";
    case EndReason::silent: return "silent";
    case EndReason::protocol: return "protocol";
    case EndReason::tooBig: return "too_big";
    case EndReason::header: return "header";
  }
  return "";
}

std::string_view nameOf(StreamResult b) {
  switch (b) {
    case StreamResult::served: return "served";
    case StreamResult::refused: return "refused";
    case StreamResult::failed: return "failed";
  }
  return "";
}

}  // namespace finchstile::stream
