// Keyed requests in the gateway, over loopback: joined, replayed, and bound by what may have run.
#include "idempotency/filter.hpp"

#include <random>

#include "support/faulty_folder.hpp"
#include "support/later_runner.hpp"
#include "support/sockets.hpp"

namespace finchstile::idempotency {
namespace {

using namespace finchstile::testing;
using std::chrono::milliseconds;

struct IdempotencyTest : ::testing::Test {
  asio::io_context io;
  Clock clock;
  Server discovery{io, [](const auto&, const Received&) {}};
  std::vector<std::unique_ptr<Server>> hosts;
  std::vector<std::shared_ptr<Peer>> held;  // with a host, to be answered by the test
  Server::Handler hold = [this](const std::shared_ptr<Peer>& peer, const Received&) { held.push_back(peer); };
  std::function<void(json&)> change;  // of the configuration
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<IdempotencyFilter> stage;
  IdempotencySettings settings;

  void start(
      std::size_t count = 1, const std::function<void(json&)>& changed = [](json&) {}) {
    change = changed;
    json list = json::array();
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<Server>(io, hold));
      list.push_back(hostJson("s-" + std::to_string(i), hosts.back()->endpoint()));
    }
    json config = configJson(discovery.endpoint(), list);
    change(config);
    gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    stage = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, 2}, gateway->filterCallbacks());
    if (onLog) recover();
    gateway->attach(*stage);
    gateway->start();
  }
  ~IdempotencyTest() override { gateway.reset(); }

  // With a log, whose syncs the test carries out.
  bool onLog = false;
  FaultyFolder folder{1};
  LaterRunner runner;
  Names names{{}, {"read", "book", "put"}};
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;
  void recover() {
    JournalSettings s;
    s.sync = settings.log.sync;
    s.keep = settings.limits.keep;
    s.longest = std::chrono::seconds(4);
    log = std::make_unique<wal::Log>(folder, wal::Options{});
    journal = std::make_unique<Journal>(*log, s, names, timeBase(clock, "boot"), runner);
    recovery = stage->recover(*journal);
  }
  // The process is killed, and another one started: clients and requests of the first are gone.
  void restart() {
    gateway.reset();
    stage.reset(), journal.reset(), log.reset();
    runner.job.reset();
    hosts.clear(), held.clear();
    folder.kill();
    start(1, std::exchange(change, nullptr));
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  std::shared_ptr<Client> put(const std::string& key, int left = 2500, const std::string& body = "b") {
    const auto c = Client::connect(io, gateway->endpoint());
    c->ask("POST", "/put/1", left, body, "Idempotency-Key: " + key + "\r\n");
    return c;
  }
  static unsigned status(const std::shared_ptr<Client>& c) {
    return c->answers.empty() ? 0 : c->answers.back().result_int();
  }
  bool answered(const std::shared_ptr<Client>& c) {
    return until([&] { return !c->answers.empty(); });
  }
  std::size_t received() const {
    std::size_t n = 0;
    for (const auto& h : hosts) n += h->received.size();
    return n;
  }
  void pause(milliseconds t) {
    const auto end = std::chrono::steady_clock::now() + t;
    until([&] { return std::chrono::steady_clock::now() >= end; });
  }
};

// Hard case: the repeat arrives before the first answer.
TEST_F(IdempotencyTest, ARepeatWaitsForTheFirstAndIsAnsweredFromIt) {
  start(2);
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k"), third = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 2; }));
  held[0]->reply(200, "done", "Content-Type: text/x\r\n");
  for (const auto& c : {first, second, third}) {
    ASSERT_TRUE(answered(c));
    EXPECT_EQ(status(c), 200u);
    EXPECT_EQ(c->answers[0].body(), "done");
    EXPECT_EQ(c->answers[0]["Content-Type"], "text/x");
  }
  const auto later = put("k");  // and one that comes after
  ASSERT_TRUE(answered(later));
  EXPECT_EQ(later->answers[0].body(), "done");
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(IdempotencyTest, AKeyWithAnotherBodyNeverRuns) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto other = put("k", 2500, "other");
  ASSERT_TRUE(answered(other));
  EXPECT_EQ(status(other), 422u);
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(received(), 1u);
}

