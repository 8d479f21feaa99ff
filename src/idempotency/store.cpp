#include "idempotency/store.hpp"

#include <algorithm>

#include "idempotency/store_observer.hpp"

namespace finchstile::idempotency {

// The size of an entry is part of what StoreLimits::maxBytes counts.
struct Store::Entry {
  KeyState state = KeyState::unused;
  std::uint32_t tenant = 0, classIndex = 0;
  std::uint64_t hash = 0;
  Fingerprint fingerprint;
  std::string key;
  CachedResponse response;
  std::optional<EarlierAttempt> earlierAttempt;
  std::uint64_t run = 0;          // number of the current run
  bool isRetry = false;           // the key was uncertain before the run, until `expiresAt`
  bool isBound = false;           // by bindToEarlierAttempt()
  bool attemptSent = false;       // by this run
  bool attemptUnsettled = false;  // `earlierAttempt` is in flight and may turn out not to be executed
  Time expiresAt{};
  std::size_t bytes = 0;
  std::vector<Waiter> waiters;
  EntryId nextInBucket = Store::kNone;                                   // or the next free entry
  EntryId olderCompleted = Store::kNone, newerCompleted = Store::kNone;  // of its tenant
  EntryId previousInSlot = Store::kNone, nextInSlot = Store::kNone;      // of the timer wheel
  std::int32_t slot = -1;                                                // negative: it has no expiry
};

Store::Store(const StoreLimits& limits, std::uint32_t tenants, const Seed& seed, std::uint64_t hashMask)
    : limits_(limits), seed_(seed), hashMask_(hashMask), tenants_(tenants) {
  // Every entry expires within the retention, so one turn of the wheel holds them all.
  tick_ = std::max<Duration>(limits_.retention / static_cast<std::int64_t>(kWheelSlots - 2), Duration(1));
  std::size_t buckets = 16;
  while (buckets < limits_.maxEntries) buckets *= 2;
  buckets_.assign(buckets, kNone);
}

Store::~Store() = default;

Store::Entry& Store::at(EntryId id) const { return chunks_[id / kEntriesPerChunk][id % kEntriesPerChunk]; }

std::uint64_t Store::hashOf(const KeyedRequest& request) const {
  const Fingerprint hash = Hasher(seed_)
                               .add(std::to_string(request.tenant))
                               .add(std::to_string(request.classIndex))
                               .add(request.key)
                               .finalize();
  return hash.low & hashMask_;
}

Store::EntryId& Store::bucketOf(std::uint64_t hash) { return buckets_[hash & (buckets_.size() - 1)]; }

Store::EntryId Store::find(std::uint64_t hash, const KeyedRequest& request) const {
  EntryId id = buckets_[hash & (buckets_.size() - 1)];
  for (; id != kNone; id = at(id).nextInBucket) {
    const Entry& entry = at(id);
    // Hashes of different keys may collide, so the keys themselves are compared.
    if (entry.hash == hash && entry.tenant == request.tenant && entry.classIndex == request.classIndex &&
        entry.key == request.key)
      return id;
  }
  return kNone;
}

Store::EntryId Store::allocate() {
  if (firstFree_ == kNone) {
    if (allocated_ == chunks_.size() * kEntriesPerChunk)
      chunks_.push_back(std::make_unique<Entry[]>(kEntriesPerChunk));
    firstFree_ = static_cast<EntryId>(allocated_++);
    at(firstFree_).nextInBucket = kNone;
  }
  const EntryId id = firstFree_;
  firstFree_ = at(id).nextInBucket;
  return id;
}

std::optional<Store::EntryId> Store::insert(std::uint64_t hash, const KeyedRequest& request, KeyState state) {
  const std::size_t bytes = sizeof(Entry) + request.key.size();
  if (!makeRoom(request.tenant, 1, bytes)) return std::nullopt;
  const EntryId id = allocate();
  Entry& entry = at(id);
  entry.tenant = request.tenant;
  entry.classIndex = request.classIndex;
  entry.hash = hash;
  entry.fingerprint = request.fingerprint;
  entry.key = std::string(request.key);
  EntryId& bucket = bucketOf(hash);
  entry.nextInBucket = bucket;
  bucket = id;
  ++byState_[static_cast<std::size_t>(KeyState::unused)];
  setState(id, state);
  ++tenants_[request.tenant].entries;
  ++used_;
  charge(entry, static_cast<std::ptrdiff_t>(bytes));
  return id;
}

void Store::remove(EntryId id) {
  unschedule(id);
  setState(id, KeyState::unused);
  --byState_[static_cast<std::size_t>(KeyState::unused)];
  Entry& entry = at(id);
  EntryId* link = &bucketOf(entry.hash);
  while (*link != id) link = &at(*link).nextInBucket;
  *link = entry.nextInBucket;
  charge(entry, -static_cast<std::ptrdiff_t>(entry.bytes));
  --tenants_[entry.tenant].entries;
  --used_;
  entry = Entry{};
  entry.nextInBucket = firstFree_;
  firstFree_ = id;
}

void Store::charge(Entry& entry, std::ptrdiff_t bytes) {
  const auto add = [bytes](std::size_t& total) {
    total = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(total) + bytes);
  };
  add(entry.bytes);
  add(bytes_);
  add(tenants_[entry.tenant].bytes);
}

