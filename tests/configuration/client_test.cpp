// Polling of control machines over loopback sockets, with failing machines.
#include "configuration/client.hpp"

#include <unistd.h>

#include <boost/asio/thread_pool.hpp>
#include <filesystem>
#include <fstream>

#include "configuration/documents.hpp"
#include "configuration/snapshot_file.hpp"
#include "control_machine.hpp"
#include "support/run_until.hpp"

namespace finchstile::configuration::testing {
namespace {

namespace asio = boost::asio;
using fake_upstream::ControlFault;
using fake_upstream::ControlMachine;
using finchstile::testing::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct ClientTest : ::testing::Test {
  asio::io_context io;
  asio::thread_pool worker{1};
  Clock clock;
  std::vector<std::unique_ptr<ControlMachine>> machines, retired;
  std::unique_ptr<Client> client;
  std::vector<SettingsChange> changes;
  std::vector<std::string> logLines;
  ConfigurationSettings settings;
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("finchstile-configuration-" + std::to_string(::getpid()));

  void SetUp() override {
    std::filesystem::create_directories(folder);
    settings.longPollWait = milliseconds(300);
    settings.silenceTimeout = milliseconds(200);
    settings.minPollInterval = milliseconds(10);
    settings.backoff = {milliseconds(20), milliseconds(50), milliseconds(400)};
  }
  void TearDown() override {
    client.reset();
    worker.join();
    std::filesystem::remove_all(folder);
  }

  void addMachines(int count) {
    for (int i = 0; i < count; ++i) {
      machines.push_back(std::make_unique<ControlMachine>(io, fake_upstream::ControlLog::Settings{}));
      settings.addresses.push_back(machines.back()->address());
      settings.endpoints.push_back(machines.back()->endpoint());
    }
  }
  void start() {
    client = std::make_unique<Client>(
        io, worker.get_executor(), clock, settings, "n0", 7, initialSettings(),
        [this](const SettingsChange& change) { changes.push_back(change); },
        [this](const std::string& line) { logLines.push_back(line); });
    client->start();
  }
  void publish(const std::vector<DocumentChange>& changes) {
    for (const auto& machine : machines) machine->publish(changes);
  }
  bool waitUntil(const std::function<bool()>& reached) { return runUntil(io, reached); }
  bool becomesActive(std::uint64_t revision) {
    return waitUntil([&] { return client->statistics().activeVersion.revision == revision; });
  }
  void runFor(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    waitUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }
  ControlMachine& preferred() {
    return *machines[ControlPlaneEndpoints(settings.addresses, "n0", {}).preferenceOrder().front()];
  }
};

TEST_F(ClientTest, AppliesChangesAndReportsTheActiveVersion) {
  addMachines(1);
  machines[0]->publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  machines[0]->publish({tenantChange("b", 2), classChange("read", 5, 300)});
  ASSERT_TRUE(becomesActive(2));
  EXPECT_EQ(changes.back().tenants.size(), 1u);
  EXPECT_EQ(changes.back().classes.size(), 1u);
  EXPECT_TRUE(waitUntil([&] {
    return machines[0]->log.countGatewaysAtLeast({1, 2}) == 1;
  }));  // reported by the next poll
  EXPECT_EQ(machines[0]->log.snapshotsSent(), 1u);
}

TEST_F(ClientTest, ReportsRejectedRevisionOnceWithItsReason) {
  addMachines(1);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  publish({classChange("read", 1, 9000)});
  ASSERT_TRUE(waitUntil([&] { return machines[0]->log.reports().at("n0").rejected.has_value(); }));
  EXPECT_NE(machines[0]->log.reports().at("n0").rejected->reason.find("class/read.aim_ms: must be at most"),
            std::string::npos);
  const std::uint64_t polls = machines[0]->pollCount();
  runFor(milliseconds(700));
  EXPECT_LE(machines[0]->pollCount() - polls, 4u);  // one per wait of 300 ms
  EXPECT_EQ(client->statistics().rejected, 1u);
  EXPECT_EQ(std::count_if(logLines.begin(), logLines.end(),
                          [](const auto& line) { return line.find("1.2") != std::string::npos; }),
            1);
  publish({classChange("read", 1, 900)});
  ASSERT_TRUE(becomesActive(3));
}

TEST_F(ClientTest, FailsOverFromAKilledMachine) {
  addMachines(4);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  preferred().kill();
  publish({tenantChange("b", 1)});
  EXPECT_TRUE(becomesActive(2));
  EXPECT_GE(client->statistics().endpointFailures, 1u);
}

TEST_F(ClientTest, FailsOverFromAnUnresponsiveMachineAfterWaitAndSilenceTimeout) {
  addMachines(4);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  preferred().fault = ControlFault::unresponsive;
  const auto startedAt = std::chrono::steady_clock::now();
  publish({tenantChange("b", 1)});
  ASSERT_TRUE(becomesActive(2));
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, seconds(3));
}

// Two of four machines become unresponsive at the same time.
TEST_F(ClientTest, SecondUnresponsiveMachineDelaysFailoverOnlyByTheSilenceTimeout) {
  settings.longPollWait = milliseconds(1200);
  settings.backoff.minBackoff = settings.backoff.maxBackoff = seconds(5);  // longer than the test
  addMachines(4);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  const auto order = ControlPlaneEndpoints(settings.addresses, "n0", {}).preferenceOrder();
  machines[order[0]]->fault = ControlFault::unresponsive;
  machines[order[1]]->fault = ControlFault::unresponsive;
  publish({tenantChange("b", 1)});
  const auto startedAt = std::chrono::steady_clock::now();
  ASSERT_TRUE(becomesActive(2));
  // 1.2 s and 0.2 s at the first machine, 0.2 s at the second, and jitter. A long poll at the second machine
  // would add 1.2 s.
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, milliseconds(2500));
  EXPECT_EQ(client->statistics().endpointFailures, 2u);
}

