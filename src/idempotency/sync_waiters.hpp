// Requests that wait until their records are synced. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "net/request_filter.hpp"

namespace finchstile::idempotency {

class SyncWaiters {
 public:
  struct Ready {
    RequestContext* request = nullptr;
    bool synced = false;  // false: the log has failed, and the record may be lost
  };

  // `position`: the number of records that must be synced before the request is ready; not lower than in the
  // previous call. `request` must stay valid until it is returned or removed.
  void add(std::uint64_t position, RequestContext& request);

  // Removes a request that no longer waits.
  void remove(load_balancing::RequestId id) { requests_.erase(id); }

  // Removes and returns the next request whose record is synced. Once the log has failed all requests are
  // returned.
  std::optional<Ready> next(std::uint64_t syncedRecords, bool logFailed);

 private:
  struct Waiting {
    std::uint64_t position = 0;
    load_balancing::RequestId request = 0;
  };

  std::deque<Waiting> queue_;  // by position; includes requests that have been removed
  std::unordered_map<load_balancing::RequestId, RequestContext*> requests_;
};

}  // namespace finchstile::idempotency
