#include "membership/observation_votes.hpp"

#include <algorithm>
#include <functional>

namespace finchstile::membership {

void ObservationVotes::discardUntil(Time time) {
  std::erase_if(votes_, [&](const Vote& vote) { return vote.observedAt <= time; });
}

void ObservationVotes::add(GatewayNumber from, Time observedAt, std::size_t maxVotes) {
  const auto earlier =
      std::find_if(votes_.begin(), votes_.end(), [&](const Vote& vote) { return vote.from == from; });
  if (earlier != votes_.end()) {
    earlier->observedAt = std::max(earlier->observedAt, observedAt);
    return;
  }
  if (votes_.size() < maxVotes) {
    votes_.push_back({from, observedAt});
    return;
  }
  const auto oldest = std::min_element(
      votes_.begin(), votes_.end(), [](const Vote& a, const Vote& b) { return a.observedAt < b.observedAt; });
  if (oldest->observedAt < observedAt) *oldest = {from, observedAt};
}

Time ObservationVotes::quorumSince(std::size_t quorum) const {
  if (votes_.size() < quorum) return {};
  std::vector<Time> times;
  times.reserve(votes_.size());
  for (const Vote& vote : votes_) times.push_back(vote.observedAt);
  const auto decisive = times.begin() + static_cast<std::ptrdiff_t>(quorum - 1);
  std::nth_element(times.begin(), decisive, times.end(), std::greater<>());
  return *decisive;
}

}  // namespace finchstile::membership
