// How a stream ended: its result, which party ended it, and the reason. Each accepted stream has exactly one
// ending.
#pragma once

#include <cstdint>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::stream {

enum class Side : std::uint8_t { client, host };
constexpr Side other(Side s) { return s == Side::client ? Side::host : Side::client; }

enum class EndedBy : std::uint8_t { client, host, gateway };
enum class EndReason : std::uint8_t {
  finished,            // both directions were closed in order
  reset,               // reset or lost connection of a side
  rejected,            // the request was not sent, or no host accepted it; safe to retry
  notEstablished,      // a host may have processed the request
  clientDisconnected,  // before the stream was established
  drain,               // the host or the gateway is draining
  idle,                // idle timeout: no bytes in either direction
  halfIdle,            // idle timeout of a half-closed stream
  stalled,             // a side accepted none of the bytes waiting for it
  silent,              // a side did not answer a ping
  protocol,            // protocol violation found by the codec
  tooBig,              // a message or frame exceeds the limit
  header               // the PROXY protocol header is missing or invalid
};
inline constexpr std::size_t kEndReasonCount = 13;
enum class StreamResult : std::uint8_t { served, refused, failed };

struct Ending {
  EndedBy who = EndedBy::gateway;
  EndReason why = EndReason::finished;
  // Both sides can see that the end is intended: by FIN or by a close code of the protocol.
  bool orderly = true;
  bool operator==(const Ending&) const = default;
};

// Result of an ending. An established stream is served if it ended in order and failed otherwise; its
// duration does not matter, since clients are not promised a minimum duration.
StreamResult resultOf(const Ending& e);

// Outcome of the attempt as reported to the decision module. Only failures caused by the host count against
// it.
load_balancing::Outcome outcomeOf(const Ending& e);

std::string_view nameOf(EndedBy e);
std::string_view nameOf(EndReason w);
std::string_view nameOf(StreamResult b);

}  // namespace finchstile::stream
