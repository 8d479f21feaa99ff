// The idempotency filter in a gateway over loopback sockets: waiting repeats, replayed responses, repeats
// bound to earlier attempts, the log, and several gateways.
#include "idempotency/filter.hpp"

#include <random>

#include "support/faulty_directory.hpp"
#include "support/manual_sync_runner.hpp"
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
  std::vector<std::shared_ptr<Peer>> heldConnections;  // connections at hosts that the test answers
  Server::Handler holdHandler = [this](const std::shared_ptr<Peer>& peer, const Received&) {
    heldConnections.push_back(peer);
  };
  std::function<void(json&)> changeConfiguration;  // applied to the configuration
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<IdempotencyFilter> filter;
  IdempotencySettings settings;

  void start(
      std::size_t count = 1, const std::function<void(json&)>& configurationChange = [](json&) {}) {
    changeConfiguration = configurationChange;
    json list = json::array();
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<Server>(io, holdHandler));
      list.push_back(hostJson("s-" + std::to_string(i), hosts.back()->endpoint()));
    }
    json config = configJson(discovery.endpoint(), list);
    changeConfiguration(config);
    gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    filter = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, 2}, gateway->filterCallbacks());
    if (withLog) recover();
    gateway->attach(*filter);
    gateway->start();
  }
  ~IdempotencyTest() override { gateway.reset(); }

  // With a log whose sync tasks the test runs.
  bool withLog = false;
  FaultyDirectory folder{1};
  ManualSyncRunner runner;
  TenantAndClassNames names{{}, {"read", "book", "put"}};
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;
  void recover() {
    JournalSettings s;
    s.sync = settings.log.sync;
    s.retention = settings.limits.retention;
    s.maxRequestDuration = std::chrono::seconds(4);
    log = std::make_unique<wal::Log>(folder, wal::LogOptions{});
    journal = std::make_unique<Journal>(*log, s, names, clockTimeBase(clock, "boot"), runner);
    recovery = filter->recover(*journal);
  }
  // Kills the process and starts another one, without the clients and requests of the first.
  void restart() {
    gateway.reset();
    filter.reset(), journal.reset(), log.reset();
    runner.job.reset();
    hosts.clear(), heldConnections.clear();
    folder.kill();
    start(1, std::exchange(changeConfiguration, nullptr));
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  std::shared_ptr<Client> put(const std::string& key, int left = 2500, const std::string& body = "b") {
    const auto c = Client::connect(io, gateway->endpoint());
    c->sendRequest("POST", "/put/1", left, body, "Idempotency-Key: " + key + "\r\n");
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

// The repeat arrives before the response of the first request.
TEST_F(IdempotencyTest, RepeatWaitsForRunningRequestAndGetsItsResponse) {
  start(2);
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k"), third = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 2; }));
  heldConnections[0]->reply(200, "done", "Content-Type: text/x\r\n");
  for (const auto& c : {first, second, third}) {
    ASSERT_TRUE(answered(c));
    EXPECT_EQ(status(c), 200u);
    EXPECT_EQ(c->answers[0].body(), "done");
    EXPECT_EQ(c->answers[0]["Content-Type"], "text/x");
  }
  const auto later = put("k");  // after the response
  ASSERT_TRUE(answered(later));
  EXPECT_EQ(later->answers[0].body(), "done");
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(IdempotencyTest, RejectsKeyWithAnotherBody) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto other = put("k", 2500, "other");
  ASSERT_TRUE(answered(other));
  EXPECT_EQ(status(other), 422u);
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(received(), 1u);
}

// The run continues for the waiters.
TEST_F(IdempotencyTest, KeepsRunForWaitersWhenFirstClientDisconnects) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return filter->counts().keptWithoutClient == 1; }));
  EXPECT_FALSE(heldConnections[0]->ended);
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(second->answers[0].body(), "done");
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// If the attempt of the disconnected client was not executed, a waiter runs in its place.
TEST_F(IdempotencyTest, StartsNoAttemptAfterFirstClientDisconnected) {
  static OutcomeLog outcomes;  // outlives the gateway
  outcomes.all.clear();
  start(2);
  gateway->setAttemptLog(outcomes);
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return filter->counts().keptWithoutClient == 1; }));
  heldConnections[0]->reply(503, "", "X-Unprocessed: 1\r\n");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  std::vector<std::string> ids;
  for (const auto& h : hosts)
    for (const Received& r : h->received) ids.emplace_back(r["X-Correlation-Id"]);
  EXPECT_EQ(std::count(ids.begin(), ids.end(), first->id), 1);
  EXPECT_EQ(std::count(ids.begin(), ids.end(), second->id), 1);
  heldConnections[1]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(second->answers[0].result_int(), 200u);
  EXPECT_EQ(received(), 2u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  // An attempt that was not sent is not counted as a failure of a host, and the other hosts are not tried.
  EXPECT_EQ(outcomes.count(load_balancing::Outcome::connectFailed), 0);
  EXPECT_EQ(outcomes.count(load_balancing::Outcome::notSent), 1);
}

