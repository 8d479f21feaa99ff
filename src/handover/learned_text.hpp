// What the decision module has learned, as the text that one process of a gateway gives to the next. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::handover {

inline constexpr std::size_t kMaxLearnedStateBytes =
    60'000;  // bytes: room for 600 hosts of which something is known

struct LearnedStateText {
  std::string text;
  std::size_t leftOut = 0;  // hosts that had no room
};
// Hosts of which nothing has been learned are not said. Those that are avoided come first.
LearnedStateText encodeLearnedState(const load_balancing::LearnedState& learned);
// Nothing if it is not whole or not ours. Numbers are taken as they are; the module holds them to what makes
// sense.
std::optional<load_balancing::LearnedState> decodeLearnedState(std::string_view text);

}  // namespace finchstile::handover
