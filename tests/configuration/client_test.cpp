// A gateway's side of the distribution over loopback sockets, with control machines that fail.
#include "configuration/client.hpp"

#include <unistd.h>

#include <boost/asio/thread_pool.hpp>
#include <filesystem>
#include <fstream>

#include "configuration/documents.hpp"
#include "configuration/file.hpp"
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
  std::vector<SettingsChange> taken;
  std::vector<std::string> lines;
  ConfigurationSettings settings;
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("finchstile-configuration-" + std::to_string(::getpid()));

  void SetUp() override {
    std::filesystem::create_directories(folder);
    settings.wait = milliseconds(300);
    settings.silence = milliseconds(200);
    settings.pace = milliseconds(10);
    settings.sources = {milliseconds(20), milliseconds(50), milliseconds(400)};
  }
  void TearDown() override {
    client.reset();
    worker.join();
    std::filesystem::remove_all(folder);
  }

  void machinesOf(int count) {
    for (int i = 0; i < count; ++i) {
      machines.push_back(std::make_unique<ControlMachine>(io, fake_upstream::ControlLog::Settings{}));
      settings.addresses.push_back(machines.back()->address());
      settings.endpoints.push_back(machines.back()->endpoint());
    }
  }
  void start() {
    client = std::make_unique<Client>(
        io, worker.get_executor(), clock, settings, "n0", 7, startSettings(),
        [this](const SettingsChange& change) { taken.push_back(change); },
        [this](const std::string& line) { lines.push_back(line); });
    client->start();
  }
  void publish(const std::vector<Change>& changes) {
    for (const auto& machine : machines) machine->publish(changes);
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  bool inForce(std::uint64_t revision) {
    return until([&] { return client->figures().inForce.revision == revision; });
  }
  void play(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    until([&] { return std::chrono::steady_clock::now() >= end; });
  }
  ControlMachine& preferred() { return *machines[Sources(settings.addresses, "n0", {}).order().front()]; }
};

TEST_F(ClientTest, ChangesAreInForceAndTold) {
  machinesOf(1);
  machines[0]->publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  machines[0]->publish({tenant("b", 2), classOf("read", 5, 300)});
  ASSERT_TRUE(inForce(2));
  EXPECT_EQ(taken.back().tenants.size(), 1u);
  EXPECT_EQ(taken.back().classes.size(), 1u);
  EXPECT_TRUE(until([&] { return machines[0]->log.have({1, 2}) == 1; }));  // the next poll tells
  EXPECT_EQ(machines[0]->log.wholes(), 1u);
}

TEST_F(ClientTest, ABadRevisionIsReportedWithItsReasonAndNotTriedInALoop) {
  machinesOf(1);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  publish({classOf("read", 1, 9000)});
  ASSERT_TRUE(until([&] { return machines[0]->log.reports().at("n0").turnedDown.has_value(); }));
  EXPECT_NE(machines[0]->log.reports().at("n0").turnedDown->reason.find("class/read.aim_ms: must be at most"),
            std::string::npos);
  const std::uint64_t polls = machines[0]->polls();
  play(milliseconds(700));
  EXPECT_LE(machines[0]->polls() - polls, 4u);  // one for each wait of 300 ms
  EXPECT_EQ(client->figures().turnedDown, 1u);
  EXPECT_EQ(std::count_if(lines.begin(), lines.end(),
                          [](const auto& line) { return line.find("1.2") != std::string::npos; }),
            1);
  publish({classOf("read", 1, 900)});
  ASSERT_TRUE(inForce(3));
}

// Hard cases: a control machine that is killed, silent, answers in half, or nonsense.
TEST_F(ClientTest, AMachineThatIsKilledIsLeftForAnother) {
  machinesOf(4);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  preferred().kill();
  publish({tenant("b", 1)});
  EXPECT_TRUE(inForce(2));
  EXPECT_GE(client->figures().sourceFailures, 1u);
}