TEST_F(IdempotencyTest, AbandonsRunWhenLastWaiterDisconnects) {
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return filter->counts().keptWithoutClient == 1; }));
  const auto disconnectedAt = std::chrono::steady_clock::now();
  second->close();
  ASSERT_TRUE(
      until([&] { return heldConnections[0]->ended; }));  // the attempt is cancelled before its time-out
  EXPECT_LT(std::chrono::steady_clock::now() - disconnectedAt, milliseconds(1500));
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  EXPECT_EQ(filter->store().countInState(KeyState::uncertain), 1u);  // it may have been executed
}

// The waiter's deadline comes before that of the first request.
TEST_F(IdempotencyTest, AnswersWaiterByItsOwnDeadline) {
  start();
  const auto first = put("k", 2800);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto begin = std::chrono::steady_clock::now();
  const auto second = put("k", 300);
  ASSERT_TRUE(answered(second));
  EXPECT_EQ(status(second), 502u);  // failed rather than rejected: the first may be executed
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(status(first), 200u);
  EXPECT_EQ(second->answers.size(), 1u);
}

// The first request fails after an attempt may have been executed. Within the hosts' deduplication window
// the repeat is sent to the zone of that attempt only.
TEST_F(IdempotencyTest, SendsRepeatOfUncertainKeyOnlyWhereHostsRecognizeIt) {
  start(2, [](json& c) { c["known"]["endpoints"][1]["zone"] = "west"; });
  const auto first = put("k", 400);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const std::size_t firstHost = hosts[0]->received.size() == 1 ? 0 : 1;
  first->close();
  ASSERT_TRUE(until([&] { return filter->store().countInState(KeyState::uncertain) == 1; }));
  heldConnections.clear();
  for (int i = 0; i < 4; ++i) {
    const auto repeated = put("k", 1500);
    ASSERT_TRUE(until([&] { return heldConnections.size() == 1 || !repeated->answers.empty(); }));
    if (!heldConnections.empty()) heldConnections[0]->close();  // it may have been executed again
    heldConnections.clear();
    ASSERT_TRUE(answered(repeated));
    EXPECT_EQ(status(repeated), 502u);
  }
  EXPECT_GE(hosts[firstHost]->received.size(), 1u);
  EXPECT_EQ(hosts[1 - firstHost]->received.size(), 0u);
}

// After their deduplication window hosts would execute the repeat again: it fails unsent.
TEST_F(IdempotencyTest, FailsRepeatOfUncertainKeyAfterHostsWindow) {
  start(1, [](json& c) { c["settings"]["grades"][2]["windowNs"] = 200'000'000; });
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return filter->store().countInState(KeyState::uncertain) == 1; }));
  pause(milliseconds(250));
  const auto repeated = put("k");
  ASSERT_TRUE(answered(repeated));
  EXPECT_EQ(status(repeated), 502u);
  EXPECT_EQ(received(), 1u);
}

