#include "idempotency/sync_waiters.hpp"

namespace finchstile::idempotency {

void SyncWaiters::add(std::uint64_t position, RequestContext& request) {
  queue_.push_back({position, request.id});
  requests_[request.id] = &request;
}

std::optional<SyncWaiters::Ready> SyncWaiters::next(std::uint64_t syncedRecords, bool logFailed) {
  while (!queue_.empty()) {
    const Waiting waiting = queue_.front();
    const bool synced = waiting.position <= syncedRecords;
    if (!synced && !logFailed) return std::nullopt;
    queue_.pop_front();
    const auto it = requests_.find(waiting.request);
    if (it == requests_.end()) continue;
    RequestContext* const request = it->second;
    requests_.erase(it);
    return Ready{request, synced};
  }
  return std::nullopt;
}

}  // namespace finchstile::idempotency
