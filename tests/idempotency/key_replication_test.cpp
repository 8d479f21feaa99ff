// Two processes that exchange their keys while one replaces the other, with records that arrive at any time.
#include "idempotency/key_replication.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = Store::RunOutcome;
using Role = KeyReplication::Role;

TimeBase timeBase(std::int64_t steadyEpochNs) { return {"boot", steadyEpochNs, 0}; }

// A process with a store: begins, sends and ends runs as a filter does.
struct ReplicatedProcess : KeyReplicationCallbacks {
  struct Run {
    std::string key;
    Store::EntryId entry = Store::kNone;
    Store::Waiter request = 0;
    bool decided = false;
    bool bound = false;  // to an earlier attempt
    bool sent = false;
  };

  explicit ReplicatedProcess(Duration clockOffset) : offset(clockOffset) {}

  Time now() const { return time + offset; }
  void replicate(Role role) {
    replication = std::make_unique<KeyReplication>(role, store, names, timeBase(-offset.count()),
                                                   limits.retention, *this);
  }
  Store::AdmissionResult arrive(const std::string& key, std::uint64_t body = 1) {
    Store::KeyedRequest request;
    request.key = key;
    request.fingerprint = {body, body};
    request.waiter = ++lastRequest;
    const Store::AdmissionResult result = store.admit(now(), request);
    if (result.admission == Admission::firstRun || result.admission == Admission::retryUncertain)
      begin(key, request.waiter, result);
    if (result.admission == Admission::joinRunning) keys[request.waiter] = key;
    if (result.admission == Admission::replayResponse) answers[request.waiter] = result.response->body;
    return result;
  }
  void begin(const std::string& key, Store::Waiter request, const Store::AdmissionResult& result) {
    const std::uint64_t number = store.view(result.entry)->run;
    const bool decided = !replication || !replication->decidesRuns();
    runs[number] = {key,  result.entry, request, decided, result.admission == Admission::retryUncertain,
                    false};
  }
  void send(std::uint64_t number) {
    Run& run = runs.at(number);
    store.onAttemptSent(run.entry, {"zone", 3, now()});
    run.sent = true;
  }
  void finish(std::uint64_t number, Outcome outcome, const std::string& body = "") {
    const Run run = runs.at(number);
    runs.erase(number);
    if (outcome == Outcome::notExecuted) store.onAttemptSettled(run.entry, false);
    if (outcome == Outcome::responded) answers[run.request] = body;
    finishEntry(run.entry, outcome, {200, "", body});
  }
  void finishEntry(Store::EntryId entry, Outcome outcome, CachedResponse&& response) {
    if (outcome == Outcome::responded || !store.hasWaiters(entry)) {
      const std::string body = response.body;
      for (const Store::Waiter waiter : store.finishRun(now(), entry, outcome, std::move(response)))
        answers[waiter] = body;
      return;
    }
    const Store::NextRun next = store.finishRunAndBeginNext(now(), entry, outcome);
    begin(keys.at(next.waiter), next.waiter, next.admission);
  }

  void onKeysLoaded() override { loaded = true; }
  void onDecision(const KeyOwnership::Decision& decision) override {
    using Kind = KeyOwnership::Decision::Kind;
    const auto it = runs.find(decision.run);
    if (it == runs.end()) return;
    it->second.decided = true;
    lastDecision = decision.kind;
    if (decision.kind == Kind::uncertain || decision.kind == Kind::response) {
      it->second.bound = true;
      store.bindToEarlierAttempt(it->second.entry, decision.earlierAttempt, decision.validUntil);
    }
    if (decision.kind == Kind::response) finish(decision.run, Outcome::responded, decision.response.body);
    if (decision.kind == Kind::fingerprintMismatch) finish(decision.run, Outcome::notExecuted);
  }
  void onRunYielded(std::uint64_t number, Store::EntryId entry) override {
    const Run run = runs.at(number);
    runs.erase(number);
    keys[run.request] = run.key;
    store.waitForRun(entry, run.request);
  }
  void onPeerRunFinished(Store::EntryId entry, Outcome outcome, CachedResponse&& response) override {
    finishEntry(entry, outcome, std::move(response));
  }

  const Duration offset;
  Time time = std::chrono::hours(1);  // the same in all processes; each clock has its own zero
  StoreLimits limits;
  Store store{limits, 1, Seed{1, 2}};
  TenantAndClassNames names{{}, {"put"}};
  std::unique_ptr<KeyReplication> replication;
  std::map<std::uint64_t, Run> runs;
  std::map<Store::Waiter, std::string> keys;  // of requests that wait
  std::map<Store::Waiter, std::string> answers;
  Store::Waiter lastRequest = 0;
  bool loaded = false;
  std::optional<KeyOwnership::Decision::Kind> lastDecision;
};

struct KeyReplicationTest : ::testing::Test {
  ReplicatedProcess predecessor{Duration{}}, successor{-std::chrono::minutes(30)};