// The host rejects the first request. One waiter runs in its place, and the others wait for it.
TEST_F(IdempotencyTest, PromotesWaiterWhenFirstWasNotExecuted) {
  start();
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k", 2500), third = put("k", 2500);
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 2; }));
  const std::string id = first->id;
  hosts[0]->handler = [id](const std::shared_ptr<Peer>& peer, const Received& q) {
    if (q["X-Correlation-Id"] == id) peer->reply(503, "", "X-Unprocessed: 1\r\n");
    else peer->reply(200, "done");
  };
  heldConnections[0]->reply(503, "", "X-Unprocessed: 1\r\n");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(status(first), 503u);
  // The load balancer may reject the promoted waiter too, since the only host has just reported that it is
  // full.
  for (const auto& c : {second, third}) {
    ASSERT_TRUE(answered(c));
    EXPECT_TRUE(status(c) == 200 || status(c) == 503) << status(c);
    EXPECT_EQ(c->answers.size(), 1u);
  }
  EXPECT_GE(filter->counts().promoted, 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// A host fails before it responds to the first request, while a repeat waits.
TEST_F(IdempotencyTest, SendsOneAttemptAtATimeAfterHostFailure) {
  start(2);
  const auto first = put("k", 2500);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k", 2500);
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  heldConnections[0]->close();  // may have been executed: retried at the other host of the zone
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2 || !first->answers.empty(); }));
  if (heldConnections.size() == 2) heldConnections[1]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  ASSERT_TRUE(answered(second));
  EXPECT_LE(received(), 2u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(IdempotencyTest, LeavesKeyUncertainWhenResponseIsTooLarge) {
  settings.limits.maxResponseBytes = 3;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "larger");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(first->answers[0].body(), "larger");
  const auto repeated = put("k");  // sent within the window, since the zone recognizes it
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  heldConnections[1]->reply(200, "larger");
  ASSERT_TRUE(answered(repeated));
  EXPECT_EQ(repeated->answers[0].body(), "larger");
}

TEST_F(IdempotencyTest, FullStoreRejectsNewKeyBySetting) {
  settings.limits.maxEntries = 16;
  settings.limits.maxTenantFraction = 1;
  settings.rejectWhenFull = true;
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 16; ++i) clients.push_back(put("k" + std::to_string(i)));
  ASSERT_TRUE(until([&] { return filter->store().entries() == 16; }));
  const auto more = put("more");
  ASSERT_TRUE(answered(more));
  EXPECT_EQ(status(more), 503u);
  EXPECT_EQ(filter->counts().storeFull, 1u);
}

// Guards against repeats that all run because the store has no room for the entry of any of them.
TEST_F(IdempotencyTest, RunsOneWaiterAtATimeWhileTheStoreIsFull) {
  settings.limits.maxBytes = 4096;
  settings.limits.maxTenantFraction = 1;
  settings.rejectWhenFull = true;
  start(4);
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  std::vector<std::shared_ptr<Client>> repeats;
  for (int i = 0; i < 3; ++i) repeats.push_back(put("k"));
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 3; }));
  std::vector<std::shared_ptr<Client>> others;
  ASSERT_TRUE(until([&] {
    if (filter->counts().storeFull == 0) others.push_back(put("other-" + std::to_string(others.size())));
    return filter->counts().storeFull > 0;
  }));
  for (int i = 0; i < 60; ++i) others.push_back(put("other-0"));
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning + filter->counts().tooManyWaiters >= 63; }));
  EXPECT_LE(filter->store().bytes(), settings.limits.maxBytes);
  std::vector<std::shared_ptr<Peer>> runs;
  for (const auto& host : hosts)
    host->handler = [&, id = first->id](const std::shared_ptr<Peer>& peer, const Received& q) {
      if (q["X-Correlation-Id"] == id) peer->reply(503, "", "X-Unprocessed: 1\r\n");
      else if (q["Idempotency-Key"] == "k") runs.push_back(peer);
    };
  heldConnections[0]->reply(503, "", "X-Unprocessed: 1\r\n");
  ASSERT_TRUE(answered(first));
  ASSERT_TRUE(until([&] { return !runs.empty(); }));
  pause(milliseconds(200));
  ASSERT_EQ(runs.size(), 1u);
  runs[0]->reply(200, "done");
  for (const auto& repeat : repeats) {
    ASSERT_TRUE(answered(repeat));
    EXPECT_EQ(status(repeat), 200u);
  }
  EXPECT_EQ(runs.size(), 1u);
}

