// Each transition of a key in the store, the limits of the store, and random operations checked against a
// reference model.
#include "idempotency/store.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = Store::RunOutcome;

struct StoreTest : ::testing::Test {
  StoreLimits limits;
  Time now = std::chrono::hours(1);
  std::unique_ptr<Store> store;
  std::uint64_t waiters = 0;

  void make(std::uint32_t tenants = 2, std::uint64_t hashMask = ~std::uint64_t{0}) {
    store = std::make_unique<Store>(limits, tenants, Seed{1, 2}, hashMask);
  }
  Store::AdmissionResult arrive(const std::string& key, std::uint64_t body = 1, std::uint32_t tenant = 0,
                                std::uint32_t cls = 0) {
    Store::KeyedRequest a;
    a.tenant = tenant;
    a.classIndex = cls;
    a.key = key;
    a.fingerprint = {body, body};
    a.waiter = ++waiters;
    return store->admit(now, a);
  }
  static CachedResponse ok(const std::string& body = "ok") { return {200, "text/plain", body}; }
};

TEST_F(StoreTest, JoinsRunningRequestAndReplaysCompletedOne) {
  make();
  const auto first = arrive("k");
  ASSERT_EQ(first.admission, Admission::firstRun);
  EXPECT_EQ(arrive("k").admission, Admission::joinRunning);
  EXPECT_EQ(arrive("k").admission, Admission::joinRunning);  // a second waiter
  EXPECT_TRUE(store->hasWaiters(first.entry));
  EXPECT_EQ(store->finishRun(now, first.entry, Outcome::responded, ok()), (std::vector<Store::Waiter>{2, 3}));
  const auto replay = arrive("k");
  ASSERT_EQ(replay.admission, Admission::replayResponse);
  EXPECT_EQ(replay.response->body, "ok");
  EXPECT_EQ(store->countInState(KeyState::completed), 1u);
}

TEST_F(StoreTest, SeparatesKeysByClassAndTenant) {
  make();
  EXPECT_EQ(arrive("k", 1, 0, 0).admission, Admission::firstRun);
  EXPECT_EQ(arrive("k", 1, 1, 0).admission, Admission::firstRun);
  EXPECT_EQ(arrive("k", 1, 0, 1).admission, Admission::firstRun);
}

TEST_F(StoreTest, DetectsFingerprintMismatchInEachState) {
  make();
  const auto first = arrive("k", 1);
  EXPECT_EQ(arrive("k", 2).admission, Admission::fingerprintMismatch);
  store->finishRun(now, first.entry, Outcome::responded, ok());
  EXPECT_EQ(arrive("k", 2).admission, Admission::fingerprintMismatch);
  const auto other = arrive("u", 1);
  store->finishRun(now, other.entry, Outcome::mayHaveExecuted);
  EXPECT_EQ(arrive("u", 2).admission, Admission::fingerprintMismatch);
  EXPECT_EQ(arrive("u", 1).admission, Admission::retryUncertain);
}

// A first request that was rejected unsent leaves no entry, and its repeat runs as a first one.
TEST_F(StoreTest, ForgetsRunThatWasNotExecuted) {
  make();
  const auto first = arrive("k");
  arrive("k");
  EXPECT_EQ(store->finishRun(now, first.entry, Outcome::notExecuted).size(), 1u);
  EXPECT_EQ(store->entries(), 0u);
  EXPECT_EQ(store->bytes(), 0u);
  EXPECT_EQ(arrive("k", 9).admission, Admission::firstRun);
}

// A first request fails after an attempt may have been executed. Repeats are bound to the first such
// attempt.
TEST_F(StoreTest, RemembersLocationAndTimeOfRunThatMayHaveExecuted) {
  make();
  const auto first = arrive("k");
  store->onAttemptSent(first.entry, {"brasov", 1, now});
  store->onAttemptSettled(first.entry, false);  // rejected by the host
  store->onAttemptSent(first.entry, {"cluj", 2, now + milliseconds(10)});
  store->onAttemptSettled(first.entry, true);
  store->onAttemptSent(first.entry, {"cluj", 3, now + milliseconds(20)});
  store->onAttemptSettled(first.entry, false);
  store->finishRun(now + milliseconds(30), first.entry, Outcome::mayHaveExecuted);
  const auto retry = arrive("k");
  ASSERT_EQ(retry.admission, Admission::retryUncertain);
  EXPECT_EQ(retry.earlierAttempt->zone, "cluj");
  EXPECT_EQ(retry.earlierAttempt->cell, 2);
  EXPECT_EQ(retry.earlierAttempt->sentAt, now + milliseconds(10));
  // The retry itself was not executed, but the run before it still may have been.
  store->finishRun(now, retry.entry, Outcome::notExecuted);
  const auto third = arrive("k");
  ASSERT_EQ(third.admission, Admission::retryUncertain);
  EXPECT_EQ(third.earlierAttempt->sentAt, now + milliseconds(10));
}