// Hard case: the first client leaves. What others wait for goes on.
TEST_F(IdempotencyTest, TheFirstClientLeavingDoesNotEndWhatOthersWaitFor) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return stage->counts().keptWithoutClient == 1; }));
  EXPECT_FALSE(held[0]->ended);
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(second->answers[0].body(), "done");
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// But nothing more is begun for it: where its attempt never ran, one that waits runs in its place.
TEST_F(IdempotencyTest, NothingMoreIsBegunForAFirstClientThatLeft) {
  static OutcomeLog outcomes;  // it outlives the gateway
  outcomes.all.clear();
  start(2);
  gateway->setAttemptLog(outcomes);
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return stage->counts().keptWithoutClient == 1; }));
  held[0]->reply(503, "", "X-Unprocessed: 1\r\n");
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  std::vector<std::string> ids;
  for (const auto& h : hosts)
    for (const Received& r : h->received) ids.emplace_back(r["X-Correlation-Id"]);
  EXPECT_EQ(std::count(ids.begin(), ids.end(), first->id), 1);
  EXPECT_EQ(std::count(ids.begin(), ids.end(), second->id), 1);
  held[1]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(second->answers[0].result_int(), 200u);
  EXPECT_EQ(received(), 2u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  // Nor is what was not begun held against a host, or tried at one after the other.
  EXPECT_EQ(outcomes.count(load_balancing::Outcome::connectFailed), 0);
  EXPECT_EQ(outcomes.count(load_balancing::Outcome::notSent), 1);
}

TEST_F(IdempotencyTest, TheLastOneLeavingEndsTheWork) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return stage->counts().keptWithoutClient == 1; }));
  const auto left = std::chrono::steady_clock::now();
  second->close();
  ASSERT_TRUE(
      until([&] { return held[0]->ended; }));  // the attempt is called off, and not at the end of its time
  EXPECT_LT(std::chrono::steady_clock::now() - left, milliseconds(1500));
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  EXPECT_EQ(stage->store().count(State::uncertain), 1u);  // it may have run
}

// Hard case: the waiter's deadline comes before the first's.
TEST_F(IdempotencyTest, AWaiterIsAnsweredInItsOwnTime) {
  start();
  const auto first = put("k", 2800);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto begin = std::chrono::steady_clock::now();
  const auto second = put("k", 300);
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(status(second), 502u);  // failed, not refused: the first may run
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(status(first), 200u);
  EXPECT_EQ(second->answers.size(), 1u);
}

// Hard case: the first fails after an attempt may have run, and the repeat comes within the hosts' window: it
// goes to the zone that drops duplicates, and nowhere else.
TEST_F(IdempotencyTest, ARepeatOfAnUncertainOneGoesOnlyWhereRepeatsAreDropped) {
  start(2, [](json& c) { c["known"]["endpoints"][1]["zone"] = "west"; });
  const auto first = put("k", 400);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const std::size_t where = hosts[0]->received.size() == 1 ? 0 : 1;
  first->close();
  ASSERT_TRUE(until([&] { return stage->store().count(State::uncertain) == 1; }));
  held.clear();
  for (int i = 0; i < 4; ++i) {
    const auto again = put("k", 1500);
    ASSERT_TRUE(until([&] { return held.size() == 1 || !again->answers.empty(); }));
    if (!held.empty()) held[0]->close();  // it may have run once more
    held.clear();
    ASSERT_TRUE(answered(again));
    EXPECT_EQ(status(again), 502u);
  }
  EXPECT_GE(hosts[where]->received.size(), 1u);
  EXPECT_EQ(hosts[1 - where]->received.size(), 0u);
}

// Behind the hosts' window they would no longer drop it: it fails, and nothing is sent.
TEST_F(IdempotencyTest, ARepeatOfAnUncertainOneBehindTheWindowFails) {
  start(1, [](json& c) { c["settings"]["grades"][2]["windowNs"] = 200'000'000; });
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return stage->store().count(State::uncertain) == 1; }));
  pause(milliseconds(250));
  const auto again = put("k");
  ASSERT_TRUE(answered(again));
  EXPECT_EQ(status(again), 502u);
  EXPECT_EQ(received(), 1u);
}

