#include "idempotency/shared_responses.hpp"

#include <utility>

namespace finchstile::idempotency {

void SharedResponses::dropOldest() {
  const Expiry oldest = expiries_.front();
  expiries_.pop_front();
  const auto it = responses_.find(oldest.id);
  // A response that was added again has a later expiry, which is further back in the queue.
  if (it == responses_.end() || it->second.expiresAt != oldest.at) return;
  bytes_ -= it->second.bytes.size();
  responses_.erase(it);
}

void SharedResponses::add(Time now, const SipHash128& id, const CachedResponse& response) {
  while (!expiries_.empty() && expiries_.front().at <= now) dropOldest();
  std::string bytes = serializeResponse(response);
  if (bytes.size() > settings_.maxResponseBytes || bytes.size() > settings_.maxCacheBytes) return;
  while (bytes_ + bytes.size() > settings_.maxCacheBytes) dropOldest();
  Response& stored = responses_[id];
  bytes_ += bytes.size() - stored.bytes.size();
  stored.bytes = std::move(bytes);
  stored.expiresAt = now + settings_.retention;
  expiries_.push_back({stored.expiresAt, id});
}

ResponseChunk SharedResponses::chunkFor(Time now, const ResponseRequest& request) const {
  ResponseChunk chunk;
  chunk.requestId = request.requestId;
  const auto it = responses_.find(request.key.id);
  if (it == responses_.end() || it->second.expiresAt <= now) return chunk;
  const std::string& bytes = it->second.bytes;
  if (request.offset >= bytes.size()) return chunk;
  chunk.totalBytes = static_cast<std::uint16_t>(bytes.size());
  chunk.offset = request.offset;
  chunk.bytes = bytes.substr(request.offset, kMaxChunkBytes);
  return chunk;
}

}  // namespace finchstile::idempotency