TEST_F(ClientTest, FailsOverFromTruncatedAndInvalidResponses) {
  for (const ControlFault fault :
       {ControlFault::stalledResponse, ControlFault::truncatedResponse, ControlFault::malformedUpdate}) {
    SCOPED_TRACE(static_cast<int>(fault));
    client.reset();
    for (auto& machine : machines)
      retired.push_back(std::move(machine));  // the loop still has handlers of their connections
    machines.clear();
    settings.addresses.clear();
    settings.endpoints.clear();
    addMachines(2);
    publish({tenantChange("a", 1)});
    start();
    ASSERT_TRUE(becomesActive(1));
    preferred().fault = fault;
    publish({tenantChange("b", 1)});
    ASSERT_TRUE(becomesActive(2));
    EXPECT_GE(client->statistics().endpointFailures, 1u);
  }
}

TEST_F(ClientTest, FailsOverFromAStaleReplica) {
  addMachines(2);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  ControlMachine& staleMachine = preferred();
  for (const auto& machine : machines)
    if (machine.get() != &staleMachine) {
      machine->publish({tenantChange("b", 1)});
      machine->publish({tenantChange("c", 1)});
    }
  staleMachine.kill();
  ASSERT_TRUE(becomesActive(3));
  staleMachine.restart();
  ASSERT_TRUE(waitUntil([&] { return client->statistics().stale > 0; }));
  EXPECT_EQ(client->statistics().activeVersion.revision, 3u);
  publish({tenantChange("d", 1)});
  EXPECT_TRUE(becomesActive(4));
}

TEST_F(ClientTest, ReportsConflictOfMachinesUntilTheNextRevision) {
  addMachines(2);
  machines[0]->publish({tenantChange("a", 1)});
  machines[1]->publish({tenantChange("a", 2)});
  start();
  ASSERT_TRUE(becomesActive(1));
  preferred().kill();
  ASSERT_TRUE(waitUntil([&] { return client->statistics().conflicts == 1; }));
  ControlMachine& other = &preferred() == machines[0].get() ? *machines[1] : *machines[0];
  const std::uint64_t snapshotsBefore = other.log.snapshotsSent();
  runFor(milliseconds(500));
  EXPECT_LE(other.log.snapshotsSent() - snapshotsBefore, 1u);  // the snapshot is not sent with each poll
  other.publish({tenantChange("b", 2)});
  EXPECT_TRUE(becomesActive(2));
}

