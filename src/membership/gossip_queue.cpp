#include "membership/gossip_queue.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::membership {

bool GossipQueue::enqueue(const GossipUpdate& update) {
  if (!contains(update.host) && entries_.size() >= maxUpdates_) return false;
  entries_[update.host] = {update, transmissions_};
  return true;
}

void GossipQueue::eraseIfUnresponsive(HostKey host) {
  const auto it = entries_.find(host);
  if (it != entries_.end() && it->second.update.kind == GossipUpdate::Kind::unresponsive) entries_.erase(it);
}

std::vector<GossipUpdate> GossipQueue::nextBatch() const {
  using Ranked = std::pair<std::uint32_t, HostKey>;  // remaining transmissions, host
  std::vector<Ranked> ranked;
  ranked.reserve(entries_.size());
  for (const auto& [host, entry] : entries_) ranked.emplace_back(entry.remaining, host);
  const std::size_t count = std::min(ranked.size(), kMaxUpdatesPerMessage);
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), last, ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  ranked.erase(last, ranked.end());
  std::vector<GossipUpdate> batch;
  batch.reserve(count);
  for (const auto& [remaining, host] : ranked) batch.push_back(entries_.at(host).update);
  return batch;
}

void GossipQueue::onTransmitted(HostKey host) {
  const auto it = entries_.find(host);
  if (it != entries_.end() && --it->second.remaining == 0) entries_.erase(it);
}

}  // namespace finchstile::membership