  void startSuccessor() {
    predecessor.replicate(Role::predecessor);
    successor.replicate(Role::successor);
  }
  static bool deliverOne(ReplicatedProcess& from, ReplicatedProcess& to) {
    const auto record = from.replication->takeRecord();
    if (!record) return false;
    EXPECT_TRUE(to.replication->onRecord(to.now(), *record));
    return true;
  }
  void deliverAll() {
    while (deliverOne(predecessor, successor) || deliverOne(successor, predecessor)) {
    }
  }
  void start() {
    startSuccessor();
    deliverAll();
    ASSERT_TRUE(successor.loaded);
  }
  static std::uint64_t run(ReplicatedProcess& process, const std::string& key) {
    const auto result = process.arrive(key);
    EXPECT_TRUE(result.admission == Admission::firstRun || result.admission == Admission::retryUncertain);
    return process.store.view(result.entry)->run;
  }
};

// Guards against a key that the process before has answered and the next one runs again.
TEST_F(KeyReplicationTest, SuccessorKnowsKeysOfThePredecessor) {
  predecessor.finish(run(predecessor, "answered"), Outcome::responded, "done");
  predecessor.send(run(predecessor, "uncertain"));
  predecessor.finish(predecessor.runs.begin()->first, Outcome::mayHaveExecuted);
  const std::uint64_t running = run(predecessor, "running");
  predecessor.send(running);
  start();
  EXPECT_EQ(successor.arrive("answered").admission, Admission::replayResponse);
  EXPECT_EQ(successor.arrive("answered", 2).admission, Admission::fingerprintMismatch);
  const auto uncertain = successor.arrive("uncertain");
  ASSERT_EQ(uncertain.admission, Admission::retryUncertain);
  EXPECT_EQ(uncertain.earlierAttempt->zone, "zone");
  EXPECT_EQ(uncertain.earlierAttempt->sentAt, successor.now());
  EXPECT_EQ(successor.arrive("running").admission, Admission::joinRunning);
  const Store::Waiter waiting = successor.lastRequest;
  predecessor.finish(running, Outcome::responded, "late");
  deliverAll();
  EXPECT_EQ(successor.answers[waiting], "late");
  EXPECT_EQ(successor.arrive("running").admission, Admission::replayResponse);
}

TEST_F(KeyReplicationTest, PredecessorKnowsRunsOfTheSuccessor) {
  start();
  const std::uint64_t number = run(successor, "k");
  EXPECT_FALSE(successor.runs.at(number).decided);
  deliverAll();
  EXPECT_TRUE(successor.runs.at(number).decided);
  successor.send(number);
  EXPECT_EQ(predecessor.arrive("k").admission, Admission::joinRunning);
  const Store::Waiter waiting = predecessor.lastRequest;
  successor.finish(number, Outcome::responded, "done");
  deliverAll();
  EXPECT_EQ(predecessor.answers[waiting], "done");
  EXPECT_EQ(predecessor.arrive("k").admission, Admission::replayResponse);
}

TEST_F(KeyReplicationTest, SuccessorYieldsToRunOfThePredecessorThatBeganAtTheSameTime) {
  start();
  const std::uint64_t first = run(predecessor, "k");
  const std::uint64_t second = run(successor, "k");
  const Store::Waiter waiting = successor.lastRequest;
  predecessor.send(first);
  deliverAll();
  EXPECT_EQ(successor.runs.count(second), 0u);
  predecessor.finish(first, Outcome::responded, "once");
  deliverAll();
  EXPECT_EQ(successor.answers[waiting], "once");
}

TEST_F(KeyReplicationTest, SuccessorsWaiterRunsAfterRunThatWasNotExecuted) {
  start();
  const std::uint64_t first = run(predecessor, "k");
  run(successor, "k");
  deliverAll();
  predecessor.finish(first, Outcome::notExecuted);
  deliverAll();
  ASSERT_EQ(successor.runs.size(), 1u);
  EXPECT_TRUE(successor.runs.begin()->second.decided);
  EXPECT_FALSE(successor.runs.begin()->second.bound);
}

TEST_F(KeyReplicationTest, RefusesKeyOfAnotherRequestInEitherOrder) {
  start();
  const std::uint64_t first = run(predecessor, "k");
  successor.arrive("k", 2);
  deliverAll();
  EXPECT_EQ(successor.lastDecision, KeyOwnership::Decision::Kind::fingerprintMismatch);
  EXPECT_TRUE(successor.runs.empty());
  EXPECT_EQ(predecessor.runs.count(first), 1u);
}

