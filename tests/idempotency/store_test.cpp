// The store of keyed requests: each transition, its bounds, and a plain reference model under random
// operations.
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
using E = Store::End;

struct StoreTest : ::testing::Test {
  StoreLimits limits;
  Time now = std::chrono::hours(1);
  std::unique_ptr<Store> store;
  std::uint64_t waiters = 0;

  void make(std::uint32_t tenants = 2, std::uint64_t hashMask = ~std::uint64_t{0}) {
    store = std::make_unique<Store>(limits, tenants, Seed{1, 2}, hashMask);
  }
  Store::Result arrive(const std::string& key, std::uint64_t body = 1, std::uint32_t tenant = 0,
                       std::uint32_t cls = 0) {
    Store::Arrival a;
    a.tenant = tenant;
    a.classIndex = cls;
    a.key = key;
    a.fingerprint = {body, body};
    a.waiter = ++waiters;
    return store->arrive(now, a);
  }
  static KeptAnswer ok(const std::string& body = "ok") { return {200, "text/plain", body}; }
};

TEST_F(StoreTest, ARepeatOfARunningOneJoinsAndOfAnAnsweredOneIsReplayed) {
  make();
  const auto first = arrive("k");
  ASSERT_EQ(first.admission, Admission::fresh);
  EXPECT_EQ(arrive("k").admission, Admission::join);
  EXPECT_EQ(arrive("k").admission, Admission::join);  // two at once
  EXPECT_TRUE(store->awaited(first.entry));
  EXPECT_EQ(store->end(now, first.entry, E::served, ok()), (std::vector<Store::Waiter>{2, 3}));
  const auto replay = arrive("k");
  ASSERT_EQ(replay.admission, Admission::replay);
  EXPECT_EQ(replay.answer->body, "ok");
  EXPECT_EQ(store->count(State::answered), 1u);
}

TEST_F(StoreTest, TheSameKeyOfAnotherClassOrTenantIsAnother) {
  make();
  EXPECT_EQ(arrive("k", 1, 0, 0).admission, Admission::fresh);
  EXPECT_EQ(arrive("k", 1, 1, 0).admission, Admission::fresh);
  EXPECT_EQ(arrive("k", 1, 0, 1).admission, Admission::fresh);
}

TEST_F(StoreTest, TheSameKeyWithAnotherRequestIsAMismatchInEveryState) {
  make();
  const auto first = arrive("k", 1);
  EXPECT_EQ(arrive("k", 2).admission, Admission::mismatch);
  store->end(now, first.entry, E::served, ok());
  EXPECT_EQ(arrive("k", 2).admission, Admission::mismatch);
  const auto other = arrive("u", 1);
  store->end(now, other.entry, E::mayHaveRun);
  EXPECT_EQ(arrive("u", 2).admission, Admission::mismatch);
  EXPECT_EQ(arrive("u", 1).admission, Admission::again);
}

// Hard case: the first was refused unsent; the repeat then runs as new.
TEST_F(StoreTest, OneThatNeverRanIsForgotten) {
  make();
  const auto first = arrive("k");
  arrive("k");
  EXPECT_EQ(store->end(now, first.entry, E::neverRan).size(), 1u);
  EXPECT_EQ(store->entries(), 0u);
  EXPECT_EQ(store->bytes(), 0u);
  EXPECT_EQ(arrive("k", 9).admission, Admission::fresh);
}

// Hard case: the first fails after an attempt may have run. The first such attempt is what counts.
TEST_F(StoreTest, OneThatMayHaveRunTellsWhereAndWhen) {
  make();
  const auto first = arrive("k");
  store->sent(first.entry, {"brasov", 1, now});
  store->settled(first.entry, false);  // turned away unseen: it does not count
  store->sent(first.entry, {"cluj", 2, now + milliseconds(10)});
  store->settled(first.entry, true);
  store->sent(first.entry, {"cluj", 3, now + milliseconds(20)});
  store->settled(first.entry, false);
  store->end(now + milliseconds(30), first.entry, E::mayHaveRun);
  const auto again = arrive("k");
  ASSERT_EQ(again.admission, Admission::again);
  EXPECT_EQ(again.earlier->zone, "cluj");
  EXPECT_EQ(again.earlier->cell, 2);
  EXPECT_EQ(again.earlier->sentAt, now + milliseconds(10));
  // That one never ran itself; what came before it still may have.
  store->end(now, again.entry, E::neverRan);
  const auto third = arrive("k");
  ASSERT_EQ(third.admission, Admission::again);
  EXPECT_EQ(third.earlier->sentAt, now + milliseconds(10));
}