TEST_F(ClientTest, AMachineThatFallsSilentIsLeftWithinItsWaitAndTheSilence) {
  machinesOf(4);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  preferred().fault = ControlFault::silent;
  const auto begun = std::chrono::steady_clock::now();
  publish({tenant("b", 1)});
  ASSERT_TRUE(inForce(2));
  EXPECT_LT(std::chrono::steady_clock::now() - begun, seconds(3));
}

// Hard case: two of four machines fall silent at once. The second one costs its silence, and no wait before
// it.
TEST_F(ClientTest, OfTwoSilentMachinesTheSecondIsLeftAfterItsSilenceAlone) {
  settings.wait = milliseconds(1200);
  settings.sources.retryLeast = settings.sources.retryMost = seconds(5);  // none comes back meanwhile
  machinesOf(4);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  const auto order = Sources(settings.addresses, "n0", {}).order();
  machines[order[0]]->fault = ControlFault::silent;
  machines[order[1]]->fault = ControlFault::silent;
  publish({tenant("b", 1)});
  const auto begun = std::chrono::steady_clock::now();
  ASSERT_TRUE(inForce(2));
  // 1.2 s and 0.2 s of the first, 0.2 s of the second, and some jitter; 1.2 s more if the second were waited
  // for.
  EXPECT_LT(std::chrono::steady_clock::now() - begun, milliseconds(2500));
  EXPECT_EQ(client->figures().sourceFailures, 2u);
}

TEST_F(ClientTest, HalfAnAnswerOrNonsenseIsNotTakenAndAnotherMachineIsAsked) {
  for (const ControlFault fault : {ControlFault::half, ControlFault::cut, ControlFault::garbled}) {
    SCOPED_TRACE(static_cast<int>(fault));
    client.reset();
    for (auto& machine : machines)
      retired.push_back(std::move(machine));  // calls of theirs are still in the loop
    machines.clear();
    settings.addresses.clear();
    settings.endpoints.clear();
    machinesOf(2);
    publish({tenant("a", 1)});
    start();
    ASSERT_TRUE(inForce(1));
    preferred().fault = fault;
    publish({tenant("b", 1)});
    ASSERT_TRUE(inForce(2));
    EXPECT_GE(client->figures().sourceFailures, 1u);
  }
}

TEST_F(ClientTest, AReplicaThatLagsIsLeftForOneThatDoesNot) {
  machinesOf(2);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  ControlMachine& behind = preferred();
  for (const auto& machine : machines)
    if (machine.get() != &behind) {
      machine->publish({tenant("b", 1)});
      machine->publish({tenant("c", 1)});
    }
  behind.kill();
  ASSERT_TRUE(inForce(3));
  behind.restart();
  ASSERT_TRUE(until([&] { return client->figures().behind > 0; }));
  EXPECT_EQ(client->figures().inForce.revision, 3u);
  publish({tenant("d", 1)});
  EXPECT_TRUE(inForce(4));
}

TEST_F(ClientTest, TwoMachinesThatDisagreeAreToldAndEndWithTheNextRevision) {
  machinesOf(2);
  machines[0]->publish({tenant("a", 1)});
  machines[1]->publish({tenant("a", 2)});
  start();
  ASSERT_TRUE(inForce(1));
  preferred().kill();
  ASSERT_TRUE(until([&] { return client->figures().conflicts == 1; }));
  ControlMachine& other = &preferred() == machines[0].get() ? *machines[1] : *machines[0];
  const std::uint64_t wholes = other.log.wholes();
  play(milliseconds(500));
  EXPECT_LE(other.log.wholes() - wholes, 1u);  // not in a loop
  other.publish({tenant("b", 2)});
  EXPECT_TRUE(inForce(2));
}

