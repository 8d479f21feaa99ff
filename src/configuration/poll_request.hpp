// Formats and parses the request target of a gateway's long poll to a control machine. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/version.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

inline constexpr std::string_view kPollPath = "/configuration";

struct PollRequest {
  std::string gatewayName;
  VersionState state;
  load_balancing::Duration maxWait{};  // how long the response may be delayed while there is no newer version
};

// "/configuration?gateway=NAME&epoch=E&hash=H&timeout_ms=N&since=R&refused=E.R.H&reason=TEXT". A request for
// a snapshot has "in_force=R" in place of "since=R"; "refused" and "reason" are present only after a
// rejection.
std::string formatPollTarget(const PollRequest& request);

// Returns nothing if the target is not a valid poll.
std::optional<PollRequest> parsePollTarget(std::string_view target);

}  // namespace finchstile::configuration