TEST_F(IdempotencyTest, DrainAnswersWaiters) {
  start();
  const auto first = put("k", 2000);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put("k", 2000);
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_EQ(status(first), 200u);
  EXPECT_EQ(status(second), 200u);
}

TEST_F(IdempotencyTest, IgnoresClassesWithoutIdempotencyKeys) {
  start();
  const auto c = Client::connect(io, gateway->endpoint());
  c->sendRequest("GET", "/read/1", 2500);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "ok");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(filter->store().entries(), 0u);
}

// The first request and two repeats arrive in one read.
TEST_F(IdempotencyTest, RunsRepeatsReceivedInOneReadOnce) {
  start(2);
  const auto c = Client::connect(io, gateway->endpoint());
  std::string three;
  for (int i = 0; i < 3; ++i)
    three += "POST /put/1 HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: p-" + std::to_string(i) +
             "\r\nX-Time-Left-Ms: 2500\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nb";
  const auto other = put("k");
  c->write(three);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1 && filter->counts().joinedRunning >= 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(until([&] { return c->answers.size() == 3; }));
  ASSERT_TRUE(answered(other));
  for (const auto& a : c->answers) EXPECT_EQ(a.body(), "done");
  EXPECT_EQ(received(), 1u);
}

TEST_F(IdempotencyTest, ReplaysResponseFromLogAfterRestart) {
  withLog = true;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done", "Content-Type: text/x\r\n");
  ASSERT_TRUE(answered(first));
  const auto running = put("r");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  restart();
  const auto repeated = put("k"), other = put("k", 2500, "another body");
  ASSERT_TRUE(answered(repeated));
  ASSERT_TRUE(answered(other));
  EXPECT_EQ(repeated->answers[0].body(), "done");
  EXPECT_EQ(repeated->answers[0]["Content-Type"], "text/x");
  EXPECT_EQ(status(other), 422u);
  EXPECT_EQ(received(), 0u);
  // Within the window the repeat of an interrupted run is sent to the zone that recognizes repeats.
  const auto repeat = put("r");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "once");
  ASSERT_TRUE(answered(repeat));
  EXPECT_EQ(filter->counts().retriedUncertain, 1u);
}

TEST_F(IdempotencyTest, FailsInterruptedRunAfterHostsWindow) {
  withLog = true;
  start(1, [](json& c) { c["settings"]["grades"][2]["windowNs"] = 100'000'000; });
  const auto running = put("r");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  restart();
  pause(milliseconds(150));
  const auto repeat = put("r");
  ASSERT_TRUE(until([&] { return !repeat->answers.empty() || !heldConnections.empty(); }));
  ASSERT_FALSE(repeat->answers.empty());
  EXPECT_EQ(status(repeat), 502u);
}

// With SyncPolicy::beforeSend no attempt is sent before the record of its run is synced.
TEST_F(IdempotencyTest, HoldsRequestUntilRecordIsSynced) {
  withLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto first = put("a"), second = put("b");
  ASSERT_TRUE(until([&] { return filter->counts().firstRuns == 2; }));
  const auto repeat = put("b");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 1; }));
  pause(milliseconds(50));
  EXPECT_EQ(received(), 0u);
  ASSERT_TRUE(runner.runJob());  // covers at least one record, the next task the rest
  if (runner.job) runner.runJob();
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  for (const auto& h : std::vector(heldConnections)) h->reply(200, "done");
  for (const auto& c : {first, second, repeat}) {
    ASSERT_TRUE(answered(c));
    EXPECT_EQ(status(c), 200u);
  }
  EXPECT_EQ(received(), 2u);
}

