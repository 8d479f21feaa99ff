// The program with [configuration] in the operator's file: signals and restarts during a configuration
// change.
#include <csignal>

#include "control_machine.hpp"
#include "support/process.hpp"
#include "support/reserved_endpoint.hpp"
#include "support/sockets.hpp"

namespace finchstile::testing {
namespace {

using configuration::DocumentChange;
using configuration::TenantDocument;
using std::chrono::milliseconds;

struct ConfiguredProgram : ::testing::Test {
  asio::io_context io;
  Server discovery{io, [](const auto&, const Received&) {}};
  Server host{io, [](const auto& peer, const Received&) { peer->reply(200, "ok"); }};
  fake_upstream::ControlMachine machine{io, fake_upstream::ControlLog::Settings{}};
  TemporaryDirectory folder;
  std::unique_ptr<Process> program;
  tcp::endpoint at;
  std::uint64_t pollsBefore = 0;

  void configure() {
    at = reserveEndpoint(io);
    json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
    config["listen"] = text(at);
    folder.write("config.json", config.dump());
    folder.write("operator.toml", "[configuration]\nenabled = true\nsources = [\"" + machine.address() +
                                      "\"]\nwait = \"300ms\"\nfile = \"kept.json\"\n");
  }
  void launch() {
    pollsBefore = machine.pollCount();
    setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
    program = std::make_unique<Process>(
        FINCHSTILE_PROGRAM, std::vector<std::string>{"run", "--operator", folder / "operator.toml"},
        folder / "log");
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  // Waits until the process that was launched last has reported this revision. Returns false if it has ended.
  bool reports(std::uint64_t revision) {
    const auto has = [&] {
      return machine.pollCount() > pollsBefore && machine.log.countGatewaysAtLeast({1, revision}) == 1;
    };
    return until([&] { return has() || program->ended(); }) && !program->ended();
  }
  static std::vector<DocumentChange> manyTenants(double quota) {
    std::vector<DocumentChange> all;
    for (int i = 0; i < 27000; ++i) {
      const std::string name = "tenant-" + std::to_string(i);
      all.push_back({"tenant/" + name, TenantDocument{name, quota}});
    }
    return all;
  }
};

// The process exits regularly. The next one uses the last accepted version from its start on and requests no
// complete snapshot.
TEST_F(ConfiguredProgram, KeepsTheLastAcceptedVersionAcrossSignalsAndRestartDuringAChange) {
  configure();
  machine.publish(manyTenants(1));
  launch();
  ASSERT_TRUE(reports(1)) << program->logged();
  machine.publish(manyTenants(2));
  program->signal(SIGHUP);
  ASSERT_TRUE(reports(2)) << program->logged();
  machine.publish(manyTenants(3));
  program->signal(SIGHUP);
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0) << program->logged();
  const std::uint64_t snapshotsBefore = machine.log.snapshotsSent();
  launch();
  ASSERT_TRUE(reports(3)) << program->logged();
  EXPECT_NE(program->logged().find("in force, from "), std::string::npos) << program->logged();
  EXPECT_EQ(machine.log.snapshotsSent(), snapshotsBefore);
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
}

// SIGKILL at any moment of a file write leaves the previous or the next version, complete.
TEST_F(ConfiguredProgram, KillDuringAFileWriteLeavesACompleteVersion) {
  configure();
  machine.publish(manyTenants(1));
  std::uint64_t last = 0;
  for (int i = 0; i < 6; ++i) {
    launch();
    const std::uint64_t revision = machine.log.version().revision;
    ASSERT_TRUE(reports(revision)) << program->logged();
    ASSERT_TRUE(until([&] { return std::filesystem::exists(folder / "kept.json"); }));
    machine.publish(manyTenants(2 + i));
    const auto end = std::chrono::steady_clock::now() + milliseconds(5 + 17 * i);
    until([&] { return std::chrono::steady_clock::now() >= end; });
    program->signal(SIGKILL);
    ASSERT_TRUE(until([&] { return program->ended(); }));
    const configuration::Update kept = configuration::parseUpdate(readFile(folder / "kept.json"));
    EXPECT_EQ(kept.changes.size(), 27000u);
    EXPECT_TRUE(kept.errors.empty());
    EXPECT_GE(kept.version.revision, last);  // revisions never decrease
    last = kept.version.revision;
  }
}

TEST_F(ConfiguredProgram, ReportsInvalidSettingsWithTheirLine) {
  configure();
  folder.write(
      "operator.toml",
      "[configuration]\nenabled = true\nsources = [\"10.0.0.1\"]\nwait = \"0s\"\nretry_least = \"20s\"\n"
      "retry_most = \"1s\"\nfiel = \"x\"\n[idempotency]\nenabled = true\n");
  launch();
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_NE(program->wait(), 0);
  const std::string log = program->logged();
  for (const char* part :
       {":3: configuration.sources has '10.0.0.1', which is no address and port, as 10.0.0.1:7000 is",
        ":4: configuration.wait", ":6: configuration.retry_most must be as long as configuration.retry_least",
        ":7: unknown key configuration.fiel", "can't be enabled together with [idempotency]"})
    EXPECT_NE(log.find(part), std::string::npos) << part << " in\n" << log;
}

}  // namespace
}  // namespace finchstile::testing
