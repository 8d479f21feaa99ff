// What a gateway asks a control machine, and how a control machine reads it. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/store.hpp"

namespace finchstile::configuration {

inline constexpr std::string_view kPollPath = "/configuration";

struct Poll {
  std::string gateway;
  Position position;
  load_balancing::Duration wait{};  // how long the answer may take if there is no news
};

// "/configuration?gateway=NAME&epoch=E&since=R&hash=H&timeout_ms=N&refused=E.R.H&reason=TEXT". Without
// `since` the whole is asked for; epoch and hash tell what is in force all the same.
std::string pollTarget(const Poll& poll);
std::optional<Poll> parsePollTarget(std::string_view target);  // none: it is no such call

}  // namespace finchstile::configuration
