// Runs many gateways without traffic in one process, with the real control code (the gateway with its
// decision module, the discovery client and the configuration client), against a fake discovery service and
// fake control machines on loopback. Reports the time from publication of a change until it is in force, and
// the bytes, processor time and memory that control costs each gateway.
//
//   build-bench/finchstile-simulated-gateways [--gateways N] [--hosts N] [--tenants N] [--machines N]
//   [--changes N]
//                                 [--scenario NAME] [--seed N] [--most-seconds N] [--out FILE.tsv]
//
// Scenarios: idle; single (one change at a time); burst (27 changes per second); kill, silent and silent2
// (one control machine is stopped, or one or two do not answer, at each change); restart (of a tenth of the
// gateways at each change); apart (half of the gateways are disconnected for 70 changes); start (all gateways
// at the same time); hosts (changes of hosts).
#include <pthread.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "configuration/client.hpp"
#include "control_machine.hpp"
#include "fake_upstream_config.hpp"
#include "long_poll_discovery.hpp"
#include "measure.hpp"
#include "net/gateway.hpp"

namespace finchstile::simulated_gateways {
namespace {

namespace asio = boost::asio;
using bench::Samples;
using configuration::DocumentChange;
using configuration::TenantDocument;
using fake_upstream::tenantName;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr double kMaxMemoryFraction = 0.5;         // maximum fraction of the machine's memory
constexpr std::size_t kDescriptorsPerGateway = 5;  // its listener and both ends of two connections
constexpr std::size_t kOtherDescriptors = 200;
// Memory needed by a gateway and by each of its hosts and tenants, rounded up.
constexpr double kBytesPerGateway = 200e3, kBytesPerHost = 6000, kBytesPerTenant = 700;
constexpr const char* kUnreachableAddress = "127.0.0.1:1";  // address of all hosts; no request is sent there
constexpr int kChangesPerScenario = 10;
constexpr double kBurstChangesPerSecond = 1600.0 / 60;
constexpr std::size_t kChangesWhileDisconnected = 70;
constexpr std::size_t kRestartStride = 10;  // at each change, one gateway in this many restarts
constexpr seconds kIdleDuration(10);
constexpr seconds kWaitTimeout(180);
constexpr std::size_t kWorkerThreads = 4;
constexpr std::size_t kRetainedRevisions = 10000;  // revisions whose changes a control machine keeps
constexpr double kSnapshotBytesPerSecond = 25e6;   // limit for snapshots of one control machine
const std::vector<std::string> kScenarios = {"idle",    "single",  "burst", "kill",  "silent",
                                             "silent2", "restart", "apart", "start", "hosts"};

struct Options {
  std::size_t gateways = 520, hosts = 46, tenants = 27000, machines = 4, changes = 400;
  std::uint64_t seed = 1;
  std::size_t maxSeconds = 0;  // limit for the time until a change is in force; 0: no limit
  std::string scenario, out;
};

std::size_t readCount(const std::string& name, const std::string& text, std::size_t minValue,
                      std::size_t maxValue) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < minValue || value > maxValue)
    throw std::invalid_argument(name + " must be a number from " + std::to_string(minValue) + " to " +
                                std::to_string(maxValue) + ", and is '" + text + "'");
  return value;
}

Options readOptions(int argc, char** argv) {
  Options o;
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (i + 1 >= argc) throw std::invalid_argument(name + " needs a value");
    const std::string value = argv[i + 1];
    if (name == "--gateways") o.gateways = readCount(name, value, 1, 100000);
    else if (name == "--hosts") o.hosts = readCount(name, value, 1, 65535);
    else if (name == "--tenants") o.tenants = readCount(name, value, 1, load_balancing::kMaxTenants);
    else if (name == "--machines") o.machines = readCount(name, value, 1, 64);
    else if (name == "--changes") o.changes = readCount(name, value, 1, 100000);
    else if (name == "--seed") o.seed = readCount(name, value, 0, SIZE_MAX);
    else if (name == "--most-seconds") o.maxSeconds = readCount(name, value, 1, 3600);
    else if (name == "--scenario") o.scenario = value;
    else if (name == "--out") o.out = value;
    else throw std::invalid_argument("unknown option " + name);
  }
  if (!o.scenario.empty() && std::find(kScenarios.begin(), kScenarios.end(), o.scenario) == kScenarios.end())
    throw std::invalid_argument("there is no scenario '" + o.scenario + "'");
  return o;
}