// A client that keeps repeating an uncertain request, which fails unsent each time, must not prolong its
// retention.
TEST_F(StoreTest, UnsentRetryDoesNotProlongRetention) {
  limits.retention = seconds(10);
  make();
  const auto first = arrive("k");
  store->onAttemptSent(first.entry, {"cluj", 2, now});
  store->onAttemptSettled(first.entry, true);
  store->finishRun(now, first.entry, Outcome::mayHaveExecuted);
  const Time expiry = now + limits.retention;
  for (now += seconds(1); now < expiry; now += seconds(1)) {
    const auto retry = arrive("k");
    ASSERT_EQ(retry.admission, Admission::retryUncertain);
    EXPECT_EQ(retry.earlierAttempt->zone, "cluj");
    store->finishRun(now, retry.entry, Outcome::notExecuted);
  }
  EXPECT_EQ(arrive("k").admission, Admission::firstRun);
  // A retry that is sent begins a new retention.
  const auto other = arrive("o");
  store->onAttemptSent(other.entry, {"cluj", 2, now});
  store->onAttemptSettled(other.entry, true);
  store->finishRun(now, other.entry, Outcome::mayHaveExecuted);
  now += seconds(9);
  const auto retry = arrive("o");
  store->onAttemptSent(retry.entry, {"cluj", 2, now});
  store->finishRun(now, retry.entry, Outcome::notExecuted);
  now += seconds(9);
  EXPECT_EQ(arrive("o").admission, Admission::retryUncertain);
}

// A run that is bound to an attempt reported by another gateway retains its key until the reported time,
// whether it ends with the other gateway's response or unsent.
TEST_F(StoreTest, BoundAttemptCountsUntilItsTime) {
  limits.retention = seconds(10);
  make();
  for (const Outcome outcome : {Outcome::responded, Outcome::notExecuted}) {
    const std::string key = outcome == Outcome::responded ? "a" : "u";
    const auto r = arrive(key);
    store->bindToEarlierAttempt(r.entry, {"cluj", 2, now}, now + seconds(4));
    store->finishRun(now + seconds(1), r.entry, outcome, ok());
  }
  const Time start = now;
  now = start + milliseconds(3999);
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  const auto retry = arrive("u");
  ASSERT_EQ(retry.admission, Admission::retryUncertain);
  EXPECT_EQ(retry.earlierAttempt->zone, "cluj");
  // The same applies to a key that was uncertain before: its own earlier attempt is kept, and the response
  // expires at the later of the two times.
  store->bindToEarlierAttempt(retry.entry, {"brasov", 1, now}, start + seconds(6));
  store->finishRun(now, retry.entry, Outcome::responded, ok());
  now = start + milliseconds(5999);
  EXPECT_EQ(arrive("a").admission, Admission::firstRun);
  EXPECT_EQ(arrive("u").admission, Admission::replayResponse);
  now = start + seconds(6);
  EXPECT_EQ(arrive("u").admission, Admission::firstRun);
}

// A retry that ends unsent after the retention of the earlier run leaves its key unused.
TEST_F(StoreTest, ForgetsUnsentRetryThatOutlastsRetention) {
  limits.retention = seconds(10);
  make();
  store->finishRun(now, arrive("k").entry, Outcome::mayHaveExecuted);
  now += seconds(9);
  const auto retry = arrive("k");
  now += seconds(2);
  store->finishRun(now, retry.entry, Outcome::notExecuted);
  EXPECT_EQ(store->entries(), 0u);
}