// One who repeats an uncertain request over and over, and is failed unsent each time, does not make its
// window longer.
TEST_F(StoreTest, ARepeatThatIsNotSentDoesNotLengthenTheWindow) {
  limits.keep = seconds(10);
  make();
  const auto first = arrive("k");
  store->sent(first.entry, {"cluj", 2, now});
  store->settled(first.entry, true);
  store->end(now, first.entry, E::mayHaveRun);
  const Time due = now + limits.keep;
  for (now += seconds(1); now < due; now += seconds(1)) {
    const auto again = arrive("k");
    ASSERT_EQ(again.admission, Admission::again);
    EXPECT_EQ(again.earlier->zone, "cluj");
    store->end(now, again.entry, E::neverRan);
  }
  EXPECT_EQ(arrive("k").admission, Admission::fresh);
  // Sent once more, it begins anew.
  const auto other = arrive("o");
  store->sent(other.entry, {"cluj", 2, now});
  store->settled(other.entry, true);
  store->end(now, other.entry, E::mayHaveRun);
  now += seconds(9);
  const auto again = arrive("o");
  store->sent(again.entry, {"cluj", 2, now});
  store->end(now, again.entry, E::neverRan);
  now += seconds(9);
  EXPECT_EQ(arrive("o").admission, Admission::again);
}

// What others know binds one that has just begun here, and no longer than they say: with their answer, or
// unsent.
TEST_F(StoreTest, WhatOthersKnowCountsAsLongAsTheySay) {
  limits.keep = seconds(10);
  make();
  for (const E how : {E::served, E::neverRan}) {
    const std::string key = how == E::served ? "a" : "u";
    const auto r = arrive(key);
    store->bind(r.entry, {"cluj", 2, now}, now + seconds(4));
    store->end(now + seconds(1), r.entry, how, ok());
  }
  const Time began = now;
  now = began + milliseconds(3999);
  EXPECT_EQ(arrive("a").admission, Admission::replay);
  const auto again = arrive("u");
  ASSERT_EQ(again.admission, Admission::again);
  EXPECT_EQ(again.earlier->zone, "cluj");
  // And one that was uncertain here: what was known here stays known, its answer lasts no longer.
  store->bind(again.entry, {"brasov", 1, now}, began + seconds(6));
  store->end(now, again.entry, E::served, ok());
  now = began + milliseconds(5999);
  EXPECT_EQ(arrive("a").admission, Admission::fresh);
  EXPECT_EQ(arrive("u").admission, Admission::replay);
  now = began + seconds(6);
  EXPECT_EQ(arrive("u").admission, Admission::fresh);
}

// One that ends unsent behind the window it was bound by: its key is free.
TEST_F(StoreTest, ARepeatThatOutlastsTheWindowUnsentLeavesNothing) {
  limits.keep = seconds(10);
  make();
  store->end(now, arrive("k").entry, E::mayHaveRun);
  now += seconds(9);
  const auto again = arrive("k");
  now += seconds(2);
  store->end(now, again.entry, E::neverRan);
  EXPECT_EQ(store->entries(), 0u);
}

// Hard case: an answer that is larger than the store takes.
TEST_F(StoreTest, AnAnswerTooLargeLeavesItUncertain) {
  limits.answerMost = 10;
  make();
  const auto first = arrive("k");
  store->sent(first.entry, {"cluj", 0, now});
  store->settled(first.entry, true);
  store->end(now, first.entry, E::served, ok(std::string(11, 'x')));
  EXPECT_EQ(store->count(State::uncertain), 1u);
  EXPECT_EQ(arrive("k").admission, Admission::again);
}

// Hard case: a key used again a millisecond before and after its window.
TEST_F(StoreTest, TheWindowIsExact) {
  limits.keep = seconds(10);
  make();
  store->end(now, arrive("a").entry, E::served, ok());
  store->end(now, arrive("u").entry, E::mayHaveRun);
  now += milliseconds(9999);
  EXPECT_EQ(arrive("a").admission, Admission::replay);
  now += milliseconds(1);
  EXPECT_EQ(arrive("a").admission, Admission::fresh);
  EXPECT_EQ(arrive("u").admission, Admission::fresh);
}