double totalMemoryBytes() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  double kilobytes = 0;
  file >> name >> kilobytes;
  return kilobytes * 1024;
}

// Throws if the number of gateways exceeds the memory or descriptors of this machine; the error gives the
// maximum. Called before anything is started.
void checkSize(const Options& o) {
  const double bytesPerGateway = kBytesPerGateway + kBytesPerHost * static_cast<double>(o.hosts) +
                                 kBytesPerTenant * static_cast<double>(o.tenants);
  const auto maxByMemory =
      static_cast<std::size_t>(kMaxMemoryFraction * totalMemoryBytes() / bytesPerGateway);
  rlimit descriptorLimit{};
  getrlimit(RLIMIT_NOFILE, &descriptorLimit);
  const std::size_t availableDescriptors =
      descriptorLimit.rlim_cur > kOtherDescriptors ? descriptorLimit.rlim_cur - kOtherDescriptors : 0;
  const std::size_t maxByDescriptors = availableDescriptors / kDescriptorsPerGateway;
  const std::size_t maxGateways = std::min(maxByMemory, maxByDescriptors);
  if (o.gateways <= maxGateways) return;
  throw std::invalid_argument(
      std::to_string(o.gateways) + " gateways do not fit: " + std::to_string(maxGateways) + " with " +
      std::to_string(o.hosts) + " hosts and " + std::to_string(o.tenants) + " tenants, by " +
      (maxByMemory < maxByDescriptors ? "half of the memory" : "descriptors"));
}

DocumentChange tenant(std::size_t i, double quota) {
  return {"tenant/" + tenantName(i), TenantDocument{tenantName(i), quota}};
}

// The control machines and discovery. They run on a separate thread, so that their processor time can be
// subtracted from that of the gateways.
class ControlPlane {
 public:
  explicit ControlPlane(const Options& o)
      : discovery_(io_, fake_upstream::hostsJson(o.hosts, kUnreachableAddress)) {
    for (std::size_t i = 0; i < o.machines; ++i)
      machines_.push_back(std::make_unique<fake_upstream::ControlMachine>(
          io_, fake_upstream::ControlLog::Settings{1, kRetainedRevisions, kSnapshotBytesPerSecond}));
    std::vector<DocumentChange> all;
    for (std::size_t i = 0; i < o.tenants; ++i) all.push_back(tenant(i, 50));
    for (auto& machine : machines_) machine->log.publish(all);
    thread_ = std::thread([this] { io_.run(); });
    pthread_getcpuclockid(thread_.native_handle(), &processorClock_);
  }
  ~ControlPlane() {
    io_.stop();
    thread_.join();
  }
  // Runs `task` on the thread of the control machines and returns its result.
  template <class Task>
  auto runOnControlThread(Task task) {
    std::promise<decltype(task())> result;
    asio::post(io_, [&] { result.set_value(task()); });
    return result.get_future().get();
  }
  // Publishes a revision at all machines; replication between the machines is not simulated.
  configuration::Version publish(const std::vector<DocumentChange>& changes) {
    return runOnControlThread([&] {
      configuration::Version version;
      for (auto& machine : machines_) version = machine->publish(changes);
      return version;
    });
  }
  fake_upstream::ControlMachine& machine(std::size_t i) { return *machines_[i % machines_.size()]; }
  std::size_t machines() const { return machines_.size(); }
  fake_upstream::LongPollDiscovery& discovery() { return discovery_; }
  double processorSeconds() const {
    timespec t{};
    clock_gettime(processorClock_, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
  }

 private:
  asio::io_context io_{1};
  fake_upstream::LongPollDiscovery discovery_;
  std::vector<std::unique_ptr<fake_upstream::ControlMachine>> machines_;
  std::thread thread_;
  clockid_t processorClock_{};
};

// A gateway without traffic.
struct SimulatedGateway {
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<configuration::Client> client;
  std::uint64_t revision = 0;                       // active
  std::map<std::uint64_t, SteadyTime> activatedAt;  // by revision
};

class SimulatedGateways {
 public:
  explicit SimulatedGateways(const Options& options)
      : options_(options), control_(options), engine_(options.seed), table_(options.out) {
    fake_upstream::RequestClass read{"read", "retryable", "all", 1};
    json settings =
        fake_upstream::settingsJson(json::array({fake_upstream::classJson(read)}), true, "zone-0");
    settings["groupSize"] = options.gateways;
    config_ = {{"name", "n0"},
               {"listen", "127.0.0.1:0"},
               {"discovery", control_.discovery().address()},
               {"seed", "1"},
               {"limits", {{"sockets", 256}}},
               {"known", fake_upstream::listJson(
                             1, true, fake_upstream::hostsJson(options.hosts, kUnreachableAddress))},
               {"settings", settings}};
    for (std::size_t i = 0; i < control_.machines(); ++i) {
      settings_.addresses.push_back(control_.machine(i).address());
      settings_.endpoints.push_back(control_.machine(i).endpoint());
    }
  }
  ~SimulatedGateways() {
    for (SimulatedGateway& g : gateways_) g.client.reset();
    workers_.join();
    io_.poll();
  }