bool Store::evictOldest(std::uint32_t tenant) {
  const EntryId oldest = tenants_[tenant].completed.first;
  if (!limits_.evictCompleted || oldest == kNone) return false;
  remove(oldest);
  ++evictions_;
  return true;
}

bool Store::makeRoomWithinTenant(std::uint32_t tenant, std::size_t entries, std::size_t bytes) {
  const auto fractionOf = [this](std::size_t total) {
    return static_cast<std::size_t>(static_cast<double>(total) * limits_.maxTenantFraction);
  };
  const TenantUsage& usage = tenants_[tenant];
  const std::size_t maxEntries = std::max<std::size_t>(1, fractionOf(limits_.maxEntries));
  const std::size_t maxBytes = fractionOf(limits_.maxBytes);
  while (usage.entries + entries > maxEntries || usage.bytes + bytes > maxBytes)
    if (!evictOldest(tenant)) return false;
  return true;
}

// The tenant with the most bytes among those that have an entry to evict; `preferred` if there is none.
std::uint32_t Store::largestEvictableTenant(std::uint32_t preferred) const {
  std::uint32_t largest = preferred;
  for (std::uint32_t tenant = 0; tenant < tenants_.size(); ++tenant) {
    if (tenants_[tenant].completed.first == kNone) continue;
    if (tenants_[largest].completed.first == kNone || tenants_[tenant].bytes > tenants_[largest].bytes)
      largest = tenant;
  }
  return largest;
}

// A tenant evicts its own entries before those of others. Without a limit for each tenant, the requests of
// one could evict the responses that repeats of all others need.
bool Store::makeRoom(std::uint32_t tenant, std::size_t entries, std::size_t bytes) {
  if (!makeRoomWithinTenant(tenant, entries, bytes)) return false;
  while (used_ + entries > limits_.maxEntries || bytes_ + bytes > limits_.maxBytes)
    if (!evictOldest(largestEvictableTenant(tenant))) return false;
  return true;
}

void Store::unlinkCompleted(EntryId id) {
  Entry& entry = at(id);
  EntryList& list = tenants_[entry.tenant].completed;
  EntryId& linkFromOlder =
      entry.olderCompleted == kNone ? list.first : at(entry.olderCompleted).newerCompleted;
  EntryId& linkFromNewer =
      entry.newerCompleted == kNone ? list.last : at(entry.newerCompleted).olderCompleted;
  linkFromOlder = entry.newerCompleted;
  linkFromNewer = entry.olderCompleted;
  entry.olderCompleted = kNone;
  entry.newerCompleted = kNone;
}

void Store::appendCompleted(EntryId id) {
  Entry& entry = at(id);
  EntryList& list = tenants_[entry.tenant].completed;
  entry.olderCompleted = list.last;
  EntryId& linkFromOlder = list.last == kNone ? list.first : at(list.last).newerCompleted;
  linkFromOlder = id;
  list.last = id;
}

void Store::setState(EntryId id, KeyState state) {
  Entry& entry = at(id);
  if (entry.state == KeyState::completed) unlinkCompleted(id);
  --byState_[static_cast<std::size_t>(entry.state)];
  entry.state = state;
  ++byState_[static_cast<std::size_t>(state)];
  if (state == KeyState::completed) appendCompleted(id);
}