TEST_F(StoreTest, WhatIsDueIsForgottenUnasked) {
  limits.keep = seconds(10);
  make();
  for (int i = 0; i < 1000; ++i, now += milliseconds(7))
    store->end(now, arrive(std::to_string(i)).entry, E::served, ok());
  now += seconds(11);
  store->expire(now);
  EXPECT_EQ(store->entries(), 0u);
  EXPECT_EQ(store->bytes(), 0u);
}

// Hard case: clock steps. Far ahead forgets all that is due; back keeps all.
TEST_F(StoreTest, ClockStepsNeitherLoseNorKeepWhatTheyShouldNot) {
  limits.keep = seconds(10);
  make();
  store->end(now, arrive("a").entry, E::served, ok());
  now += std::chrono::hours(1000);
  store->expire(now);
  EXPECT_EQ(store->entries(), 0u);
  store->end(now, arrive("b").entry, E::served, ok());
  now -= std::chrono::hours(2);
  EXPECT_EQ(arrive("b").admission, Admission::replay);
  now += std::chrono::hours(2) + seconds(10);
  EXPECT_EQ(arrive("b").admission, Admission::fresh);
}

// Hard case: full at month-end. Running and uncertain ones are never dropped; answered ones are, the oldest
// first.
TEST_F(StoreTest, AFullStoreDropsAnsweredOnesOnlyAndThenSaysSo) {
  limits.entries = 10;
  limits.tenantShare = 1;
  make(1);
  std::vector<Store::EntryId> running;
  for (int i = 0; i < 4; ++i) running.push_back(arrive("r" + std::to_string(i)).entry);
  for (int i = 0; i < 3; ++i) store->end(now, arrive("u" + std::to_string(i)).entry, E::mayHaveRun);
  for (int i = 0; i < 3; ++i) store->end(now, arrive("a" + std::to_string(i)).entry, E::served, ok());
  EXPECT_EQ(arrive("n0").admission, Admission::fresh);  // in place of a0
  EXPECT_EQ(store->evicted(), 1u);
  EXPECT_EQ(arrive("a1").admission, Admission::replay);
  EXPECT_EQ(arrive("n1").admission, Admission::fresh);
  EXPECT_EQ(arrive("n2").admission, Admission::fresh);
  EXPECT_EQ(arrive("n3").admission, Admission::full);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("r" + std::to_string(i)).admission, Admission::join);
  EXPECT_EQ(arrive("u0").admission, Admission::again);
  store->end(now, running[0], E::neverRan);
  EXPECT_EQ(arrive("n3").admission, Admission::fresh);
}

// Where the promise comes before new keys, nothing is dropped before its time.
TEST_F(StoreTest, AFullStoreThatMayNotDropKeepsWhatWasAnswered) {
  limits.entries = 4;
  limits.tenantShare = 1;
  limits.evict = false;
  make(1);
  for (int i = 0; i < 4; ++i) store->end(now, arrive("a" + std::to_string(i)).entry, E::served, ok());
  EXPECT_EQ(arrive("n").admission, Admission::full);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(arrive("a" + std::to_string(i)).admission, Admission::replay);
  EXPECT_EQ(store->evicted(), 0u);
  now += limits.keep + seconds(1);
  store->expire(now);
  EXPECT_EQ(arrive("n").admission, Admission::fresh);
}