// Hard case: the first was turned away unseen. One that waited runs in its place, and the rest wait for that
// one.
TEST_F(IdempotencyTest, WhenTheFirstNeverRanAWaiterRunsInItsPlace) {
  start();
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k", 2500), third = put("k", 2500);
  ASSERT_TRUE(until([&] { return stage->counts().joined == 2; }));
  const std::string id = first->id;
  hosts[0]->handler = [id](const std::shared_ptr<Peer>& peer, const Received& q) {
    if (q["X-Correlation-Id"] == id) peer->reply(503, "", "X-Unprocessed: 1\r\n");
    else peer->reply(200, "done");
  };
  held[0]->reply(503, "", "X-Unprocessed: 1\r\n");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(status(first), 503u);
  // The module may refuse the next as well: its only host has just said that it is full. Then nothing ran.
  for (const auto& c : {second, third}) {
    ASSERT_TRUE(answered(c));
    EXPECT_TRUE(status(c) == 200 || status(c) == 503) << status(c);
    EXPECT_EQ(c->answers.size(), 1u);
  }
  EXPECT_GE(stage->counts().promoted, 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// Hard case: a host dies between the first's send and its answer, with others waiting.
TEST_F(IdempotencyTest, AHostThatDiesLeavesOneAttemptAtATime) {
  start(2);
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k", 2500);
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  held[0]->close();  // may have run; resent within its zone and window by the module, to the other host
  ASSERT_TRUE(until([&] { return held.size() == 2 || !first->answers.empty(); }));
  if (held.size() == 2) held[1]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  ASSERT_TRUE(answered(second));
  EXPECT_LE(received(), 2u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(IdempotencyTest, AnAnswerTooLargeToKeepIsNotMadeUp) {
  settings.limits.answerMost = 3;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "larger");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(first->answers[0].body(), "larger");
  const auto again = put("k");  // within the window: the zone drops it and answers
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  held[1]->reply(200, "larger");
  ASSERT_TRUE(answered(again));
  EXPECT_EQ(again->answers[0].body(), "larger");
}

// Hard case: a full store; both settings.
TEST_F(IdempotencyTest, AFullStorePassesOrRefusesAsSet) {
  settings.limits.entries = 16;
  settings.limits.tenantShare = 1;
  settings.refuseWhenFull = true;
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 16; ++i) clients.push_back(put("k" + std::to_string(i)));
  ASSERT_TRUE(until([&] { return stage->store().entries() == 16; }));
  const auto more = put("more");
  ASSERT_TRUE(answered(more));
  EXPECT_EQ(status(more), 503u);
  EXPECT_EQ(stage->counts().full, 1u);
}

// Hard case: a drain with waiters. All are answered before the gateway's end.
TEST_F(IdempotencyTest, ADrainAnswersThoseThatWait) {
  start();
  const auto first = put("k", 2000);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put("k", 2000);
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  held[0]->reply(200, "done");
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_EQ(status(first), 200u);
  EXPECT_EQ(status(second), 200u);
}

// Unsafe and safe classes are not looked at, and neither is anything while the stage is not attached.
TEST_F(IdempotencyTest, OtherClassesGoTheirWay) {
  start();
  const auto c = Client::connect(io, gateway->endpoint());
  c->ask("GET", "/read/1", 2500);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "ok");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(stage->store().entries(), 0u);
}

// Hard case: two repeats at once in one read, the first with them.
TEST_F(IdempotencyTest, RepeatsThatComeInOneReadRunOnce) {
  start(2);
  const auto c = Client::connect(io, gateway->endpoint());
  std::string three;
  for (int i = 0; i < 3; ++i)
    three += "POST /put/1 HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: p-" + std::to_string(i) +
             "\r\nX-Time-Left-Ms: 2500\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nb";
  const auto other = put("k");
  c->write(three);
  ASSERT_TRUE(until([&] { return held.size() == 1 && stage->counts().joined >= 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(until([&] { return c->answers.size() == 3; }));
  ASSERT_TRUE(answered(other));
  for (const auto& a : c->answers) EXPECT_EQ(a.body(), "done");
  EXPECT_EQ(received(), 1u);
}

TEST_F(IdempotencyTest, WhatWasAnsweredBeforeARestartIsAnsweredFromTheLog) {
  onLog = true;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done", "Content-Type: text/x\r\n");
  ASSERT_TRUE(answered(first));
  const auto running = put("r");
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  restart();
  const auto again = put("k"), other = put("k", 2500, "another body");
  ASSERT_TRUE(answered(again));
  ASSERT_TRUE(answered(other));
  EXPECT_EQ(again->answers[0].body(), "done");
  EXPECT_EQ(again->answers[0]["Content-Type"], "text/x");
  EXPECT_EQ(status(other), 422u);
  EXPECT_EQ(received(), 0u);
  // What ran when the process ended goes to the zone that drops repeats, within its window.
  const auto repeat = put("r");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "once");
  ASSERT_TRUE(answered(repeat));
  EXPECT_EQ(stage->counts().again, 1u);
}

TEST_F(IdempotencyTest, BehindTheHostsWindowWhatRanWhenTheProcessEndedFails) {
  onLog = true;
  start(1, [](json& c) { c["settings"]["grades"][2]["windowNs"] = 100'000'000; });
  const auto running = put("r");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  restart();
  pause(milliseconds(150));
  const auto repeat = put("r");
  ASSERT_TRUE(until([&] { return !repeat->answers.empty() || !held.empty(); }));
  ASSERT_FALSE(repeat->answers.empty());
  EXPECT_EQ(status(repeat), 502u);
}

// Nothing goes out before its record is safe, where that is set.
TEST_F(IdempotencyTest, ARequestWaitsForItsRecordToBeSynced) {
  onLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto first = put("a"), second = put("b");
  ASSERT_TRUE(until([&] { return stage->counts().fresh == 2; }));
  const auto repeat = put("b");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 1; }));
  pause(milliseconds(50));
  EXPECT_EQ(received(), 0u);
  ASSERT_TRUE(runner.carryOut());  // one of them at least, the rest by the next
  if (runner.job) runner.carryOut();
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  for (const auto& h : std::vector(held)) h->reply(200, "done");
  for (const auto& c : {first, second, repeat}) {
    ASSERT_TRUE(answered(c));
    EXPECT_EQ(status(c), 200u);
  }
  EXPECT_EQ(received(), 2u);
}

