#include "membership/snapshot_server.hpp"

#include <utility>

namespace finchstile::membership {

bool SnapshotServer::onMessage(GatewayNumber from, std::string_view payload, Time now,
                               const std::function<StateSnapshot()>& makeSnapshot) {
  const auto nonce = decodeSnapshotRequest(payload);
  if (!nonce) return false;
  const auto last = answeredAt_.find(from);
  const bool isTooSoon = last != answeredAt_.end() && now - last->second < settings_.minInterval;
  if (pending_.size() >= settings_.maxConcurrent || isTooSoon) {
    ++refusedCount_;
    return true;
  }
  answeredAt_[from] = now;
  ++answeredCount_;
  const auto chunks = encodeSnapshot(makeSnapshot(), *nonce);
  if (!chunks.empty()) pending_.push_back({from, {chunks.begin(), chunks.end()}});
  return true;
}

std::vector<OutgoingMessage> SnapshotServer::tick() {
  std::vector<OutgoingMessage> messages;
  while (!pending_.empty() && messages.size() < settings_.messagesPerTick) {
    PendingResponse response = std::move(pending_.front());
    pending_.pop_front();
    messages.push_back({response.recipient, std::move(response.chunks.front())});
    response.chunks.pop_front();
    if (!response.chunks.empty()) pending_.push_back(std::move(response));
  }
  return messages;
}

}  // namespace finchstile::membership
