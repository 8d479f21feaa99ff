// The idempotency keys of one gateway's requests: which of them run, which have a cached response, and which
// may have been executed without one. No I/O and no clock of its own. Entries and bytes are bounded. A call
// takes constant time, apart from the removal of expired entries and, in a full store, an eviction, which
// looks at each tenant.
//
// Terms follow the IETF draft "The Idempotency-Key HTTP Header Field". docs/design/idempotency.md lists the
// transitions of a key.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/siphash.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::idempotency {

using load_balancing::Duration;
using load_balancing::Time;

// Hashes are keyed with a secret seed, so that no client can construct requests with equal fingerprints or
// keys that share a bucket of the hash table.
using Seed = SipKey;
using Fingerprint = SipHash128;
using Hasher = SipHasher;

// The values are written to the log and sent to other gateways.
enum class KeyState : std::uint8_t {
  unused = 0,
  running = 1,
  completed = 2,  // a response is cached
  uncertain = 3   // may have been executed, and no response is cached
};

struct CachedResponse {
  unsigned status = 200;
  std::string contentType, body;
};

// The first attempt of a key that may have been executed. It determines where, and for how long, repeats may
// be sent.
using EarlierAttempt = load_balancing::EarlierAttempt;

struct StoreLimits {
  std::size_t maxEntries = 100'000;
  std::size_t maxBytes = std::size_t{16} * 1024 * 1024;
  std::size_t maxResponseBytes = std::size_t{16} * 1024;  // of a body; larger responses are not cached
  double maxTenantFraction = 0.5;                         // of entries and bytes that one tenant may use
  std::size_t maxWaiters = 64;                            // of one running request
  // How long a key is remembered after its run. Within this window a key runs once.
  Duration retention = std::chrono::seconds(60);
  // Whether completed entries are removed early, the oldest first, to make room for new keys. A repeat of a
  // removed key runs again. Otherwise new keys are not admitted while the store is full.
  bool evictCompleted = true;
};

// What happens to a request with an idempotency key.
enum class Admission : std::uint8_t {
  firstRun,             // it runs as the first of its key; the caller must call finishRun()
  joinRunning,          // it waits for the response of the request that runs
  replayResponse,       // it is answered with the cached response
  retryUncertain,       // it runs after a run that may have executed; the caller must call finishRun()
  fingerprintMismatch,  // the key belongs to another request: 422, and it never runs
  tooManyWaiters,       // it fails rather than being rejected, since the first request may have been executed
  storeFull             // the caller rejects it or runs it without the store
};

class StoreObserver;

class Store {
 public:
  using EntryId = std::uint32_t;
  using Waiter = std::uint64_t;  // an identifier that the caller chooses; never 0
  static constexpr EntryId kNone = 0xffffffff;

  struct KeyedRequest {
    std::uint32_t tenant = 0;  // less than the number of tenants given to the constructor
    std::uint32_t classIndex = 0;
    std::string_view key;
    Fingerprint fingerprint;
    Waiter waiter = 0;
  };

  struct AdmissionResult {
    Admission admission = Admission::storeFull;
    EntryId entry = kNone;                           // for firstRun, joinRunning and retryUncertain
    const CachedResponse* response = nullptr;        // for replayResponse; valid until the next call
    const EarlierAttempt* earlierAttempt = nullptr;  // for retryUncertain; valid until the next call
  };

  enum class RunOutcome : std::uint8_t {
    responded,
    notExecuted,  // rejected or failed, and no attempt can have been executed
    mayHaveExecuted
  };

  // An entry that an earlier process recorded.
  struct RestoredEntry {
    KeyedRequest request;                  // its waiter is ignored
    KeyState state = KeyState::uncertain;  // or completed
    CachedResponse response;
    EarlierAttempt earlierAttempt;
    Time expiresAt{};
  };

  // `hashMask`: the bits of a key's hash that are used. Tests reduce them to make keys collide.
  Store(const StoreLimits& limits, std::uint32_t tenants, const Seed& seed,
        std::uint64_t hashMask = ~std::uint64_t{0});
  ~Store();

  AdmissionResult admit(Time now, const KeyedRequest& request);

  // Must be called before an attempt of a running entry is sent. An entry has one attempt at a time. Repeats
  // are bound to the first attempt that may have been executed.
  void onAttemptSent(EntryId id, const EarlierAttempt& attempt);

  // Must be called when the attempt that was sent last has ended.
  void onAttemptSettled(EntryId id, bool mayHaveRun);

  // Binds a run that has just begun to an earlier attempt that another gateway has reported, or that a
  // damaged log may have lost. It is valid until `until`. The run is treated as a retry of an uncertain one
  // from then on. If it finishes unsent, with another gateway's response or none, the key is retained until
  // that time.
  void bindToEarlierAttempt(EntryId id, const EarlierAttempt& attempt, Time until);

  // Adds the request that began a run to the waiters of that run, which another process now executes.
  void waitForRun(EntryId id, Waiter waiter);

  // Removes a waiter that has disconnected or has been answered.
  void removeWaiter(EntryId id, Waiter waiter);
  bool hasWaiters(EntryId id) const;

  // Ends a run and returns its waiters in order; the caller answers them or admits them again. A response
  // that is too large to be cached leaves the key uncertain: hosts still recognize a repeat. A retry of an
  // uncertain key that was not sent leaves the key uncertain until the time it was before.
  std::vector<Waiter> finishRun(Time now, EntryId id, RunOutcome outcome, CachedResponse&& response = {});