void Store::schedule(EntryId id, Time expiresAt) {
  unschedule(id);
  Entry& entry = at(id);
  entry.expiresAt = expiresAt;
  // The slot after the expiry: an entry has expired by the time its slot is processed.
  entry.slot = static_cast<std::int32_t>((expiresAt / tick_ + 1) % static_cast<std::int64_t>(kWheelSlots));
  EntryList& list = wheel_[static_cast<std::size_t>(entry.slot)];
  entry.previousInSlot = list.last;
  EntryId& linkFromPrevious = list.last == kNone ? list.first : at(list.last).nextInSlot;
  linkFromPrevious = id;
  list.last = id;
}

void Store::unschedule(EntryId id) {
  Entry& entry = at(id);
  if (entry.slot < 0) return;
  EntryList& list = wheel_[static_cast<std::size_t>(entry.slot)];
  EntryId& linkFromPrevious =
      entry.previousInSlot == kNone ? list.first : at(entry.previousInSlot).nextInSlot;
  EntryId& linkFromNext = entry.nextInSlot == kNone ? list.last : at(entry.nextInSlot).previousInSlot;
  linkFromPrevious = entry.nextInSlot;
  linkFromNext = entry.previousInSlot;
  entry.previousInSlot = kNone;
  entry.nextInSlot = kNone;
  entry.slot = -1;
}

void Store::expire(Time now) {
  const auto slots = static_cast<std::int64_t>(kWheelSlots);
  const std::int64_t currentTick = now / tick_;
  // After a clock step of more than one turn, one turn processes every slot.
  std::int64_t tick = std::max(processedTicks_, currentTick - slots);
  for (; tick < currentTick; ++tick) {
    EntryId id = wheel_[static_cast<std::size_t>((tick + 1) % slots)].first;
    while (id != kNone) {
      const EntryId next = at(id).nextInSlot;
      if (now >= at(id).expiresAt) remove(id);
      id = next;
    }
  }
  processedTicks_ = std::max(processedTicks_, currentTick);
}

void Store::startRun(Time now, EntryId id, const KeyedRequest& request) {
  Entry& entry = at(id);
  entry.run = nextRun_++;
  entry.isRetry = entry.earlierAttempt.has_value();
  entry.isBound = false;
  entry.attemptSent = false;
  const EarlierAttempt* const earlier = entry.earlierAttempt ? &*entry.earlierAttempt : nullptr;
  for (StoreObserver* observer : observers_) observer->onRunStarted(entry.run, now, request, earlier);
}

Store::AdmissionResult Store::joinRun(EntryId id, Waiter waiter) {
  Entry& entry = at(id);
  if (entry.waiters.size() >= limits_.maxWaiters || !makeRoom(entry.tenant, 0, sizeof(Waiter)))
    return {Admission::tooManyWaiters, kNone, nullptr, nullptr};
  entry.waiters.push_back(waiter);
  charge(entry, sizeof(Waiter));
  return {Admission::joinRunning, id, nullptr, nullptr};
}

Store::AdmissionResult Store::admitKnown(Time now, EntryId id, const KeyedRequest& request) {
  Entry& entry = at(id);
  if (!(entry.fingerprint == request.fingerprint))
    return {Admission::fingerprintMismatch, kNone, nullptr, nullptr};
  switch (entry.state) {
    case KeyState::unused: break;  // no entry in the table is unused
    case KeyState::running: return joinRun(id, request.waiter);
    case KeyState::completed: return {Admission::replayResponse, id, &entry.response, nullptr};
    case KeyState::uncertain:
      unschedule(id);
      setState(id, KeyState::running);
      startRun(now, id, request);
      return {Admission::retryUncertain, id, nullptr, &*entry.earlierAttempt};
  }
  return {Admission::storeFull, id, nullptr, nullptr};
}

Store::AdmissionResult Store::admit(Time now, const KeyedRequest& request) {
  expire(now);
  const std::uint64_t hash = hashOf(request);
  const EntryId existing = find(hash, request);
  if (existing != kNone) {
    // The wheel removes an entry up to a tick after its expiry.
    const bool expired = at(existing).slot >= 0 && now >= at(existing).expiresAt;
    if (!expired) return admitKnown(now, existing, request);
    remove(existing);
  }
  const auto inserted = insert(hash, request, KeyState::running);
  if (!inserted) return {};
  startRun(now, *inserted, request);
  return {Admission::firstRun, *inserted, nullptr, nullptr};
}