TEST_F(ClientTest, AMachineWithNoRoomForAWholeSaysWhenAndIsHeeded) {
  machines.push_back(std::make_unique<ControlMachine>(io, fake_upstream::ControlLog::Settings{1, 1000, 400}));
  settings.addresses = {machines[0]->address()};
  settings.endpoints = {machines[0]->endpoint()};
  std::vector<Change> all;
  for (int i = 0; i < 10; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
  machines[0]->publish(all);  // some 500 bytes: more than a second's budget
  const Poll another{"other", {}, {}};
  const double now =
      std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
  ASSERT_EQ(machines[0]->log.answer(another, now)->status, 200u);
  ASSERT_EQ(machines[0]->log.answer(another, now)->status, 503u);
  start();
  ASSERT_TRUE(until([&] { return client->figures().polls >= 1; }));
  ASSERT_TRUE(inForce(1));
  EXPECT_EQ(client->figures().sourceFailures, 0u);
  EXPECT_LE(client->figures().polls, 6u);
}

TEST_F(ClientTest, TheLastGoodVersionOnDiskIsInForceBeforeAnyMachineIsAsked) {
  machinesOf(1);
  settings.file = (folder / "configuration.json").string();
  publish({tenant("a", 1), classOf("read", 5, 300)});
  start();
  ASSERT_TRUE(inForce(1));
  ASSERT_TRUE(until([&] { return std::filesystem::exists(settings.file); }));
  client.reset();
  machines[0]->kill();
  taken.clear();
  start();
  EXPECT_EQ(client->figures().inForce, (Version{1, 1}));
  ASSERT_EQ(taken.size(), 1u);
  EXPECT_EQ(client->figures().tenants, 1u);
  machines[0]->restart();
  publish({tenant("b", 1)});
  ASSERT_TRUE(inForce(2));
  EXPECT_EQ(machines[0]->log.wholes(), 1u);  // the changes were enough
}

// Danger: the whole is written for a change of one tenant too; at each change of a burst it would cost more
// than the gateway may spend on control.
TEST_F(ClientTest, ManyChangesWriteTheFileOnce) {
  machinesOf(1);
  settings.file = (folder / "configuration.json").string();
  settings.pace = milliseconds(0);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(until([&] { return std::filesystem::exists(settings.file); }));
  for (int i = 2; i < 12; ++i) {
    publish({tenant("a", i)});
    ASSERT_TRUE(inForce(static_cast<std::uint64_t>(i)));
  }
  play(milliseconds(50));
  EXPECT_EQ(parseUpdate(*readWhole(settings.file)).version, (Version{1, 1}));
}

// Hard case: the file is cut at each byte, or another's.
TEST_F(ClientTest, AFileThatIsNotWholeIsToldAndTheStartsConfigurationHolds) {
  machinesOf(1);
  settings.file = (folder / "configuration.json").string();
  Store store(startSettings());
  fake_upstream::ControlLog log;
  log.publish({tenant("a", 1)});
  sync(log, store);
  const std::string text = store.text();
  for (std::size_t length = 0; length < text.size(); ++length) {
    std::ofstream(settings.file, std::ios::trunc) << text.substr(0, length);
    lines.clear();
    start();
    EXPECT_EQ(client->figures().inForce, Version{}) << length;
    EXPECT_EQ(lines.size(), 1u) << length;
    EXPECT_EQ(client->figures().tenants, 2u);
    client.reset();
  }
  EXPECT_TRUE(taken.empty());
}

TEST_F(ClientTest, AFileThatCannotBeWrittenIsToldAndTheVersionIsInForceAllTheSame) {
  machinesOf(1);
  settings.file = (folder / "missing" / "configuration.json").string();
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  ASSERT_TRUE(until([&] { return !lines.empty(); }));
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find("can not be made"), std::string::npos);
}