  void run() {
    start();
    for (const std::string& name : kScenarios) {
      if (name == "start" || (!options_.scenario.empty() && options_.scenario != name)) continue;
      std::printf("%s\n", name.c_str());
      runScenario(name);
    }
  }

 private:
  void runScenario(const std::string& name) {
    if (name == "idle") runIdle();
    else if (name == "single")
      runSequentialChanges(
          name, [](std::size_t) {}, [](std::size_t) {});
    else if (name == "burst") runBurst();
    else if (name == "kill")
      runSequentialChanges(
          name,
          [this](std::size_t i) {
            control_.runOnControlThread([&] { return control_.machine(i).kill(), 0; });
          },
          [this](std::size_t i) {
            control_.runOnControlThread([&] { return control_.machine(i).restart(), 0; });
          });
    else if (name == "silent")
      runSequentialChanges(
          name, [this](std::size_t i) { setFault(i, fake_upstream::ControlFault::unresponsive); },
          [this](std::size_t i) { setFault(i, fake_upstream::ControlFault::none); });
    else if (name == "silent2")
      runSequentialChanges(
          name,
          [this](std::size_t i) {
            setFault(i, fake_upstream::ControlFault::unresponsive);
            setFault(i + 1, fake_upstream::ControlFault::unresponsive);
          },
          [this](std::size_t i) {
            setFault(i, fake_upstream::ControlFault::none);
            setFault(i + 1, fake_upstream::ControlFault::none);
          });
    else if (name == "restart")
      runSequentialChanges(
          name,
          [this](std::size_t i) {
            for (std::size_t g = i % kRestartStride; g < gateways_.size(); g += kRestartStride)
              restartClient(g);
          },
          [](std::size_t) {});
    else if (name == "apart") runReconnection();
    else runHostChanges();
  }

  void setFault(std::size_t machine, fake_upstream::ControlFault fault) {
    control_.runOnControlThread([&] { return control_.machine(machine).fault = fault, 0; });
  }

  // Runs the event loop until `condition` returns true. Throws after kWaitTimeout, as the result would not be
  // valid.
  void runUntil(const std::function<bool()>& condition, const char* what) {
    const SteadyTime end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error(std::string(what) + " was not reached within " +
                                 std::to_string(kWaitTimeout.count()) + " s");
      io_.restart();
      io_.run_for(milliseconds(1));
    }
  }
  void runFor(std::chrono::nanoseconds time) {
    const SteadyTime end = std::chrono::steady_clock::now() + time;
    runUntil([&] { return std::chrono::steady_clock::now() >= end; }, "the end of a pause");
  }