TEST_F(StoreTest, ResponseTooLargeLeavesKeyUncertain) {
  limits.maxResponseBytes = 10;
  make();
  const auto first = arrive("k");
  store->onAttemptSent(first.entry, {"cluj", 0, now});
  store->onAttemptSettled(first.entry, true);
  store->finishRun(now, first.entry, Outcome::responded, ok(std::string(11, 'x')));
  EXPECT_EQ(store->countInState(KeyState::uncertain), 1u);
  EXPECT_EQ(arrive("k").admission, Admission::retryUncertain);
}

TEST_F(StoreTest, RetentionIsExact) {
  limits.retention = seconds(10);
  make();
  store->finishRun(now, arrive("a").entry, Outcome::responded, ok());
  store->finishRun(now, arrive("u").entry, Outcome::mayHaveExecuted);
  now += milliseconds(9999);
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  now += milliseconds(1);
  EXPECT_EQ(arrive("a").admission, Admission::firstRun);
  EXPECT_EQ(arrive("u").admission, Admission::firstRun);
}

TEST_F(StoreTest, RemovesExpiredEntriesWithoutCalls) {
  limits.retention = seconds(10);
  make();
  for (int i = 0; i < 1000; ++i, now += milliseconds(7))
    store->finishRun(now, arrive(std::to_string(i)).entry, Outcome::responded, ok());
  now += seconds(11);
  store->expire(now);
  EXPECT_EQ(store->entries(), 0u);
  EXPECT_EQ(store->bytes(), 0u);
}

// A clock step forward removes all expired entries, also by more than one turn of the wheel; a step back
// removes none.
TEST_F(StoreTest, ClockStepsNeitherLoseNorRetainEntries) {
  limits.retention = seconds(10);
  make();
  store->finishRun(now, arrive("a").entry, Outcome::responded, ok());
  now += std::chrono::hours(1000);
  store->expire(now);
  EXPECT_EQ(store->entries(), 0u);
  store->finishRun(now, arrive("b").entry, Outcome::responded, ok());
  now -= std::chrono::hours(2);
  EXPECT_EQ(arrive("b").admission, Admission::replayResponse);
  now += std::chrono::hours(2) + seconds(10);
  EXPECT_EQ(arrive("b").admission, Admission::firstRun);
}

// A full store evicts completed entries, the oldest first, and never running and uncertain ones.
TEST_F(StoreTest, EvictsCompletedEntriesOnlyThenReportsFull) {
  limits.maxEntries = 10;
  limits.maxTenantFraction = 1;
  make(1);
  std::vector<Store::EntryId> running;
  for (int i = 0; i < 4; ++i) running.push_back(arrive("r" + std::to_string(i)).entry);
  for (int i = 0; i < 3; ++i)
    store->finishRun(now, arrive("u" + std::to_string(i)).entry, Outcome::mayHaveExecuted);
  for (int i = 0; i < 3; ++i)
    store->finishRun(now, arrive("a" + std::to_string(i)).entry, Outcome::responded, ok());
  EXPECT_EQ(arrive("n0").admission, Admission::firstRun);  // evicts a0
  EXPECT_EQ(store->evictions(), 1u);
  EXPECT_EQ(arrive("a1").admission, Admission::replayResponse);
  EXPECT_EQ(arrive("n1").admission, Admission::firstRun);
  EXPECT_EQ(arrive("n2").admission, Admission::firstRun);
  EXPECT_EQ(arrive("n3").admission, Admission::storeFull);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("r" + std::to_string(i)).admission, Admission::joinRunning);
  EXPECT_EQ(arrive("u0").admission, Admission::retryUncertain);
  store->finishRun(now, running[0], Outcome::notExecuted);
  EXPECT_EQ(arrive("n3").admission, Admission::firstRun);
}

// Without eviction no entry is removed before it expires, and new keys are not admitted.
TEST_F(StoreTest, KeepsCompletedEntriesWithoutEviction) {
  limits.maxEntries = 4;
  limits.maxTenantFraction = 1;
  limits.evictCompleted = false;
  make(1);
  for (int i = 0; i < 4; ++i)
    store->finishRun(now, arrive("a" + std::to_string(i)).entry, Outcome::responded, ok());
  EXPECT_EQ(arrive("n").admission, Admission::storeFull);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("a" + std::to_string(i)).admission, Admission::replayResponse);
  EXPECT_EQ(store->evictions(), 0u);
  now += limits.retention + seconds(1);
  store->expire(now);
  EXPECT_EQ(arrive("n").admission, Admission::firstRun);
}