TEST_F(ClientTest, HonoursRetryAfterOfAMachineWithoutCapacity) {
  machines.push_back(std::make_unique<ControlMachine>(io, fake_upstream::ControlLog::Settings{1, 1000, 400}));
  settings.addresses = {machines[0]->address()};
  settings.endpoints = {machines[0]->endpoint()};
  std::vector<DocumentChange> allTenants;
  for (int i = 0; i < 10; ++i) allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
  machines[0]->publish(allTenants);  // about 500 bytes, more than the budget of one second
  const PollRequest another{"other", {}, {}};
  const double now =
      std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  ASSERT_EQ(machines[0]->log.answer(another, now)->status, 200u);
  ASSERT_EQ(machines[0]->log.answer(another, now)->status, 503u);
  start();
  ASSERT_TRUE(waitUntil([&] { return client->statistics().polls >= 1; }));
  ASSERT_TRUE(becomesActive(1));
  EXPECT_EQ(client->statistics().endpointFailures, 0u);
  EXPECT_LE(client->statistics().polls, 6u);
}

TEST_F(ClientTest, AppliesTheStoredVersionBeforeTheFirstPoll) {
  addMachines(1);
  settings.snapshotPath = (folder / "configuration.json").string();
  publish({tenantChange("a", 1), classChange("read", 5, 300)});
  start();
  ASSERT_TRUE(becomesActive(1));
  ASSERT_TRUE(waitUntil([&] { return std::filesystem::exists(settings.snapshotPath); }));
  client.reset();
  machines[0]->kill();
  changes.clear();
  start();
  EXPECT_EQ(client->statistics().activeVersion, (Version{1, 1}));
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(client->statistics().tenantCount, 1u);
  machines[0]->restart();
  publish({tenantChange("b", 1)});
  ASSERT_TRUE(becomesActive(2));
  EXPECT_EQ(machines[0]->log.snapshotsSent(), 1u);  // no further snapshot was needed
}

// The file contains the complete configuration, so writing it at each change of a burst would be too
// expensive.
TEST_F(ClientTest, WritesTheFileOnceForABurstOfChanges) {
  addMachines(1);
  settings.snapshotPath = (folder / "configuration.json").string();
  settings.minPollInterval = milliseconds(0);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(waitUntil([&] { return std::filesystem::exists(settings.snapshotPath); }));
  for (int i = 2; i < 12; ++i) {
    publish({tenantChange("a", i)});
    ASSERT_TRUE(becomesActive(static_cast<std::uint64_t>(i)));
  }
  runFor(milliseconds(50));
  EXPECT_EQ(parseUpdate(*readFileIfExists(settings.snapshotPath)).version, (Version{1, 1}));
}

TEST_F(ClientTest, TruncatedFileIsLoggedAndInitialSettingsStayActive) {
  addMachines(1);
  settings.snapshotPath = (folder / "configuration.json").string();
  ConfigurationStore store(initialSettings());
  fake_upstream::ControlLog log;
  log.publish({tenantChange("a", 1)});
  applyNextUpdate(log, store);
  const std::string text = store.serialize();
  for (std::size_t length = 0; length < text.size(); ++length) {
    std::ofstream(settings.snapshotPath, std::ios::trunc) << text.substr(0, length);
    logLines.clear();
    start();
    EXPECT_EQ(client->statistics().activeVersion, Version{}) << length;
    EXPECT_EQ(logLines.size(), 1u) << length;
    EXPECT_EQ(client->statistics().tenantCount, 2u);
    client.reset();
  }
  EXPECT_TRUE(changes.empty());
}

TEST_F(ClientTest, UnwritableFileIsLoggedAndTheVersionBecomesActive) {
  addMachines(1);
  settings.snapshotPath = (folder / "missing" / "configuration.json").string();
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  ASSERT_TRUE(waitUntil([&] { return !logLines.empty(); }));
  ASSERT_EQ(logLines.size(), 1u);
  EXPECT_NE(logLines[0].find("cannot be made"), std::string::npos);
}

