// Encodes and decodes the learned state of the load balancer that a process passes to its successor. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::handover {

// Enough for about 600 hosts with learned values.
inline constexpr std::size_t kMaxLearnedStateBytes = 60'000;

struct LearnedStateText {
  std::string text;
  std::size_t omittedHosts = 0;  // hosts that did not fit into the text
};

// Returns JSON in format version 1. Hosts without learned values are left out. Ejected hosts come first, then
// those with the highest response rate.
LearnedStateText encodeLearnedState(const load_balancing::LearnedState& learned);

// Returns nothing unless the text is complete and in format version 1. Numbers are not validated; the load
// balancer limits them to plausible values.
std::optional<load_balancing::LearnedState> decodeLearnedState(std::string_view text);

}  // namespace finchstile::handover
