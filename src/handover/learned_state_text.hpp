// What the load balancer has learned, as the text that a process hands to its successor. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::handover {

inline constexpr std::size_t kMaxLearnedStateBytes =
    60'000;  // holds about 600 hosts of which something is known

struct LearnedStateText {
  std::string text;
  std::size_t omittedHosts = 0;  // that found no room in the text
};

// JSON in the format of version 1. Hosts of which nothing is known are left out. Ejected hosts come first,
// then those with the highest response rate.
LearnedStateText encodeLearnedState(const load_balancing::LearnedState& learned);

// Returns nothing unless the text is complete and of version 1. Numbers are not checked; the load balancer
// limits them to values that make sense.
std::optional<load_balancing::LearnedState> decodeLearnedState(std::string_view text);

}  // namespace finchstile::handover