// The keys that the successor has forgotten, or had no room for, are still known to the predecessor.
TEST_F(KeyReplicationTest, PredecessorAnswersFromItsOwnKeys) {
  start();
  predecessor.finish(run(predecessor, "answered"), Outcome::responded, "done");
  const std::uint64_t uncertain = run(predecessor, "uncertain");
  predecessor.send(uncertain);
  predecessor.finish(uncertain, Outcome::mayHaveExecuted);
  deliverAll();
  Store::KeyedRequest request;
  for (const char* key : {"answered", "uncertain"}) {
    request.key = key;
    successor.store.erase(request);
  }
  successor.arrive("answered");
  successor.arrive("uncertain");
  deliverAll();
  EXPECT_EQ(successor.answers.begin()->second, "done");
  ASSERT_EQ(successor.runs.size(), 1u);
  EXPECT_TRUE(successor.runs.begin()->second.bound);
  EXPECT_EQ(predecessor.arrive("answered").admission, Admission::replayResponse);
  EXPECT_EQ(predecessor.arrive("uncertain").admission, Admission::joinRunning);
}

// When the other process is gone, its sent runs count as possibly executed and the others as not executed.
TEST_F(KeyReplicationTest, SettlesRunsOfProcessThatIsGone) {
  start();
  predecessor.send(run(predecessor, "sent"));
  run(predecessor, "unsent");
  deliverAll();
  const std::uint64_t undecided = run(successor, "own");
  EXPECT_EQ(successor.arrive("sent").admission, Admission::joinRunning);
  EXPECT_EQ(successor.arrive("unsent").admission, Admission::joinRunning);
  successor.replication->end();
  ASSERT_EQ(successor.runs.size(), 3u);
  for (const auto& [number, begun] : successor.runs) {
    EXPECT_TRUE(begun.decided) << begun.key;
    EXPECT_EQ(begun.bound, begun.key == "sent") << begun.key;
  }
  EXPECT_EQ(successor.runs.count(undecided), 1u);
}

TEST_F(KeyReplicationTest, IgnoresMalformedRecords) {
  start();
  EXPECT_FALSE(successor.replication->onRecord(successor.now(), ""));
  EXPECT_FALSE(successor.replication->onRecord(successor.now(), "noise"));
  const std::string valid =
      encodeReplicationRecord(RunAnswered{1, {200, "t", "b"}, {"z", 1, Time{5}}, Time{6}});
  ASSERT_TRUE(decodeReplicationRecord(valid));
  for (std::size_t i = 0; i < valid.size(); ++i)
    EXPECT_FALSE(decodeReplicationRecord(valid.substr(0, i))) << i;
}

// In any order of arrivals, sends, ends and deliveries a key has one run at a time in both processes
// together, and no run begins as a first one after an attempt that may have been executed.
TEST_F(KeyReplicationTest, RunsEachKeyOnceInAnyOrderOfEvents) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 rng(seed);
    ReplicatedProcess first{Duration{}}, second{std::chrono::minutes(5)};
    std::map<std::string, int> executing;
    std::set<std::string> executed;
    const auto step = [&](ReplicatedProcess& process) {
      const unsigned action = rng() % 8;
      if (action < 3 || process.runs.empty()) return void(process.arrive("k" + std::to_string(rng() % 4)));
      auto it = process.runs.begin();
      std::advance(it, rng() % process.runs.size());
      const std::uint64_t number = it->first;
      ReplicatedProcess::Run& run = it->second;
      if (!run.sent) {
        if (rng() % 8 == 0) return process.finish(number, Outcome::notExecuted);
        if (!run.decided) return;
        ASSERT_EQ(executing[run.key], 0) << "seed " << seed;
        ASSERT_TRUE(run.bound || executed.count(run.key) == 0) << "seed " << seed;
        ++executing[run.key];
        process.send(number);
        return;
      }
      const std::string key = run.key;
      const unsigned end = rng() % 4;
      --executing[key];
      if (end == 0 && !run.bound) return process.finish(number, Outcome::notExecuted);
      executed.insert(key);
      if (end == 1) process.finish(number, Outcome::mayHaveExecuted);
      else process.finish(number, Outcome::responded, key);
    };
    for (unsigned i = rng() % 20; i > 0; --i) step(first);
    first.replicate(Role::predecessor);
    second.replicate(Role::successor);
    for (int i = 0; i < 300 && !HasFatalFailure(); ++i) {
      first.time = second.time += milliseconds(rng() % 3);
      const unsigned action = rng() % 4;
      if (action == 0) deliverOne(first, second);
      else if (action == 1) deliverOne(second, first);
      else if (action == 2 || !second.loaded) step(first);
      else step(second);
    }
    ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
    // The predecessor has drained: its runs have ended, and the successor has all its records.
    while (!first.runs.empty()) {
      const auto it = first.runs.begin();
      if (it->second.sent) --executing[it->second.key], executed.insert(it->second.key);
      first.finish(it->first, it->second.sent ? Outcome::responded : Outcome::notExecuted, it->second.key);
    }
    while (deliverOne(first, second)) {
    }
    second.replication->end();
    for (int i = 0; i < 200 && !HasFatalFailure(); ++i) step(second);
    ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace finchstile::idempotency