  // The next run of a key, which one of its waiters begins.
  struct NextRun {
    Waiter waiter = 0;
    AdmissionResult admission;  // firstRun or retryUncertain
  };
  // Ends a run that left no response, and begins the next run of its key in the same entry for the waiter
  // that has waited longest; the other waiters wait for that run. Must only be called if there are waiters.
  // The entry is never removed in between: in a full store, nothing would then relate the waiters to each
  // other.
  NextRun finishRunAndBeginNext(Time now, EntryId id, RunOutcome outcome);

  // Removes expired entries. admit() and restore() do so as well.
  void expire(Time now);

  // Observers are called in the order in which they were added and must outlive the store or be removed,
  // which must not happen from within a call.
  void addObserver(StoreObserver& observer) { observers_.push_back(&observer); }
  void removeObserver(StoreObserver& observer);

  // An entry as it is now. The pointers and the key are valid until the next call that changes the store.
  struct EntryView {
    EntryId id = kNone;
    KeyedRequest request;  // without a waiter
    KeyState state = KeyState::unused;
    std::uint64_t run = 0;  // number of the current or last run
    bool isRetry = false, attemptSent = false;
    const CachedResponse* response = nullptr;        // of a completed entry
    const EarlierAttempt* earlierAttempt = nullptr;  // null if there is none
    Time expiresAt{};                                // unless it is running
  };
  // Returns nothing if the entry is not in use.
  std::optional<EntryView> view(EntryId id) const;
  // Returns nothing if the key has no entry or has expired.
  std::optional<EntryView> lookUp(Time now, const KeyedRequest& request) const;
  EntryId entryIdLimit() const { return static_cast<EntryId>(allocated_); }  // every id is below it

  const Seed& seed() const { return seed_; }
  void setSeed(const Seed& seed);         // no effect unless the store is empty
  void setMinNextRun(std::uint64_t run);  // later runs have this number or a higher one

  // Replaces the entry of that key. Returns false if the key is running, the new entry has expired or there
  // is no room.
  bool restore(Time now, RestoredEntry&& entry);

  // Removes the entry of that key unless it is running.
  void erase(const KeyedRequest& request);

  std::size_t entries() const { return used_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t countInState(KeyState state) const { return byState_[static_cast<std::size_t>(state)]; }
  std::size_t evictions() const { return evictions_; }  // completed entries removed early, since the start

 private:
  struct Entry;
  struct EntryList {
    EntryId first = kNone, last = kNone;
  };
  struct TenantUsage {
    std::size_t entries = 0, bytes = 0;
    EntryList completed;  // oldest first: the order of eviction
  };
  static constexpr std::size_t kEntriesPerChunk = 1024;
  static constexpr std::size_t kWheelSlots = 1024;

  Entry& at(EntryId id) const;

  // The hash table.
  std::uint64_t hashOf(const KeyedRequest& request) const;
  EntryId& bucketOf(std::uint64_t hash);
  EntryId find(std::uint64_t hash, const KeyedRequest& request) const;
  EntryId allocate();
  std::optional<EntryId> insert(std::uint64_t hash, const KeyedRequest& request, KeyState state);
  void remove(EntryId id);

  // Bounds and eviction.
  void charge(Entry& entry, std::ptrdiff_t bytes);
  bool makeRoom(std::uint32_t tenant, std::size_t entries, std::size_t bytes);
  bool makeRoomWithinTenant(std::uint32_t tenant, std::size_t entries, std::size_t bytes);
  std::uint32_t largestEvictableTenant(std::uint32_t preferred) const;
  bool evictOldest(std::uint32_t tenant);

  // States and expiry.
  void setState(EntryId id, KeyState state);
  void appendCompleted(EntryId id);
  void unlinkCompleted(EntryId id);
  void schedule(EntryId id, Time expiresAt);
  void unschedule(EntryId id);

  void startRun(Time now, EntryId id, const KeyedRequest& request);
  AdmissionResult admitKnown(Time now, EntryId id, const KeyedRequest& request);
  AdmissionResult joinRun(EntryId id, Waiter waiter);
  std::vector<Waiter> takeWaiters(Entry& entry);
  Waiter takeFirstWaiter(Entry& entry);
  bool settleRun(Time now, EntryId id, RunOutcome outcome, CachedResponse&& response);
  void cacheResponse(EntryId id, CachedResponse&& response);

  StoreLimits limits_;
  Seed seed_;
  std::uint64_t hashMask_;
  Duration tick_;
  std::vector<std::unique_ptr<Entry[]>> chunks_;
  std::vector<EntryId> buckets_;  // a power of two of them; chained through the entries
  EntryId firstFree_ = kNone;
  std::size_t allocated_ = 0, used_ = 0, bytes_ = 0, evictions_ = 0;
  std::array<std::size_t, 4> byState_{};
  std::vector<TenantUsage> tenants_;
  std::array<EntryList, kWheelSlots> wheel_;  // a timer wheel of the entries that expire
  std::int64_t processedTicks_ = 0;
  std::vector<StoreObserver*> observers_;
  std::uint64_t nextRun_ = 1;
};

}  // namespace finchstile::idempotency
