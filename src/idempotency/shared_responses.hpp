// Holds the responses of this gateway's runs that other gateways may fetch, in chunks that fit into a
// datagram. The total size is bounded; the oldest responses are dropped first. No I/O.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "idempotency/owner_message.hpp"
#include "idempotency/ownership_settings.hpp"

namespace finchstile::idempotency {

class SharedResponses {
 public:
  // `settings` must outlive this object.
  explicit SharedResponses(const OwnershipSettings& settings) : settings_(settings) {}

  // Holds the response for the retention, unless it is too large.
  void add(Time now, const SipHash128& id, const CachedResponse& response);

  // Returns the requested chunk; its `totalBytes` is 0 if there is no such response or offset.
  ResponseChunk chunkFor(Time now, const ResponseRequest& request) const;

 private:
  struct Response {
    std::string bytes;
    Time expiresAt{};
  };
  struct Expiry {
    Time at{};
    SipHash128 id;
  };

  void dropOldest();

  const OwnershipSettings& settings_;
  std::unordered_map<SipHash128, Response, SharedKeyIdHash> responses_;
  std::deque<Expiry> expiries_;  // oldest first; a response that was added again has several
  std::size_t bytes_ = 0;
};

}  // namespace finchstile::idempotency