// A disk that does not answer: those that wait are refused in their time, since nothing ran, and what waits
// for one of them as it is told to.
TEST_F(IdempotencyTest, ARecordThatIsNotSyncedInTimeRefusesItsRequest) {
  onLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put("a", 300);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(status(c), 503u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  EXPECT_EQ(stage->store().entries(), 0u);
  runner.carryOut();  // too late: nothing goes out for it
  pause(milliseconds(50));
  EXPECT_EQ(received(), 0u);
  EXPECT_EQ(c->answers.size(), 1u);
  // The key is free.
  const auto again = put("a");
  ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
  while (runner.carryOut()) {
  }
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(again));
}

// Its client leaves while the record is written: what waited runs in its place, after its own record.
TEST_F(IdempotencyTest, OneThatLeavesWhileItsRecordIsWrittenMakesWay) {
  onLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().fresh == 1; }));
  const auto second = put("k"), third = put("k");
  ASSERT_TRUE(until([&] { return stage->counts().joined == 2; }));
  first->close();
  ASSERT_TRUE(until([&] { return stage->counts().promoted == 1; }));
  EXPECT_EQ(received(), 0u);
  while (runner.carryOut()) {
  }
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  ASSERT_TRUE(answered(third));
  EXPECT_EQ(received(), 1u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

// A disk that fails. Refused or passed on, as set; those that wait for the sync as well.
TEST_F(IdempotencyTest, ALogThatFailsPassesOrRefusesAsSet) {
  for (const bool refuse : {false, true}) {
    onLog = true;
    settings.log.sync = SyncPolicy::beforeSend;
    settings.log.refuseUnrecorded = refuse;
    start();
    const std::string key = refuse ? "r" : "p";
    const auto waits = put(key + "1");
    ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
    folder.stopAt = folder.operations + 1;
    ASSERT_TRUE(runner.carryOut());
    ASSERT_TRUE(until([&] { return held.size() == 1 || !waits->answers.empty(); }));
    const auto later = put(key + "2");
    ASSERT_TRUE(until([&] { return held.size() == 2 || !later->answers.empty(); }));
    EXPECT_EQ(received(), refuse ? 0u : 2u);
    for (const auto& h : std::vector(held)) h->reply(200, "done");
    for (const auto& c : {waits, later}) {
      ASSERT_TRUE(answered(c));
      EXPECT_EQ(status(c), refuse ? 503u : 200u);
    }
    EXPECT_EQ(stage->counts().unrecorded, 2u);
    EXPECT_NE(stage->summary().find("log_broken=1"), std::string::npos) << stage->summary();
    gateway.reset(), stage.reset(), journal.reset(), log.reset();
    hosts.clear(), held.clear();
    folder = FaultyFolder(1);
  }
}

// A disk that fails right behind a request's record, with no sync under way: it is not left to wait for one.
TEST_F(IdempotencyTest, ALogThatBreaksBehindARecordLeavesNobodyWaiting) {
  onLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  settings.log.refuseUnrecorded = true;
  start();
  for (int i = 0; i < 6; ++i) {
    const auto c = put("k" + std::to_string(i));
    ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
    while (runner.carryOut()) {
    }
    ASSERT_TRUE(until([&] { return held.size() == static_cast<std::size_t>(i) + 1; }));
    held.back()->reply(200, std::string(10'000, 'd'));
    ASSERT_TRUE(answered(c));
  }
  folder.damage(folder.contents().begin()->first, 5000);
  restart();
  ASSERT_NE(recovery.uncertainUntil, Time{});
  folder.stopAt = folder.operations + 2;  // the record that it began is written, the next one is not
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put("new");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(status(c), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1500));
  EXPECT_TRUE(journal->broken());
}

// Behind damage every key that is not known may have run: it is not sent, and not said to be harmless.
TEST_F(IdempotencyTest, BehindADamagedLogUnknownKeysFailForTheirWindow) {
  onLog = true;
  settings.limits.keep = std::chrono::seconds(1);
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {  // more than a block
    clients.push_back(put("k" + std::to_string(i)));
    ASSERT_TRUE(until([&] { return held.size() == static_cast<std::size_t>(i) + 1; }));
    held.back()->reply(200, std::string(10'000, 'd'));
    ASSERT_TRUE(answered(clients.back()));
  }
  folder.damage(folder.contents().begin()->first, 5000);
  restart();
  ASSERT_TRUE(recovery.log.damaged) << recovery.log.what;
  const auto unknown = put("new");
  ASSERT_TRUE(answered(unknown));
  EXPECT_EQ(status(unknown), 502u);
  EXPECT_EQ(received(), 0u);
  EXPECT_EQ(stage->counts().unknown, 1u);
  pause(milliseconds(1050));
  const auto later = put("later");
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(later));
}

// Three gateways on one loop, which hear one another at once, or not at all.
struct OwnersOverSockets : ::testing::Test {
  asio::io_context io;
  Clock clock;
  Server discovery{io, [](const auto&, const Received&) {}};
  std::vector<std::shared_ptr<Peer>> held;
  Server host{io, [this](const auto& peer, const Received&) { held.push_back(peer); }};
  Names names{{}, {"read", "book", "put"}};
  bool cutOff = false;

  struct Node : OwnerLink {
    OwnersOverSockets& all;
    GatewayNumber number;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<IdempotencyFilter> stage;
    std::unique_ptr<Owners> owners;
    asio::steady_timer timer;
    Node(OwnersOverSockets& net, GatewayNumber n) : all(net), number(n), timer(net.io) {}
    void send(GatewayNumber to, std::string_view payload) override {
      if (all.cutOff) return;
      asio::post(all.io, [this, to, bytes = std::string(payload)] {
        all.nodes[to]->stage->fromGateway(number, 1, bytes);
      });
    }
    void wakeAt(std::optional<Time> at) override {
      if (!at) {
        timer.cancel();
        return;
      }
      timer.expires_at(all.clock.steady(*at));
      timer.async_wait([this](error_code stopped) {
        if (!stopped) stage->onWake();
      });
    }
  };
  std::vector<std::unique_ptr<Node>> nodes;
  bool onLog = false;  // the second: before each send
  FaultyFolder folder{1};
  LaterRunner runner;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Journal> journal;

  void start(const std::function<void(OwnerSettings&)>& change = [](OwnerSettings&) {}) {
    json list = json::array({hostJson("s-0", host.endpoint())});
    const json config = configJson(discovery.endpoint(), list);
    for (GatewayNumber n = 0; n < 3; ++n) {
      nodes.push_back(std::make_unique<Node>(*this, n));
      Node& node = *nodes.back();
      IdempotencySettings settings;
      OwnerSettings o;
      o.own = n;
      o.gateways = 3;
      o.keep = settings.limits.keep;
      o.longest = std::chrono::seconds(4);
      change(o);
      node.gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
      node.stage = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{n, 2},
                                                       node.gateway->filterCallbacks());
      if (n == 1 && onLog) {
        JournalSettings j;
        j.sync = SyncPolicy::beforeSend;
        j.keep = settings.limits.keep;
        log = std::make_unique<wal::Log>(folder, wal::Options{});
        journal = std::make_unique<Journal>(*log, j, names, TimeBase{}, runner);
        node.stage->recover(*journal);
      }
      // Been there for long: what they do not know is not there.
      node.owners = std::make_unique<Owners>(o, SipKey{5, 6}, Time{});
      node.stage->join(*node.owners, node, names, false);
      node.gateway->attach(*node.stage);
      node.gateway->start();
    }
  }
  ~OwnersOverSockets() override {
    for (auto& n : nodes) n->gateway.reset();
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  std::shared_ptr<Client> put(GatewayNumber at, const std::string& key, bool repeat,
                              const std::string& body = "b", int left = 2500) {
    const auto c = Client::connect(io, nodes[at]->gateway->endpoint());
    c->ask("POST", "/put/1", left, body,
           "Idempotency-Key: " + key + "\r\n" + (repeat ? "X-Repeat: 1\r\n" : ""));
    return c;
  }
  bool answered(const std::shared_ptr<Client>& c) {
    return until([&] { return !c->answers.empty(); });
  }
  std::size_t open() const {
    std::size_t n = 0;
    for (const auto& node : nodes) n += node->gateway->openRequests();
    return n;
  }
};

// Hard case of the need: the client's retry lands at another gateway.
TEST_F(OwnersOverSockets, ARepeatAtAnotherGatewayIsAnsweredFromTheFirst) {
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto second = put(1, "k", true), third = put(2, "k", true), beside = put(1, "k", true);
  ASSERT_TRUE(
      until([&] { return nodes[1]->owners->counts().polls >= 1 && nodes[1]->stage->counts().joined == 1; }));
  EXPECT_EQ(held.size(), 1u);
  held[0]->reply(200, "done", "Content-Type: text/x\r\n");
  for (const auto& c : {first, second, third, beside}) {
    ASSERT_TRUE(answered(c));
    EXPECT_EQ(c->answers[0].result_int(), 200u);
    EXPECT_EQ(c->answers[0].body(), "done");
    EXPECT_EQ(c->answers[0]["Content-Type"], "text/x");
  }
  const auto later = put(2, "k", true), other = put(1, "k", true, "another body");
  ASSERT_TRUE(answered(later));
  ASSERT_TRUE(answered(other));
  EXPECT_EQ(later->answers[0].body(), "done");
  EXPECT_EQ(other->answers[0].result_int(), 422u);
  EXPECT_EQ(host.received.size(), 1u);
  EXPECT_TRUE(until([&] { return open() == 0; }));
}

TEST_F(OwnersOverSockets, ARepeatOfOneThatNobodyKnowsRuns) {
  start();
  const auto c = put(1, "k", true);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(nodes[1]->owners->counts().ran, 1u);
}

// The first may have run, and its gateway tells where: the repeat goes there, to be dropped.
TEST_F(OwnersOverSockets, ARepeatOfOneThatMayHaveRunIsBoundElsewhereToo) {
  start();
  const auto first = put(0, "k", false, "b", 400);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return nodes[0]->stage->store().count(State::uncertain) == 1; }));
  const auto c = put(2, "k", true);
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  held[1]->reply(200, "once");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].body(), "once");
  EXPECT_EQ(nodes[2]->owners->counts().uncertain, 1u);
}