TEST_F(StoreTest, OneTenantCannotPushTheOthersOut) {
  limits.entries = 1000;
  limits.tenantShare = 0.5;
  make(3);
  for (int i = 0; i < 200; ++i) store->end(now, arrive("p" + std::to_string(i), 1, 1).entry, E::served, ok());
  for (int i = 0; i < 100'000; ++i)
    store->end(now, arrive("f" + std::to_string(i), 1, 0).entry, E::served, ok());
  for (int i = 0; i < 300; ++i) store->end(now, arrive("q" + std::to_string(i), 1, 2).entry, E::served, ok());
  for (int i = 0; i < 200; ++i)
    EXPECT_EQ(arrive("p" + std::to_string(i), 1, 1).admission, Admission::replay) << i;
  EXPECT_LE(store->entries(), 1000u);
}

// Hard case: a client that sends a million keys.
TEST_F(StoreTest, AMillionKeysStayWithinTheBounds) {
  limits.entries = 5000;
  limits.bytes = 2 * 1024 * 1024;
  make();
  std::size_t most = 0;
  for (int i = 0; i < 1'000'000; ++i) {
    const auto r = arrive("key-" + std::to_string(i));
    if (r.admission == Admission::fresh) store->end(now, r.entry, E::served, ok());
    most = std::max(most, store->bytes());
    now += std::chrono::microseconds(10);
  }
  EXPECT_LE(most, limits.bytes);
  EXPECT_LE(store->entries(), 5000u);
}

TEST_F(StoreTest, WaitersAreBounded) {
  limits.joinedMost = 3;
  make();
  arrive("k");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(arrive("k").admission, Admission::join);
  EXPECT_EQ(arrive("k").admission, Admission::crowded);
}

TEST_F(StoreTest, OneThatLeavesIsNotAmongThoseThatAreAnswered) {
  make();
  const auto first = arrive("k");
  arrive("k"), arrive("k");
  store->leave(first.entry, 2);
  store->leave(first.entry, 99);  // unknown: nothing
  EXPECT_EQ(store->end(now, first.entry, E::served, ok()), (std::vector<Store::Waiter>{3}));
}

// Hard case: keys that collide in the hash. Two buckets and many keys: each chain holds most of them.
TEST_F(StoreTest, KeysThatShareABucketStayApart) {
  limits.entries = 16;
  limits.tenantShare = 1;
  make(1);
  std::vector<Store::EntryId> ids;
  for (int i = 0; i < 16; ++i) ids.push_back(arrive("k" + std::to_string(i)).entry);
  for (int i = 0; i < 16; i += 2) store->end(now, ids[i], E::neverRan);
  for (int i = 1; i < 16; i += 2) EXPECT_EQ(arrive("k" + std::to_string(i)).entry, ids[i]);
  for (int i = 0; i < 16; i += 2) EXPECT_EQ(arrive("k" + std::to_string(i)).admission, Admission::fresh);
}

// The same where the hash is the same to the last bit: what tells them apart is the key, its class and its
// tenant.
TEST_F(StoreTest, KeysWithTheSameHashStayApart) {
  make(2, 1);
  const auto first = arrive("a", 1, 0, 0);
  ASSERT_EQ(first.admission, Admission::fresh);
  for (int i = 0; i < 50; ++i) EXPECT_EQ(arrive("k" + std::to_string(i)).admission, Admission::fresh);
  EXPECT_EQ(arrive("a", 1, 1, 0).admission, Admission::fresh);
  EXPECT_EQ(arrive("a", 1, 0, 1).admission, Admission::fresh);
  EXPECT_EQ(arrive("a", 1, 0, 0).entry, first.entry);
  store->end(now, first.entry, E::served, ok("of a"));
  EXPECT_EQ(arrive("k7").admission, Admission::join);
  EXPECT_EQ(arrive("a").answer->body, "of a");
}

// Where the shares together are more than the whole, the tenant that holds most gives way, not one that holds
// little.
TEST_F(StoreTest, WhereTheWholeIsFullTheLargestTenantGivesWay) {
  limits.entries = 1000;
  limits.tenantShare = 0.8;
  make(3);
  for (int i = 0; i < 200; ++i) store->end(now, arrive("p" + std::to_string(i), 1, 1).entry, E::served, ok());
  for (int i = 0; i < 5000; ++i)
    store->end(now, arrive("f" + std::to_string(i), 1, 0).entry, E::served, ok());
  for (int i = 0; i < 300; ++i) store->end(now, arrive("q" + std::to_string(i), 1, 2).entry, E::served, ok());
  EXPECT_EQ(store->entries(), 1000u);
  for (int i = 0; i < 200; ++i)
    EXPECT_EQ(arrive("p" + std::to_string(i), 1, 1).admission, Admission::replay) << i;
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(arrive("q" + std::to_string(i), 1, 2).admission, Admission::replay) << i;
}

// The model: plain maps, no bounds but the window. Random operations; what the store says must be what it
// says.
struct Model {
  struct Item {
    State state = State::running;
    std::uint64_t body = 0;
    bool earlier = false, again = false, tried = false;
    Time due{};
    std::deque<std::uint64_t> waiters;
    std::string answer;
  };
  std::map<std::string, Item> items;
  void expire(Time now) {
    for (auto it = items.begin(); it != items.end();)
      if (it->second.state != State::running && now >= it->second.due) it = items.erase(it);
      else ++it;
  }
};

TEST_F(StoreTest, DoesWhatAPlainModelDoes) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 dice(seed);
    limits = {};
    limits.keep = milliseconds(500);
    limits.joinedMost = 4;
    make(1);
    Model model;
    std::map<std::string, Store::EntryId> running;
    std::map<std::string, bool> attempt;  // one is out
    for (int step = 0; step < 20'000; ++step) {
      now += std::chrono::microseconds(dice() % 3000);
      model.expire(now);
      const std::string key = "k" + std::to_string(dice() % 40);
      const std::uint64_t body = dice() % 20 == 0 ? 2 : 1;
      const auto it = model.items.find(key);
      switch (dice() % 4) {
        case 0:
        case 1: {
          const auto r = arrive(key, body);
          if (it == model.items.end()) {
            ASSERT_EQ(r.admission, Admission::fresh);
            model.items[key].body = body;
            running[key] = r.entry;
          } else if (it->second.body != body) {
            ASSERT_EQ(r.admission, Admission::mismatch);
          } else if (it->second.state == State::running) {
            const bool crowded = it->second.waiters.size() == 4;
            ASSERT_EQ(r.admission, crowded ? Admission::crowded : Admission::join);
            if (!crowded) it->second.waiters.push_back(waiters);
          } else if (it->second.state == State::answered) {
            ASSERT_EQ(r.admission, Admission::replay);
            ASSERT_EQ(r.answer->body, it->second.answer);
          } else {
            ASSERT_EQ(r.admission, Admission::again);
            it->second.state = State::running;
            it->second.again = true;
            it->second.tried = false;
            running[key] = r.entry;
          }
          break;
        }
        case 2:  // an attempt goes out, or ends
          if (!running.count(key)) break;
          if (!attempt[key]) {
            store->sent(running[key], {"z", 0, now});
            attempt[key] = it->second.tried = true;
          } else {
            const bool may = dice() % 2;
            store->settled(running[key], may);
            it->second.earlier |= may;
            attempt[key] = false;
          }
          break;
        default: {
          if (!running.count(key)) break;
          if (dice() % 5 == 0 && !it->second.waiters.empty()) {
            store->leave(running[key], it->second.waiters.front());
            it->second.waiters.pop_front();
            break;
          }
          const E how = attempt[key]                       ? (dice() % 2 ? E::served : E::mayHaveRun)
                        : it->second.earlier && dice() % 2 ? E::mayHaveRun
                                                           : E::neverRan;
          const std::string answer = "a" + std::to_string(step);
          const auto waiting = store->end(now, running[key], how, {200, "", answer});
          ASSERT_TRUE(std::equal(waiting.begin(), waiting.end(), it->second.waiters.begin(),
                                 it->second.waiters.end()));
          running.erase(key);
          attempt[key] = false;
          const bool asBefore = how == E::neverRan && it->second.again && !it->second.tried;
          if ((how == E::neverRan && !it->second.earlier) || (asBefore && it->second.due <= now)) {
            model.items.erase(it);
            break;
          }
          it->second.earlier = true;
          it->second.waiters.clear();
          it->second.state = how == E::served ? State::answered : State::uncertain;
          it->second.answer = answer;
          if (!asBefore) it->second.due = now + limits.keep;
        }
      }
      if (step % 64 == 0) {
        store->expire(now);
        std::size_t n[4] = {};
        for (const auto& [k, item] : model.items) ++n[static_cast<std::size_t>(item.state)];
        ASSERT_EQ(store->count(State::running), n[1]);
        ASSERT_GE(store->entries(), model.items.size());  // the wheel may come to what is due a tick later
      }
    }
    now += seconds(2);
    store->expire(now);
    ASSERT_EQ(store->entries(), running.size());
  }
}

TEST(Fingerprints, GoByPartsAndSeed) {
  const auto of = [](Seed seed, std::vector<std::string> parts) {
    Hasher h(seed);
    for (const auto& p : parts) h.add(p);
    return h.end();
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