  void startClient(std::size_t number) {
    SimulatedGateway& g = gateways_[number];
    json config = config_;
    config["settings"]["myNumber"] = number;
    GatewayConfig read = readConfig(config.dump(), clock_);
    const load_balancing::Settings settings = read.settings;
    if (!g.gateway) {
      g.gateway = std::make_unique<Gateway>(io_, clock_, std::move(read));
      g.gateway->start();
    }
    g.client = std::make_unique<configuration::Client>(
        io_, workers_.get_executor(), clock_, settings_, "gateway-" + std::to_string(number),
        options_.seed + number, settings,
        [&g](const configuration::SettingsChange& change) {
          g.gateway->applyDynamicSettings(change);
          const SteadyTime now = std::chrono::steady_clock::now();
          for (std::uint64_t r = g.revision + 1; r <= change.version.revision; ++r) g.activatedAt[r] = now;
          g.revision = change.version.revision;
        },
        [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); });
    g.client->start();
  }
  // Restarts the configuration client without a stored configuration.
  void restartClient(std::size_t number) {
    SimulatedGateway& g = gateways_[number];
    bytesOfReplacedClients_ += g.client->bytesSent() + g.client->bytesReceived();
    g.client.reset();
    g.revision = 0;
    startClient(number);
  }
  bool allHaveActivated(std::uint64_t revision) const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const SimulatedGateway& g) { return g.revision >= revision; });
  }

  void start() {
    const std::int64_t bytesBefore = bench::allocatedBytes();
    const double cpuBefore = gatewayProcessorSeconds();
    gateways_.resize(options_.gateways);
    const SteadyTime startedAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < gateways_.size(); ++i) startClient(i);
    runUntil([&] { return allHaveActivated(1); }, "the start");
    std::printf("start\n");
    Samples durations;
    for (const SimulatedGateway& g : gateways_)
      durations.values.push_back(secondsBetween(startedAt, g.activatedAt.at(1)));
    add("start", "s until in force", "s", durations);
    runFor(seconds(1));  // until the buffers of the snapshots are released
    addOne("start", "memory a gateway", "MB",
           static_cast<double>(bench::allocatedBytes() - bytesBefore) * 1e-6 / gatewayCount());
    addOne("start", "processor time a gateway", "ms",
           1e3 * (gatewayProcessorSeconds() - cpuBefore) / gatewayCount());
  }

  void runIdle() {
    Meter meter(*this);
    runFor(kIdleDuration);
    meter.add("idle");
  }

  // Publishes changes one after another; `before` sets up a fault before each change, `after` ends it.
  void runSequentialChanges(const std::string& name, const std::function<void(std::size_t)>& before,
                            const std::function<void(std::size_t)>& after) {
    Samples durations;
    Meter meter(*this);
    for (std::size_t i = 0; i < kChangesPerScenario; ++i) {
      runFor(milliseconds(500 + engine_() % 1000));
      before(i);
      const SteadyTime published = std::chrono::steady_clock::now();
      const auto version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
      runUntil([&] { return allHaveActivated(version.revision); }, "a change");
      for (const SimulatedGateway& g : gateways_)
        durations.values.push_back(secondsBetween(published, g.activatedAt.at(version.revision)));
      after(i);
    }
    add(name, "s until in force", "s", durations);
    meter.add(name);
  }

  void runBurst() {
    std::vector<std::pair<std::uint64_t, SteadyTime>> published;
    Meter meter(*this);
    for (std::size_t i = 0; i < options_.changes; ++i) {
      const SteadyTime now = std::chrono::steady_clock::now();
      const auto version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
      published.emplace_back(version.revision, now);
      runFor(std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / kBurstChangesPerSecond)));
    }
    meter.add("burst");
    runUntil([&] { return allHaveActivated(published.back().first); }, "the burst");
    Samples durations;
    for (const auto& [revision, when] : published)
      for (const SimulatedGateway& g : gateways_)
        durations.values.push_back(secondsBetween(when, g.activatedAt.at(revision)));
    add("burst", "s until in force", "s", durations);
  }

  // Stops the clients of half of the gateways, publishes changes, and restarts all of these clients at the
  // same time.
  void runReconnection() {
    for (std::size_t g = 0; g < gateways_.size(); g += 2) gateways_[g].client->stop();
    configuration::Version version;
    for (std::size_t i = 0; i < kChangesWhileDisconnected; ++i)
      version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
    runFor(seconds(3));
    Meter meter(*this);
    const SteadyTime reconnectedAt = std::chrono::steady_clock::now();
    for (std::size_t g = 0; g < gateways_.size(); g += 2) gateways_[g].client->start();
    runUntil([&] { return allHaveActivated(version.revision); },
             "the last revision published while disconnected");
    Samples durations;
    for (std::size_t g = 0; g < gateways_.size(); g += 2)
      durations.values.push_back(
          secondsBetween(reconnectedAt, gateways_[g].activatedAt.at(version.revision)));
    add("apart", "s from back to in force", "s", durations);
    meter.add("apart");
  }

  // Changes hosts one after another and measures the cost of discovery polls for each gateway.
  void runHostChanges() {
    Meter meter(*this);
    const std::uint64_t bytes =
        control_.runOnControlThread([&] { return control_.discovery().bytesTransferred(); });
    for (std::size_t i = 0; i < kChangesPerScenario; ++i) {
      control_.runOnControlThread([&] {
        control_.discovery().setHostStatus(i % options_.hosts, i % 2 == 0 ? "leaving" : "active");
        return 0;
      });
      runFor(milliseconds(500));
    }
    meter.add("hosts");
    const std::uint64_t after =
        control_.runOnControlThread([&] { return control_.discovery().bytesTransferred(); });
    addOne("hosts", "bytes of discovery a gateway and change", "B",
           static_cast<double>(after - bytes) / gatewayCount() / kChangesPerScenario);
  }

  // Measures the cost of the time between its construction and add().
  class Meter {
   public:
    explicit Meter(SimulatedGateways& simulation)
        : simulation_(simulation),
          startedAt_(std::chrono::steady_clock::now()),
          cpu_(simulation.gatewayProcessorSeconds()),
          controlCpu_(simulation.control_.processorSeconds()),
          bytes_(simulation.configurationBytes()) {}
    void add(const std::string& name) {
      const double elapsedSeconds = secondsBetween(startedAt_, std::chrono::steady_clock::now());
      const double gateways = simulation_.gatewayCount();
      simulation_.addOne(
          name, "configuration's bytes a gateway", "B/s",
          static_cast<double>(simulation_.configurationBytes() - bytes_) / gateways / elapsedSeconds);
      simulation_.addOne(name, "processor time a gateway", "% core",
                         100 * (simulation_.gatewayProcessorSeconds() - cpu_) / gateways / elapsedSeconds);
      simulation_.addOne(name, "processor time of all machines", "% core",
                         100 * (simulation_.control_.processorSeconds() - controlCpu_) / elapsedSeconds);
    }

   private:
    SimulatedGateways& simulation_;
    const SteadyTime startedAt_;
    const double cpu_, controlCpu_;
    const std::uint64_t bytes_;
  };

  static double secondsBetween(SteadyTime from, SteadyTime to) {
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
  }
  double gatewayCount() const { return static_cast<double>(options_.gateways); }
  double gatewayProcessorSeconds() const { return bench::processorSeconds() - control_.processorSeconds(); }
  std::uint64_t configurationBytes() const {
    std::uint64_t all = bytesOfReplacedClients_;
    for (const SimulatedGateway& g : gateways_)
      if (g.client) all += g.client->bytesSent() + g.client->bytesReceived();
    return all;
  }
  void addOne(const std::string& scenario, const std::string& cost, const std::string& unit, double value) {
    Samples one;
    one.values.push_back(value);
    table_.add({scenario, gatewayCount(), cost, unit, one});
  }
  void add(const std::string& scenario, const std::string& cost, const std::string& unit,
           const Samples& all) {
    table_.add({scenario, gatewayCount(), cost, unit, all});
    addOne(scenario, cost + ", p99", unit, all.quantile(0.99));
    if (options_.maxSeconds > 0 && scenario != "start" &&
        all.most() > static_cast<double>(options_.maxSeconds))
      throw std::runtime_error(scenario + ": " + cost + " were more than " +
                               std::to_string(options_.maxSeconds));
  }

  const Options options_;
  const Clock clock_;
  ControlPlane control_;
  asio::io_context io_{1};
  asio::thread_pool workers_{kWorkerThreads};
  std::mt19937_64 engine_;
  bench::Table table_;
  json config_;
  configuration::ConfigurationSettings settings_;
  std::vector<SimulatedGateway> gateways_;
  std::uint64_t bytesOfReplacedClients_ = 0;
};

}  // namespace
}  // namespace finchstile::simulated_gateways

int main(int argc, char** argv) try {
  const auto options = finchstile::simulated_gateways::readOptions(argc, argv);
  finchstile::simulated_gateways::checkSize(options);
  finchstile::simulated_gateways::SimulatedGateways(options).run();
  return 0;
} catch (const std::exception& bad) {
  std::fprintf(stderr, "finchstile-simulated-gateways: %s\n", bad.what());
  return 2;
}