TEST_F(ClientTest, InitialSettingsStayActiveAndPollsAreBoundedWithoutMachines) {
  addMachines(1);
  machines[0]->kill();
  start();
  runFor(milliseconds(600));
  EXPECT_EQ(client->statistics().activeVersion, Version{});
  EXPECT_LE(client->statistics().polls, 12u);
  machines[0]->restart();
  publish({tenantChange("a", 1)});
  EXPECT_TRUE(becomesActive(1));
}

// A machine that responds to every poll immediately must not be polled in a tight loop.
TEST_F(ClientTest, KeepsTheMinimumPollInterval) {
  settings.minPollInterval = milliseconds(100);
  settings.longPollWait = milliseconds(100);
  addMachines(1);
  publish({tenantChange("a", 1)});
  start();
  ASSERT_TRUE(becomesActive(1));
  const std::uint64_t polls = client->statistics().polls;
  const auto end = std::chrono::steady_clock::now() + seconds(1);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    publish({tenantChange("b", i)});
    runFor(milliseconds(5));
  }
  EXPECT_LE(client->statistics().polls - polls, 12u);
  EXPECT_TRUE(waitUntil([&] { return client->statistics().activeVersion == machines[0]->log.version(); }));
}

// A response takes longer than the silence timeout while data keeps arriving, as a snapshot for many gateways
// does.
TEST_F(ClientTest, WaitsForASlowResponseUpToTheMaximumResponseTime) {
  for (const bool exceedsMaximum : {false, true}) {
    SCOPED_TRACE(exceedsMaximum);
    client.reset();
    fake_upstream::ControlLog log;
    std::vector<DocumentChange> allTenants;
    for (int i = 0; i < 200; ++i) allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
    log.publish(allTenants);
    const std::string body = log.answer({"n0", {}, {}}, 0)->body;
    const std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket peer(io);
    acceptor.async_accept(peer, [](boost::system::error_code) {});
    settings.addresses = {"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    settings.endpoints = {acceptor.local_endpoint()};
    settings.maxResponseTime = exceedsMaximum ? milliseconds(400) : milliseconds(5000);
    start();
    ASSERT_TRUE(waitUntil([&] { return peer.is_open(); }));
    // In ten pieces, 100 ms apart: longer than the long-poll wait and the silence timeout together.
    std::size_t sent = 0;
    while (sent < text.size() && client->statistics().endpointFailures == 0) {
      const std::size_t piece = std::min(text.size() / 10 + 1, text.size() - sent);
      boost::system::error_code ignored;
      sent += asio::write(peer, asio::buffer(text.data() + sent, piece), ignored);
      runFor(milliseconds(100));
    }
    if (exceedsMaximum) EXPECT_EQ(client->statistics().endpointFailures, 1u);
    else EXPECT_TRUE(becomesActive(1));
    client.reset();
    runFor(milliseconds(20));
  }
}

// Only one poll is pending at a time, and no update is lost.
TEST_F(ClientTest, StopAndStartWhileTheWorkerIsBusyKeepsOnePoll) {
  addMachines(1);
  std::vector<DocumentChange> allTenants;
  for (int i = 0; i < 20000; ++i) allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
  publish(allTenants);
  start();
  for (int i = 0; i < 20; ++i) {
    runFor(milliseconds(7));
    client->stop();
    client->start();
  }
  ASSERT_TRUE(becomesActive(1));
  publish({tenantChange("t1", 2)});
  ASSERT_TRUE(becomesActive(2));
  EXPECT_EQ(changes.size(), 2u);
  EXPECT_EQ(client->statistics().endpointFailures, 0u);  // a second poll would cancel the first
  const std::uint64_t polls = machines[0]->pollCount();
  runFor(milliseconds(950));
  EXPECT_LE(machines[0]->pollCount() - polls, 4u);
}

TEST_F(ClientTest, WorkerDropsResultsOfADestroyedClient) {
  addMachines(1);
  std::vector<DocumentChange> allTenants;
  for (int i = 0; i < 20000; ++i) allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
  publish(allTenants);
  start();
  ASSERT_TRUE(waitUntil([&] { return machines[0]->bytesSent() > 0; }));
  client.reset();
  worker.join();
  runFor(milliseconds(50));
  EXPECT_TRUE(changes.empty());
}

}  // namespace
}  // namespace finchstile::configuration::testing