// Uncertain here, and run again by another gateway just now: not two at once. It gets that one's answer.
TEST_F(OwnersOverSockets, OneThatIsUncertainHereWaitsForWhoRunsItNow) {
  start();
  const auto first = put(0, "k", false, "b", 400);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return nodes[0]->stage->store().count(State::uncertain) == 1; }));
  const auto elsewhere = put(2, "k", true);
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  const auto here = put(0, "k", true);
  ASSERT_TRUE(until([&] { return nodes[0]->owners->counts().polls >= 1 || held.size() == 3; }));
  EXPECT_EQ(held.size(), 2u);
  held[1]->reply(200, "once");
  ASSERT_TRUE(answered(elsewhere));
  ASSERT_TRUE(answered(here));
  EXPECT_EQ(here->answers[0].body(), "once");
  EXPECT_EQ(host.received.size(), 2u);
}

// Both are waited for: its own record, and what others know. Either may come first.
TEST_F(OwnersOverSockets, ARepeatWaitsForItsRecordAndForTheOthers) {
  onLog = true;
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  const auto had = put(1, "k", true);  // another gateway's answer, before the sync
  ASSERT_TRUE(answered(had));
  EXPECT_EQ(had->answers[0].body(), "done");
  const auto fresh = put(1, "new", true);
  ASSERT_TRUE(until([&] { return nodes[1]->owners->counts().ran == 1; }));
  EXPECT_EQ(host.received.size(), 1u);  // not before its record is safe
  while (runner.carryOut()) {
  }
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  held[1]->reply(200, "second");
  ASSERT_TRUE(answered(fresh));
  cutOff = true;
  const auto bound = put(1, "cut off", true);
  ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
  while (runner.carryOut()) {  // the sync first
  }
  ASSERT_TRUE(answered(bound));
  EXPECT_EQ(bound->answers[0].result_int(), 502u);
  EXPECT_EQ(host.received.size(), 2u);
}