TEST_F(StoreTest, TenantCannotEvictOthersBeyondItsLimit) {
  limits.maxEntries = 1000;
  limits.maxTenantFraction = 0.5;
  make(3);
  for (int i = 0; i < 200; ++i)
    store->finishRun(now, arrive("p" + std::to_string(i), 1, 1).entry, Outcome::responded, ok());
  for (int i = 0; i < 100'000; ++i)
    store->finishRun(now, arrive("f" + std::to_string(i), 1, 0).entry, Outcome::responded, ok());
  for (int i = 0; i < 300; ++i)
    store->finishRun(now, arrive("q" + std::to_string(i), 1, 2).entry, Outcome::responded, ok());
  for (int i = 0; i < 200; ++i)
    EXPECT_EQ(arrive("p" + std::to_string(i), 1, 1).admission, Admission::replayResponse) << i;
  EXPECT_LE(store->entries(), 1000u);
}

TEST_F(StoreTest, StaysWithinLimitsForAMillionKeys) {
  limits.maxEntries = 5000;
  limits.maxBytes = 2 * 1024 * 1024;
  make();
  std::size_t peakBytes = 0;
  for (int i = 0; i < 1'000'000; ++i) {
    const auto r = arrive("key-" + std::to_string(i));
    if (r.admission == Admission::firstRun) store->finishRun(now, r.entry, Outcome::responded, ok());
    peakBytes = std::max(peakBytes, store->bytes());
    now += std::chrono::microseconds(10);
  }
  EXPECT_LE(peakBytes, limits.maxBytes);
  EXPECT_LE(store->entries(), 5000u);
}

TEST_F(StoreTest, BoundsWaiters) {
  limits.maxWaiters = 3;
  make();
  arrive("k");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(arrive("k").admission, Admission::joinRunning);
  EXPECT_EQ(arrive("k").admission, Admission::tooManyWaiters);
}

// Guards against waiters that take more bytes than the store may have.
TEST_F(StoreTest, CountsWaitersBeforeTheyAreTakenIn) {
  limits.maxBytes = 1024;
  limits.maxTenantFraction = 1;
  make(1);
  arrive("k");
  while (arrive("k").admission == Admission::joinRunning) EXPECT_LE(store->bytes(), limits.maxBytes);
  EXPECT_EQ(arrive("k").admission, Admission::tooManyWaiters);
  EXPECT_LE(store->bytes(), limits.maxBytes);
}

TEST_F(StoreTest, BeginsNextRunForTheFirstWaiterWhileTheOthersWait) {
  make();
  const auto first = arrive("k");
  arrive("k"), arrive("k"), arrive("k");
  Store::NextRun next = store->finishRunAndBeginNext(now, first.entry, Outcome::notExecuted);
  EXPECT_EQ(next.waiter, 2u);
  EXPECT_EQ(next.admission.admission, Admission::firstRun);
  EXPECT_EQ(next.admission.entry, first.entry);
  store->onAttemptSent(first.entry, {"z", 7, now});
  next = store->finishRunAndBeginNext(now, first.entry, Outcome::mayHaveExecuted);
  EXPECT_EQ(next.waiter, 3u);
  EXPECT_EQ(next.admission.admission, Admission::retryUncertain);
  ASSERT_NE(next.admission.earlierAttempt, nullptr);
  EXPECT_EQ(next.admission.earlierAttempt->cell, 7);
  EXPECT_EQ(arrive("k").admission, Admission::joinRunning);
  EXPECT_EQ(store->finishRun(now, first.entry, Outcome::responded, ok()), (std::vector<Store::Waiter>{4, 5}));
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
}

// One key in a store that is full now and then: whatever happens to its first run, it has one run at a time,
// and none after a response. All sequences of events up to a length, and longer ones from seeds.
struct OneRunAtATime : StoreTest {
  enum Event : unsigned {
    arrival,
    endsUnrun,
    endsUncertain,
    endsWithResponse,
    firstWaiterLeaves,
    arrivalOfAnotherKey,
    repeatOfAnotherKey,
    retentionPasses,
    kEvents
  };
  std::optional<Store::EntryId> running;
  std::deque<Store::Waiter> waiting;
  bool responded = false;
  unsigned otherKeys = 0;

  void begin() {
    limits = {};
    limits.maxEntries = 3;
    limits.maxBytes = 1200;
    limits.maxTenantFraction = 1;
    limits.evictCompleted = false;
    make(1);
    running.reset();
    waiting.clear();
    responded = false;
    otherKeys = 0;
  }
  void onArrival() {
    const auto result = arrive("k");
    switch (result.admission) {
      case Admission::firstRun:
      case Admission::retryUncertain:
        ASSERT_FALSE(running) << "a second run beside the first";
        ASSERT_FALSE(responded) << "a run after a response";
        running = result.entry;
        break;
      case Admission::joinRunning: waiting.push_back(waiters); [[fallthrough]];
      case Admission::tooManyWaiters: ASSERT_TRUE(running); break;
      case Admission::replayResponse: ASSERT_TRUE(responded); break;
      case Admission::storeFull: ASSERT_FALSE(running || responded); break;
      case Admission::fingerprintMismatch: FAIL();
    }
  }
  void onEnd(Outcome outcome) {
    if (!running) return;
    if (outcome != Outcome::notExecuted) store->onAttemptSent(*running, {"z", 1, now});
    ASSERT_EQ(store->hasWaiters(*running), !waiting.empty());
    if (outcome == Outcome::responded) {
      const auto answered = store->finishRun(now, *running, outcome, ok());
      ASSERT_TRUE(std::equal(answered.begin(), answered.end(), waiting.begin(), waiting.end()));
      waiting.clear();
      responded = arrive("k").admission == Admission::replayResponse;  // unless the store has no room for it
      if (!responded) store->finishRun(now, *running, Outcome::notExecuted);
      running.reset();
    } else if (waiting.empty()) {
      store->finishRun(now, *running, outcome);
      running.reset();
    } else {
      const auto next = store->finishRunAndBeginNext(now, *running, outcome);
      ASSERT_EQ(next.waiter, waiting.front());
      ASSERT_EQ(next.admission.entry, *running);
      waiting.pop_front();
    }
  }
  void handle(unsigned event) {
    switch (event) {
      case arrival: return onArrival();
      case endsUnrun: return onEnd(Outcome::notExecuted);
      case endsUncertain: return onEnd(Outcome::mayHaveExecuted);
      case endsWithResponse: return onEnd(Outcome::responded);
      case firstWaiterLeaves:
        if (waiting.empty()) return;
        store->removeWaiter(*running, waiting.front());
        return waiting.pop_front();
      case arrivalOfAnotherKey: arrive("other-" + std::to_string(otherKeys++)); return;
      case repeatOfAnotherKey: arrive("other-0"); return;
      case retentionPasses:
        now += limits.retention + seconds(1);
        responded = false;
        return;
    }
  }
  void check() { ASSERT_LE(store->bytes(), limits.maxBytes); }
  void play(const std::vector<unsigned>& events) {
    begin();
    for (const unsigned event : events) {
      handle(event);
      check();
      if (HasFatalFailure()) {
        std::string sequence;
        for (const unsigned each : events) sequence += std::to_string(each) + " ";
        FAIL() << "events: " << sequence;
      }
    }
  }
};

TEST_F(OneRunAtATime, InEverySequenceOfSixEvents) {
  constexpr unsigned kLength = 6;
  std::vector<unsigned> events(kLength, 0);
  for (unsigned sequence = 0; sequence < 1u << (3 * kLength); ++sequence) {
    static_assert(kEvents == 8, "three bits an event");
    for (unsigned i = 0; i < kLength; ++i) events[i] = sequence >> (3 * i) & 7;
    play(events);
    if (HasFatalFailure()) return;
  }
}

TEST_F(OneRunAtATime, InLongSequencesFromSeeds) {
  for (unsigned seed = 1; seed <= 5000; ++seed) {
    std::mt19937 rng(seed);
    std::vector<unsigned> events(60);
    for (unsigned& event : events) event = rng() % (rng() % 8 == 0 ? kEvents : retentionPasses);
    play(events);
    ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
  }
}

TEST_F(StoreTest, DoesNotReturnRemovedWaiter) {
  make();
  const auto first = arrive("k");
  arrive("k"), arrive("k");
  store->removeWaiter(first.entry, 2);
  store->removeWaiter(first.entry, 99);  // not a waiter of this entry: no effect
  EXPECT_EQ(store->finishRun(now, first.entry, Outcome::responded, ok()), (std::vector<Store::Waiter>{3}));
}

// Many keys in few buckets.
TEST_F(StoreTest, SeparatesKeysInOneBucket) {
  limits.maxEntries = 16;
  limits.maxTenantFraction = 1;
  make(1);
  std::vector<Store::EntryId> ids;
  for (int i = 0; i < 16; ++i) ids.push_back(arrive("k" + std::to_string(i)).entry);
  for (int i = 0; i < 16; i += 2) store->finishRun(now, ids[i], Outcome::notExecuted);
  for (int i = 1; i < 16; i += 2) EXPECT_EQ(arrive("k" + std::to_string(i)).entry, ids[i]);
  for (int i = 0; i < 16; i += 2) EXPECT_EQ(arrive("k" + std::to_string(i)).admission, Admission::firstRun);
}

// Keys whose used hash bits are equal are distinguished by key, class and tenant.
TEST_F(StoreTest, SeparatesKeysWithEqualHash) {
  make(2, 1);
  const auto first = arrive("a", 1, 0, 0);
  ASSERT_EQ(first.admission, Admission::firstRun);
  for (int i = 0; i < 50; ++i) EXPECT_EQ(arrive("k" + std::to_string(i)).admission, Admission::firstRun);
  EXPECT_EQ(arrive("a", 1, 1, 0).admission, Admission::firstRun);
  EXPECT_EQ(arrive("a", 1, 0, 1).admission, Admission::firstRun);
  EXPECT_EQ(arrive("a", 1, 0, 0).entry, first.entry);
  store->finishRun(now, first.entry, Outcome::responded, ok("of a"));
  EXPECT_EQ(arrive("k7").admission, Admission::joinRunning);
  EXPECT_EQ(arrive("a").response->body, "of a");
}

// If the limits of all tenants add up to more than the store, entries of the tenant with the most bytes are
// evicted.
TEST_F(StoreTest, EvictsFromLargestTenantWhenStoreIsFull) {
  limits.maxEntries = 1000;
  limits.maxTenantFraction = 0.8;
  make(3);
  for (int i = 0; i < 200; ++i)
    store->finishRun(now, arrive("p" + std::to_string(i), 1, 1).entry, Outcome::responded, ok());
  for (int i = 0; i < 5000; ++i)
    store->finishRun(now, arrive("f" + std::to_string(i), 1, 0).entry, Outcome::responded, ok());
  for (int i = 0; i < 300; ++i)
    store->finishRun(now, arrive("q" + std::to_string(i), 1, 2).entry, Outcome::responded, ok());
  EXPECT_EQ(store->entries(), 1000u);
  for (int i = 0; i < 200; ++i)
    EXPECT_EQ(arrive("p" + std::to_string(i), 1, 1).admission, Admission::replayResponse) << i;
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(arrive("q" + std::to_string(i), 1, 2).admission, Admission::replayResponse) << i;
}

// A model in plain maps, without limits other than the retention and the waiters. The store must match it
// after each random operation.
struct Model {
  struct ModelEntry {
    KeyState state = KeyState::running;
    std::uint64_t body = 0;
    bool executedBefore = false, retry = false, attemptSent = false;
    Time expiry{};
    std::deque<std::uint64_t> waiters;
    std::string responseBody;
  };
  std::map<std::string, ModelEntry> modelEntries;
  void expire(Time now) {
    for (auto it = modelEntries.begin(); it != modelEntries.end();)
      if (it->second.state != KeyState::running && now >= it->second.expiry) it = modelEntries.erase(it);
      else ++it;
  }
};

TEST_F(StoreTest, MatchesReferenceModel) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 rng(seed);
    limits = {};
    limits.retention = milliseconds(500);
    limits.maxWaiters = 4;
    make(1);
    Model model;
    std::map<std::string, Store::EntryId> running;
    std::map<std::string, bool> attempt;  // an attempt is in flight
    for (int step = 0; step < 20'000; ++step) {
      now += std::chrono::microseconds(rng() % 3000);
      model.expire(now);
      const std::string key = "k" + std::to_string(rng() % 40);
      const std::uint64_t body = rng() % 20 == 0 ? 2 : 1;
      const auto it = model.modelEntries.find(key);
      switch (rng() % 4) {
        case 0:
        case 1: {
          const auto r = arrive(key, body);
          if (it == model.modelEntries.end()) {
            ASSERT_EQ(r.admission, Admission::firstRun);
            model.modelEntries[key].body = body;
            running[key] = r.entry;
          } else if (it->second.body != body) {
            ASSERT_EQ(r.admission, Admission::fingerprintMismatch);
          } else if (it->second.state == KeyState::running) {
            const bool waitersFull = it->second.waiters.size() == 4;
            ASSERT_EQ(r.admission, waitersFull ? Admission::tooManyWaiters : Admission::joinRunning);
            if (!waitersFull) it->second.waiters.push_back(waiters);
          } else if (it->second.state == KeyState::completed) {
            ASSERT_EQ(r.admission, Admission::replayResponse);
            ASSERT_EQ(r.response->body, it->second.responseBody);
          } else {
            ASSERT_EQ(r.admission, Admission::retryUncertain);
            it->second.state = KeyState::running;
            it->second.retry = true;
            it->second.attemptSent = false;
            running[key] = r.entry;
          }
          break;
        }
        case 2:  // an attempt is sent or ends
          if (!running.count(key)) break;
          if (!attempt[key]) {
            store->onAttemptSent(running[key], {"z", 0, now});
            attempt[key] = it->second.attemptSent = true;
          } else {
            const bool executed = rng() % 2;
            store->onAttemptSettled(running[key], executed);
            it->second.executedBefore |= executed;
            attempt[key] = false;
          }
          break;
        default: {
          if (!running.count(key)) break;
          if (rng() % 5 == 0 && !it->second.waiters.empty()) {
            store->removeWaiter(running[key], it->second.waiters.front());
            it->second.waiters.pop_front();
            break;
          }
          const Outcome outcome = attempt[key] ? (rng() % 2 ? Outcome::responded : Outcome::mayHaveExecuted)
                                  : it->second.executedBefore && rng() % 2 ? Outcome::mayHaveExecuted
                                                                           : Outcome::notExecuted;
          const std::string responseBody = "a" + std::to_string(step);
          const auto waiting = store->finishRun(now, running[key], outcome, {200, "", responseBody});
          ASSERT_TRUE(std::equal(waiting.begin(), waiting.end(), it->second.waiters.begin(),
                                 it->second.waiters.end()));
          running.erase(key);
          attempt[key] = false;
          const bool keepsExpiry =
              outcome == Outcome::notExecuted && it->second.retry && !it->second.attemptSent;
          if ((outcome == Outcome::notExecuted && !it->second.executedBefore) ||
              (keepsExpiry && it->second.expiry <= now)) {
            model.modelEntries.erase(it);
            break;
          }
          it->second.executedBefore = true;
          it->second.waiters.clear();
          it->second.state = outcome == Outcome::responded ? KeyState::completed : KeyState::uncertain;
          it->second.responseBody = responseBody;
          if (!keepsExpiry) it->second.expiry = now + limits.retention;
        }
      }
      if (step % 64 == 0) {
        store->expire(now);
        std::size_t n[4] = {};
        for (const auto& [k, entryModel] : model.modelEntries)
          ++n[static_cast<std::size_t>(entryModel.state)];
        ASSERT_EQ(store->countInState(KeyState::running), n[1]);
        // Entries are removed up to a tick after their expiry.
        ASSERT_GE(store->entries(), model.modelEntries.size());
      }
    }
    now += seconds(2);
    store->expire(now);
    ASSERT_EQ(store->entries(), running.size());
  }
}

TEST(Fingerprints, DependOnPartsAndSeed) {
  const auto of = [](Seed seed, std::vector<std::string> parts) {
    Hasher h(seed);
    for (const auto& p : parts) h.add(p);
    return h.finalize();
  };
  EXPECT_EQ(of({1, 2}, {"ab", "c"}), of({1, 2}, {"ab", "c"}));
  EXPECT_FALSE(of({1, 2}, {"ab", "c"}) == of({1, 2}, {"a", "bc"}));
  EXPECT_FALSE(of({1, 2}, {"ab", "c"}) == of({1, 3}, {"ab", "c"}));
  EXPECT_FALSE(of({1, 2}, {""}) == of({1, 2}, {}));
  std::set<std::uint64_t> seen;
  for (int i = 0; i < 20000; ++i) {
    const Fingerprint f = of({1, 2}, {std::to_string(i)});
    seen.insert(f.high), seen.insert(f.low);
  }
  EXPECT_EQ(seen.size(), 40000u);
}

}  // namespace
}  // namespace finchstile::idempotency
