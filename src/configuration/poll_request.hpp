// The long-poll call of a gateway to a control machine: its target as a gateway writes it and a control
// machine reads it. No I/O.
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
  load_balancing::Duration maxWait{};  // how long the answer may take while there is nothing newer
};

// "/configuration?gateway=NAME&epoch=E&hash=H&timeout_ms=N&since=R&refused=E.R.H&reason=TEXT". A request for
// a snapshot has "in_force=R" in place of "since=R"; "refused" and "reason" stand only after a rejection.
std::string formatPollTarget(const PollRequest& request);

// Empty: the target is no such call.
std::optional<PollRequest> parsePollTarget(std::string_view target);

}  // namespace finchstile::configuration