// Cut off from the others: failed, not refused and not run, in its time; or run, as set. First tries go on.
TEST_F(OwnersOverSockets, CutOffARepeatFailsOrRunsAsSet) {
  start();
  cutOff = true;
  const auto c = put(1, "k", true);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(host.received.size(), 0u);
  const auto first = put(1, "f", false);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
}

TEST_F(OwnersOverSockets, CutOffARepeatRunsWhereThatIsSet) {
  start([](OwnerSettings& o) { o.runWhenSilent = true; });
  cutOff = true;
  const auto c = put(1, "k", true);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(nodes[1]->owners->counts().untold, 1u);
}

// It waits for what runs elsewhere, and its own time is up before: one answer, and nothing goes out after it.
TEST_F(OwnersOverSockets, ARepeatThatWaitsForAnotherGatewayIsAnsweredInItsTime) {
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put(1, "k", true, "b", 300);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  const auto left = put(2, "k", true);
  ASSERT_TRUE(until([&] { return nodes[2]->owners->counts().polls >= 1; }));
  left->close();
  ASSERT_TRUE(until([&] { return nodes[2]->gateway->openRequests() == 0; }));
  held[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(host.received.size(), 1u);
}

// A seeded crowd: few keys, many clients, hosts that answer, turn away, and break off. Hosts of the zone drop
// repeats for the window, as the rule says: so an effect is a key's first execution within it. Each client
// gets one answer.
TEST_F(IdempotencyTest, EveryKeyHasOneEffectAndEveryClientOneAnswer) {
  std::mt19937 dice(7);
  std::map<std::string, int> effects;
  std::map<std::string, int> out;  // attempts of a key that are with a host
  bool twoAtOnce = false;
  Server::Handler host = [&](const std::shared_ptr<Peer>& peer, const Received& q) {
    const std::string key(q["Idempotency-Key"]);
    const auto roll = dice() % 10;
    if (roll == 0) return peer->reply(503, "", "X-Unprocessed: 1\r\n");
    if (out[key] > 0) twoAtOnce = true;
    ++out[key];
    const auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(dice() % 5));
    timer->async_wait([&, peer, key, roll, timer](error_code) {
      --out[key];
      effects[key] = 1;  // once, whatever comes again: the zone drops it
      if (roll == 1) peer->close();
      else if (peer->socket.is_open()) {
        error_code gone;
        const std::string bytes = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
        asio::write(peer->socket, asio::buffer(bytes), gone);
      }
    });
  };
  hold = host;
  start(3);
  std::size_t asked = 0, answers = 0;
  std::map<unsigned, int> statuses;
  for (int round = 0; round < 60; ++round) {
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < 8; ++i) clients.push_back(put("k" + std::to_string(dice() % 40), 1500)), ++asked;
    ASSERT_TRUE(until([&] {
      return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); });
    }));
    for (const auto& c : clients) {
      answers += c->answers.size();
      ++statuses[status(c)];
      c->close();
    }
  }
  EXPECT_EQ(answers, asked);
  EXPECT_FALSE(twoAtOnce);
  EXPECT_GT(statuses[200], 300);
  EXPECT_GT(stage->counts().replayed + stage->counts().answeredFromFirst, 100u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

}  // namespace
}  // namespace finchstile::idempotency