void Store::onAttemptSent(EntryId id, const EarlierAttempt& attempt) {
  Entry& entry = at(id);
  entry.attemptSent = true;
  if (entry.earlierAttempt) return;
  entry.earlierAttempt = attempt;
  entry.attemptUnsettled = true;
  for (StoreObserver* observer : observers_) observer->onAttemptSent(entry.run, attempt);
}

void Store::onAttemptSettled(EntryId id, bool mayHaveRun) {
  Entry& entry = at(id);
  if (!entry.attemptUnsettled) return;
  entry.attemptUnsettled = false;
  if (mayHaveRun) return;
  entry.earlierAttempt.reset();
  for (StoreObserver* observer : observers_) observer->onAttemptNotExecuted(entry.run);
}

void Store::bindToEarlierAttempt(EntryId id, const EarlierAttempt& attempt, Time until) {
  Entry& entry = at(id);
  entry.expiresAt = entry.isRetry ? std::max(entry.expiresAt, until) : until;
  entry.isRetry = true;
  entry.isBound = true;
  if (entry.earlierAttempt) return;
  entry.earlierAttempt = attempt;
  for (StoreObserver* observer : observers_) observer->onAttemptSent(entry.run, attempt);
}

void Store::waitForRun(EntryId id, Waiter waiter) {
  Entry& entry = at(id);
  entry.waiters.push_back(waiter);
  charge(entry, sizeof(Waiter));
}

void Store::removeWaiter(EntryId id, Waiter waiter) {
  Entry& entry = at(id);
  const auto it = std::find(entry.waiters.begin(), entry.waiters.end(), waiter);
  if (it == entry.waiters.end()) return;
  entry.waiters.erase(it);
  charge(entry, -static_cast<std::ptrdiff_t>(sizeof(Waiter)));
}

bool Store::hasWaiters(EntryId id) const { return !at(id).waiters.empty(); }

std::vector<Store::Waiter> Store::takeWaiters(Entry& entry) {
  std::vector<Waiter> waiters = std::move(entry.waiters);
  entry.waiters.clear();
  charge(entry, -static_cast<std::ptrdiff_t>(waiters.size() * sizeof(Waiter)));
  return waiters;
}

Store::Waiter Store::takeFirstWaiter(Entry& entry) {
  const Waiter first = entry.waiters.front();
  entry.waiters.erase(entry.waiters.begin());
  charge(entry, -static_cast<std::ptrdiff_t>(sizeof(Waiter)));
  return first;
}

std::vector<Store::Waiter> Store::finishRun(Time now, EntryId id, RunOutcome outcome,
                                            CachedResponse&& response) {
  std::vector<Waiter> waiters = takeWaiters(at(id));
  if (!settleRun(now, id, outcome, std::move(response))) remove(id);
  return waiters;
}

Store::NextRun Store::finishRunAndBeginNext(Time now, EntryId id, RunOutcome outcome) {
  Entry& entry = at(id);
  const bool keyIsKnown = settleRun(now, id, outcome, {});
  if (keyIsKnown) {
    unschedule(id);
    setState(id, KeyState::running);
  } else {
    entry.earlierAttempt.reset();
  }
  KeyedRequest request;
  request.tenant = entry.tenant;
  request.classIndex = entry.classIndex;
  request.key = entry.key;
  request.fingerprint = entry.fingerprint;
  request.waiter = takeFirstWaiter(entry);
  startRun(now, id, request);
  if (!keyIsKnown) return {request.waiter, {Admission::firstRun, id, nullptr, nullptr}};
  return {request.waiter, {Admission::retryUncertain, id, nullptr, &*entry.earlierAttempt}};
}