// The sync does not end. A request that waits for it is rejected before its deadline, since nothing was
// executed.
TEST_F(IdempotencyTest, RejectsRequestWhenRecordIsNotSyncedInTime) {
  withLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put("a", 300);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(status(c), 503u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  EXPECT_EQ(filter->store().entries(), 0u);
  runner.runJob();  // too late: no attempt is sent
  pause(milliseconds(50));
  EXPECT_EQ(received(), 0u);
  EXPECT_EQ(c->answers.size(), 1u);
  // The key is unused.
  const auto repeated = put("a");
  ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
  while (runner.runJob()) {
  }
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(repeated));
}

// The waiter that runs in place of the disconnected client gets a record of its own.
TEST_F(IdempotencyTest, PromotesWaiterWhenClientDisconnectsDuringSync) {
  withLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  start();
  const auto first = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().firstRuns == 1; }));
  const auto second = put("k"), third = put("k");
  ASSERT_TRUE(until([&] { return filter->counts().joinedRunning == 2; }));
  first->close();
  ASSERT_TRUE(until([&] { return filter->counts().promoted == 1; }));
  EXPECT_EQ(received(), 0u);
  while (runner.runJob()) {
  }
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(second));
  ASSERT_TRUE(answered(third));
  EXPECT_EQ(received(), 1u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

// The setting applies to requests that wait for a sync when the disk fails and to later ones.
TEST_F(IdempotencyTest, FailedLogForwardsOrRejectsBySetting) {
  for (const bool reject : {false, true}) {
    withLog = true;
    settings.log.sync = SyncPolicy::beforeSend;
    settings.log.rejectUnrecorded = reject;
    start();
    const std::string key = reject ? "r" : "p";
    const auto waits = put(key + "1");
    ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
    folder.failFrom = folder.operations + 1;
    ASSERT_TRUE(runner.runJob());
    ASSERT_TRUE(until([&] { return heldConnections.size() == 1 || !waits->answers.empty(); }));
    const auto later = put(key + "2");
    ASSERT_TRUE(until([&] { return heldConnections.size() == 2 || !later->answers.empty(); }));
    EXPECT_EQ(received(), reject ? 0u : 2u);
    for (const auto& h : std::vector(heldConnections)) h->reply(200, "done");
    for (const auto& c : {waits, later}) {
      ASSERT_TRUE(answered(c));
      EXPECT_EQ(status(c), reject ? 503u : 200u);
    }
    EXPECT_EQ(filter->counts().unrecorded, 2u);
    EXPECT_NE(filter->summary().find("log_broken=1"), std::string::npos) << filter->summary();
    gateway.reset(), filter.reset(), journal.reset(), log.reset();
    hosts.clear(), heldConnections.clear();
    folder = FaultyDirectory(1);
  }
}

// The disk fails right after the record of a request, while no sync is in progress: the request does not
// wait for one.
TEST_F(IdempotencyTest, ReleasesHeldRequestsWhenLogFails) {
  withLog = true;
  settings.log.sync = SyncPolicy::beforeSend;
  settings.log.rejectUnrecorded = true;
  start();
  for (int i = 0; i < 6; ++i) {
    const auto c = put("k" + std::to_string(i));
    ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
    while (runner.runJob()) {
    }
    ASSERT_TRUE(until([&] { return heldConnections.size() == static_cast<std::size_t>(i) + 1; }));
    heldConnections.back()->reply(200, std::string(10'000, 'd'));
    ASSERT_TRUE(answered(c));
  }
  folder.damage(folder.contents().begin()->first, 5000);
  restart();
  ASSERT_NE(recovery.uncertainUntil, Time{});
  folder.failFrom = folder.operations + 2;  // the RunStarted record is written, the next one is not
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put("new");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(status(c), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(1500));
  EXPECT_TRUE(journal->logFailed());
}

// After damage a key without a record may have run: it is not sent, and it is failed rather than rejected.
TEST_F(IdempotencyTest, FailsUnknownKeysWithinRetentionAfterLogDamage) {
  withLog = true;
  settings.limits.retention = std::chrono::seconds(1);
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {  // more than one block of the log
    clients.push_back(put("k" + std::to_string(i)));
    ASSERT_TRUE(until([&] { return heldConnections.size() == static_cast<std::size_t>(i) + 1; }));
    heldConnections.back()->reply(200, std::string(10'000, 'd'));
    ASSERT_TRUE(answered(clients.back()));
  }
  folder.damage(folder.contents().begin()->first, 5000);
  restart();
  ASSERT_TRUE(recovery.log.damaged) << recovery.log.description;
  const auto unknown = put("new");
  ASSERT_TRUE(answered(unknown));
  EXPECT_EQ(status(unknown), 502u);
  EXPECT_EQ(received(), 0u);
  EXPECT_EQ(filter->counts().assumedUncertain, 1u);
  pause(milliseconds(1050));
  const auto later = put("later");
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(later));
}

// Three gateways on one event loop. Messages between them arrive immediately, or are all dropped.
struct OwnershipOverSocketsTest : ::testing::Test {
  asio::io_context io;
  Clock clock;
  Server discovery{io, [](const auto&, const Received&) {}};
  std::vector<std::shared_ptr<Peer>> heldConnections;
  Server host{io, [this](const auto& peer, const Received&) { heldConnections.push_back(peer); }};
  TenantAndClassNames names{{}, {"read", "book", "put"}};
  bool partitioned = false;

  struct Node : GatewayLink {
    OwnershipOverSocketsTest& network;
    GatewayNumber number;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<IdempotencyFilter> filter;
    std::unique_ptr<KeyOwnership> owners;
    asio::steady_timer timer;
    Node(OwnershipOverSocketsTest& owner, GatewayNumber n) : network(owner), number(n), timer(owner.io) {}
    void send(GatewayNumber to, std::string_view payload) override {
      if (network.partitioned) return;
      asio::post(network.io, [this, to, bytes = std::string(payload)] {
        network.nodes[to]->filter->onGatewayMessage(number, 1, bytes);
      });
    }
    void scheduleTimer(std::optional<Time> at) override {
      if (!at) {
        timer.cancel();
        return;
      }
      timer.expires_at(network.clock.steady(*at));
      timer.async_wait([this](error_code stopped) {
        if (!stopped) filter->onTimer();
      });
    }
  };
  std::vector<std::unique_ptr<Node>> nodes;
  bool withLog = false;  // the second gateway has a log, with SyncPolicy::beforeSend
  FaultyDirectory folder{1};
  ManualSyncRunner runner;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Journal> journal;

  void start(const std::function<void(OwnershipSettings&)>& changeConfiguration = [](OwnershipSettings&) {}) {
    json list = json::array({hostJson("s-0", host.endpoint())});
    const json config = configJson(discovery.endpoint(), list);
    for (GatewayNumber n = 0; n < 3; ++n) {
      nodes.push_back(std::make_unique<Node>(*this, n));
      Node& node = *nodes.back();
      IdempotencySettings settings;
      OwnershipSettings o;
      o.ownNumber = n;
      o.gateways = 3;
      o.retention = settings.limits.retention;
      o.maxRequestDuration = std::chrono::seconds(4);
      changeConfiguration(o);
      node.gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
      node.filter = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{n, 2},
                                                        node.gateway->filterCallbacks());
      if (n == 1 && withLog) {
        JournalSettings j;
        j.sync = SyncPolicy::beforeSend;
        j.retention = settings.limits.retention;
        log = std::make_unique<wal::Log>(folder, wal::LogOptions{});
        journal = std::make_unique<Journal>(*log, j, names, TimeBase{}, runner);
        node.filter->recover(*journal);
      }
      // Started long ago: an owner is not new any more, so a key without an entry counts as unused.
      node.owners = std::make_unique<KeyOwnership>(o, SipKey{5, 6}, Time{});
      node.filter->enableOwnership(*node.owners, node, names, false);
      node.gateway->attach(*node.filter);
      node.gateway->start();
    }
  }
  ~OwnershipOverSocketsTest() override {
    for (auto& n : nodes) n->gateway.reset();
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  std::shared_ptr<Client> put(GatewayNumber at, const std::string& key, bool repeat,
                              const std::string& body = "b", int left = 2500) {
    const auto c = Client::connect(io, nodes[at]->gateway->endpoint());
    c->sendRequest("POST", "/put/1", left, body,
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

// The client's repeat reaches another gateway.
TEST_F(OwnershipOverSocketsTest, AnswersRepeatWithAnotherGatewaysResponse) {
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto second = put(1, "k", true), third = put(2, "k", true), beside = put(1, "k", true);
  ASSERT_TRUE(until([&] {
    return nodes[1]->owners->counts().polls >= 1 && nodes[1]->filter->counts().joinedRunning == 1;
  }));
  EXPECT_EQ(heldConnections.size(), 1u);
  heldConnections[0]->reply(200, "done", "Content-Type: text/x\r\n");
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

TEST_F(OwnershipOverSocketsTest, RunsRepeatOfKeyUnusedAtItsOwners) {
  start();
  const auto c = put(1, "k", true);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(nodes[1]->owners->counts().decidedRun, 1u);
}

// The first request may have been executed. The repeat at another gateway is sent to the zone of that
// attempt, where hosts recognize it.
TEST_F(OwnershipOverSocketsTest, BindsRepeatAtAnotherGatewayToEarlierAttempt) {
  start();
  const auto first = put(0, "k", false, "b", 400);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return nodes[0]->filter->store().countInState(KeyState::uncertain) == 1; }));
  const auto c = put(2, "k", true);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  heldConnections[1]->reply(200, "once");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].body(), "once");
  EXPECT_EQ(nodes[2]->owners->counts().decidedUncertain, 1u);
}

// The key is uncertain in one gateway while another one runs it again: the repeat at the first waits and
// gets the response of that run.
TEST_F(OwnershipOverSocketsTest, UncertainKeyWaitsForGatewayThatRunsIt) {
  start();
  const auto first = put(0, "k", false, "b", 400);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  first->close();
  ASSERT_TRUE(until([&] { return nodes[0]->filter->store().countInState(KeyState::uncertain) == 1; }));
  const auto elsewhere = put(2, "k", true);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  const auto here = put(0, "k", true);
  ASSERT_TRUE(until([&] { return nodes[0]->owners->counts().polls >= 1 || heldConnections.size() == 3; }));
  EXPECT_EQ(heldConnections.size(), 2u);
  heldConnections[1]->reply(200, "once");
  ASSERT_TRUE(answered(elsewhere));
  ASSERT_TRUE(answered(here));
  EXPECT_EQ(here->answers[0].body(), "once");
  EXPECT_EQ(host.received.size(), 2u);
}

// The request waits for the sync of its record and for the owners, in either order.
TEST_F(OwnershipOverSocketsTest, HoldsRepeatForSyncAndForOwners) {
  withLog = true;
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  const auto replayed = put(1, "k", true);  // answered with another gateway's response before the sync
  ASSERT_TRUE(answered(replayed));
  EXPECT_EQ(replayed->answers[0].body(), "done");
  const auto unclaimed = put(1, "new", true);
  ASSERT_TRUE(until([&] { return nodes[1]->owners->counts().decidedRun == 1; }));
  EXPECT_EQ(host.received.size(), 1u);  // not before its record is synced
  while (runner.runJob()) {
  }
  ASSERT_TRUE(until([&] { return heldConnections.size() == 2; }));
  heldConnections[1]->reply(200, "second");
  ASSERT_TRUE(answered(unclaimed));
  partitioned = true;
  const auto failed = put(1, "cut off", true);
  ASSERT_TRUE(until([&] { return runner.job.has_value(); }));
  while (runner.runJob()) {  // the sync ends before the owners' decision
  }
  ASSERT_TRUE(answered(failed));
  EXPECT_EQ(failed->answers[0].result_int(), 502u);
  EXPECT_EQ(host.received.size(), 2u);
}

// Without a majority of owners a repeat fails by default. First requests run.
TEST_F(OwnershipOverSocketsTest, FailsRepeatWhenOwnersAreUnreachable) {
  start();
  partitioned = true;
  const auto c = put(1, "k", true);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(host.received.size(), 0u);
  const auto first = put(1, "f", false);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
}

TEST_F(OwnershipOverSocketsTest, RunsRepeatBySettingWhenOwnersAreUnreachable) {
  start([](OwnershipSettings& o) { o.runWithoutMajority = true; });
  partitioned = true;
  const auto c = put(1, "k", true);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(nodes[1]->owners->counts().noMajority, 1u);
}

// A repeat that waits for a run at another gateway gets one response at its deadline, and nothing is sent
// after that.
TEST_F(OwnershipOverSocketsTest, AnswersRepeatWaitingForAnotherGatewayByItsDeadline) {
  start();
  const auto first = put(0, "k", false);
  ASSERT_TRUE(until([&] { return heldConnections.size() == 1; }));
  const auto begin = std::chrono::steady_clock::now();
  const auto c = put(1, "k", true, "b", 300);
  ASSERT_TRUE(answered(c));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(300));
  const auto disconnecting = put(2, "k", true);
  ASSERT_TRUE(until([&] { return nodes[2]->owners->counts().polls >= 1; }));
  disconnecting->close();
  ASSERT_TRUE(until([&] { return nodes[2]->gateway->openRequests() == 0; }));
  heldConnections[0]->reply(200, "done");
  ASSERT_TRUE(answered(first));
  EXPECT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(host.received.size(), 1u);
}

// Few keys, many clients, and hosts that respond, reject and disconnect, from a fixed seed. Hosts of a zone
// recognize repeats within the window, so only the first execution of a key has an effect.
TEST_F(IdempotencyTest, RunsEachKeyOnceAndAnswersEachClientOnce) {
  std::mt19937 rng(7);
  std::map<std::string, int> effects;
  std::map<std::string, int> inFlight;  // attempts of a key in flight at hosts
  bool concurrentExecutions = false;
  Server::Handler host = [&](const std::shared_ptr<Peer>& peer, const Received& q) {
    const std::string key(q["Idempotency-Key"]);
    const auto roll = rng() % 10;
    if (roll == 0) return peer->reply(503, "", "X-Unprocessed: 1\r\n");
    if (inFlight[key] > 0) concurrentExecutions = true;
    ++inFlight[key];
    const auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(rng() % 5));
    timer->async_wait([&, peer, key, roll, timer](error_code) {
      --inFlight[key];
      effects[key] = 1;  // the zone recognizes repeats
      if (roll == 1) peer->close();
      else if (peer->socket.is_open()) {
        error_code gone;
        const std::string bytes = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
        asio::write(peer->socket, asio::buffer(bytes), gone);
      }
    });
  };
  holdHandler = host;
  start(3);
  std::size_t requestCount = 0, answers = 0;
  std::map<unsigned, int> statuses;
  for (int round = 0; round < 60; ++round) {
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < 8; ++i)
      clients.push_back(put("k" + std::to_string(rng() % 40), 1500)), ++requestCount;
    ASSERT_TRUE(until([&] {
      return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); });
    }));
    for (const auto& c : clients) {
      answers += c->answers.size();
      ++statuses[status(c)];
      c->close();
    }
  }
  EXPECT_EQ(answers, requestCount);
  EXPECT_FALSE(concurrentExecutions);
  EXPECT_GT(statuses[200], 300);
  EXPECT_GT(filter->counts().replayedResponses + filter->counts().answeredFromRunning, 100u);
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

}  // namespace
}  // namespace finchstile::idempotency