TEST_F(ClientTest, NoMachineAtAllLeavesTheStartsConfigurationAndFewCalls) {
  machinesOf(1);
  machines[0]->kill();
  start();
  play(milliseconds(600));
  EXPECT_EQ(client->figures().inForce, Version{});
  EXPECT_LE(client->figures().polls, 12u);
  machines[0]->restart();
  publish({tenant("a", 1)});
  EXPECT_TRUE(inForce(1));
}

// A machine that answers at once though it has no news must not be asked in a tight loop.
TEST_F(ClientTest, CallsArePaced) {
  settings.pace = milliseconds(100);
  settings.wait = milliseconds(100);
  machinesOf(1);
  publish({tenant("a", 1)});
  start();
  ASSERT_TRUE(inForce(1));
  const std::uint64_t polls = client->figures().polls;
  const auto end = std::chrono::steady_clock::now() + seconds(1);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    publish({tenant("b", i)});
    play(milliseconds(5));
  }
  EXPECT_LE(client->figures().polls - polls, 12u);
  EXPECT_TRUE(until([&] { return client->figures().inForce == machines[0]->log.version(); }));
}

// An answer that takes longer than the silence, and keeps coming: a whole for many gateways at once.
TEST_F(ClientTest, AnAnswerThatKeepsComingIsWaitedForAndOneThatDribblesIsNot) {
  for (const bool dribbles : {false, true}) {
    SCOPED_TRACE(dribbles);
    client.reset();
    fake_upstream::ControlLog log;
    std::vector<Change> all;
    for (int i = 0; i < 200; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
    log.publish(all);
    const std::string body = log.answer({"n0", {}, {}}, 0)->body;
    const std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket peer(io);
    acceptor.async_accept(peer, [](boost::system::error_code) {});
    settings.addresses = {"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    settings.endpoints = {acceptor.local_endpoint()};
    settings.whole = dribbles ? milliseconds(400) : milliseconds(5000);
    start();
    ASSERT_TRUE(until([&] { return peer.is_open(); }));
    // In ten pieces, 100 ms apart: longer than `wait` and `silence` together.
    std::size_t sent = 0;
    while (sent < text.size() && client->figures().sourceFailures == 0) {
      const std::size_t piece = std::min(text.size() / 10 + 1, text.size() - sent);
      boost::system::error_code ignored;
      sent += asio::write(peer, asio::buffer(text.data() + sent, piece), ignored);
      play(milliseconds(100));
    }
    if (dribbles) EXPECT_EQ(client->figures().sourceFailures, 1u);
    else EXPECT_TRUE(inForce(1));
    client.reset();
    play(milliseconds(20));
  }
}

// Hard case: stopped and started again while its worker still reads: one poll is out, and nothing is lost.
TEST_F(ClientTest, StoppedAndStartedWhileItsWorkerIsBusyItAsksOnceAtATime) {
  machinesOf(1);
  std::vector<Change> all;
  for (int i = 0; i < 20000; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
  publish(all);
  start();
  for (int i = 0; i < 20; ++i) {
    play(milliseconds(7));
    client->stop();
    client->start();
  }
  ASSERT_TRUE(inForce(1));
  publish({tenant("t1", 2)});
  ASSERT_TRUE(inForce(2));
  EXPECT_EQ(taken.size(), 2u);
  EXPECT_EQ(client->figures().sourceFailures, 0u);  // a second call would spoil the answer of the first
  const std::uint64_t polls = machines[0]->polls();
  play(milliseconds(950));
  EXPECT_LE(machines[0]->polls() - polls, 4u);
}

TEST_F(ClientTest, AClientThatIsGoneIsNotCalledByItsWorker) {
  machinesOf(1);
  std::vector<Change> all;
  for (int i = 0; i < 20000; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
  publish(all);
  start();
  ASSERT_TRUE(until([&] { return machines[0]->bytesSent() > 0; }));
  client.reset();
  worker.join();
  play(milliseconds(50));
  EXPECT_TRUE(taken.empty());
}

}  // namespace
}  // namespace finchstile::configuration::testing