// Returns false if nothing of the key is to be remembered; its entry is then left as it is.
bool Store::settleRun(Time now, EntryId id, RunOutcome outcome, CachedResponse&& response) {
  Entry& entry = at(id);
  // A retry that was not sent does not renew the retention. Otherwise a client that repeats often enough
  // could keep its key uncertain indefinitely.
  const bool keepsExpiry =
      entry.isRetry && !entry.attemptSent && (outcome == RunOutcome::notExecuted || entry.isBound);
  const Time expiresAt = keepsExpiry ? entry.expiresAt : now + limits_.retention;
  if ((outcome == RunOutcome::notExecuted && !entry.earlierAttempt) || expiresAt <= now) {
    for (StoreObserver* observer : observers_)
      observer->onRunFinished(entry.run, now, KeyState::unused, {}, nullptr);
    return false;
  }
  entry.attemptUnsettled = false;
  // An unknown attempt, without zone and time: the key is bound, and no host qualifies for a repeat.
  if (!entry.earlierAttempt) entry.earlierAttempt = EarlierAttempt{};
  // The entry still counts as running here, so making room cannot evict it.
  const bool cached = outcome == RunOutcome::responded && response.body.size() <= limits_.maxResponseBytes &&
                      makeRoom(entry.tenant, 0, response.body.size() + response.contentType.size());
  if (cached) cacheResponse(id, std::move(response));
  setState(id, cached ? KeyState::completed : KeyState::uncertain);
  schedule(id, expiresAt);
  const EarlierAttempt* const executed = entry.attemptSent ? &*entry.earlierAttempt : nullptr;
  for (StoreObserver* observer : observers_)
    observer->onRunFinished(entry.run, expiresAt - limits_.retention, entry.state, entry.response, executed);
  return true;
}

void Store::cacheResponse(EntryId id, CachedResponse&& response) {
  Entry& entry = at(id);
  entry.response = std::move(response);
  charge(entry, static_cast<std::ptrdiff_t>(entry.response.body.size() + entry.response.contentType.size()));
}

void Store::removeObserver(StoreObserver& observer) {
  observers_.erase(std::remove(observers_.begin(), observers_.end(), &observer), observers_.end());
}

std::optional<Store::EntryView> Store::view(EntryId id) const {
  if (id >= allocated_ || at(id).state == KeyState::unused) return std::nullopt;
  const Entry& entry = at(id);
  EntryView view;
  view.id = id;
  view.request = {entry.tenant, entry.classIndex, entry.key, entry.fingerprint, 0};
  view.state = entry.state;
  view.run = entry.run;
  view.isRetry = entry.isRetry;
  view.attemptSent = entry.attemptSent;
  if (entry.state == KeyState::completed) view.response = &entry.response;
  if (entry.earlierAttempt) view.earlierAttempt = &*entry.earlierAttempt;
  view.expiresAt = entry.expiresAt;
  return view;
}

std::optional<Store::EntryView> Store::lookUp(Time now, const KeyedRequest& request) const {
  const EntryId id = find(hashOf(request), request);
  if (id == kNone || (at(id).slot >= 0 && now >= at(id).expiresAt)) return std::nullopt;
  return view(id);
}

void Store::setSeed(const Seed& seed) {
  if (used_ == 0) seed_ = seed;
}

void Store::setMinNextRun(std::uint64_t run) { nextRun_ = std::max(nextRun_, run); }

void Store::erase(const KeyedRequest& request) {
  const EntryId id = find(hashOf(request), request);
  if (id != kNone && at(id).state != KeyState::running) remove(id);
}

bool Store::restore(Time now, RestoredEntry&& restored) {
  expire(now);
  erase(restored.request);
  // If the calendar stepped back between two processes, the recorded expiry may be more than one retention
  // from now, which is beyond the span of the wheel and longer than a key is to be retained.
  const Time expiresAt = std::min(restored.expiresAt, now + limits_.retention);
  const std::uint64_t hash = hashOf(restored.request);
  if (expiresAt <= now || find(hash, restored.request) != kNone) return false;
  const bool hasResponse =
      restored.state == KeyState::completed && restored.response.body.size() <= limits_.maxResponseBytes;
  const auto inserted = insert(hash, restored.request, KeyState::uncertain);
  if (!inserted) return false;
  at(*inserted).earlierAttempt = std::move(restored.earlierAttempt);
  const std::size_t responseBytes = restored.response.body.size() + restored.response.contentType.size();
  if (hasResponse && makeRoom(restored.request.tenant, 0, responseBytes)) {
    cacheResponse(*inserted, std::move(restored.response));
    setState(*inserted, KeyState::completed);
  }
  schedule(*inserted, expiresAt);
  return true;
}

}  // namespace finchstile::idempotency
