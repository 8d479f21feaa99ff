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
using WallTime = std::chrono::steady_clock::time_point;

constexpr double kMaxMemoryFraction = 0.5;         // maximum fraction of the machine's memory
constexpr std::size_t kDescriptorsPerGateway = 5;  // its listener and both ends of two connections
constexpr std::size_t kOtherDescriptors = 200;
// Memory needed by a gateway and by each of its hosts and tenants, rounded up.
constexpr double kBytesPerGateway = 200e3, kBytesPerHost = 6000, kBytesPerTenant = 700;
constexpr const char* kNoHost = "127.0.0.1:1";  // address of all hosts; no request is sent there
constexpr int kSingleRounds = 10;
constexpr double kBurstPerSecond = 1600.0 / 60;
constexpr std::size_t kChangesWhileDisconnected = 70;
constexpr std::size_t kRestartedOneIn = 10;
constexpr seconds kIdleTime(10);
constexpr seconds kMaxWait(180);
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

std::size_t count(const std::string& name, const std::string& text, std::size_t minValue,
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
    if (name == "--gateways") o.gateways = count(name, value, 1, 100000);
    else if (name == "--hosts") o.hosts = count(name, value, 1, 65535);
    else if (name == "--tenants") o.tenants = count(name, value, 1, load_balancing::kMaxTenants);
    else if (name == "--machines") o.machines = count(name, value, 1, 64);
    else if (name == "--changes") o.changes = count(name, value, 1, 100000);
    else if (name == "--seed") o.seed = count(name, value, 0, SIZE_MAX);
    else if (name == "--most-seconds") o.maxSeconds = count(name, value, 1, 3600);
    else if (name == "--scenario") o.scenario = value;
    else if (name == "--out") o.out = value;
    else throw std::invalid_argument("unknown option " + name);
  }
  if (!o.scenario.empty() && std::find(kScenarios.begin(), kScenarios.end(), o.scenario) == kScenarios.end())
    throw std::invalid_argument("there is no scenario '" + o.scenario + "'");
  return o;
}

double memoryOfMachine() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  double kilobytes = 0;
  file >> name >> kilobytes;
  return kilobytes * 1024;
}

// Throws if the number of gateways exceeds the memory or descriptors of this machine; the error gives the
// maximum. Called before anything is started.
void checkSize(const Options& o) {
  const double each = kBytesPerGateway + kBytesPerHost * static_cast<double>(o.hosts) +
                      kBytesPerTenant * static_cast<double>(o.tenants);
  const auto byMemory = static_cast<std::size_t>(kMaxMemoryFraction * memoryOfMachine() / each);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  const std::size_t free = files.rlim_cur > kOtherDescriptors ? files.rlim_cur - kOtherDescriptors : 0;
  const std::size_t byDescriptors = free / kDescriptorsPerGateway;
  const std::size_t maxGateways = std::min(byMemory, byDescriptors);
  if (o.gateways <= maxGateways) return;
  throw std::invalid_argument(
      std::to_string(o.gateways) + " gateways do not fit: " + std::to_string(maxGateways) + " with " +
      std::to_string(o.hosts) + " hosts and " + std::to_string(o.tenants) + " tenants, by " +
      (byMemory < byDescriptors ? "half of the memory" : "descriptors"));
}

DocumentChange tenant(std::size_t i, double quota) {
  return {"tenant/" + tenantName(i), TenantDocument{tenantName(i), quota}};
}

// The control machines and discovery. They run on a separate thread, so that their processor time can be
// subtracted from that of the gateways.
class ControlPlane {
 public:
  explicit ControlPlane(const Options& o) : discovery_(io_, fake_upstream::hostsJson(o.hosts, kNoHost)) {
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
  // Runs `work` on the thread of the control machines and returns its result.
  template <class Work>
  auto on(Work work) {
    std::promise<decltype(work())> done;
    asio::post(io_, [&] { done.set_value(work()); });
    return done.get_future().get();
  }
  // Publishes a revision at all machines; replication between the machines is not simulated.
  configuration::Version publish(const std::vector<DocumentChange>& changes) {
    return on([&] {
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
  std::uint64_t revision = 0;                      // in force
  std::map<std::uint64_t, WallTime> inForceSince;  // by revision
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
               {"known", fake_upstream::listJson(1, true, fake_upstream::hostsJson(options.hosts, kNoHost))},
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
      play(name);
    }
  }

 private:
  void play(const std::string& name) {
    if (name == "idle") idle();
    else if (name == "single")
      rounds(
          name, [](std::size_t) {}, [](std::size_t) {});
    else if (name == "burst") burst();
    else if (name == "kill")
      rounds(
          name, [this](std::size_t i) { control_.on([&] { return control_.machine(i).kill(), 0; }); },
          [this](std::size_t i) { control_.on([&] { return control_.machine(i).restart(), 0; }); });
    else if (name == "silent")
      rounds(
          name, [this](std::size_t i) { setFault(i, fake_upstream::ControlFault::unresponsive); },
          [this](std::size_t i) { setFault(i, fake_upstream::ControlFault::none); });
    else if (name == "silent2")
      rounds(
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
      rounds(
          name,
          [this](std::size_t i) {
            for (std::size_t g = i % kRestartedOneIn; g < gateways_.size(); g += kRestartedOneIn) restart(g);
          },
          [](std::size_t) {});
    else if (name == "apart") apart();
    else hosts();
  }

  void setFault(std::size_t machine, fake_upstream::ControlFault fault) {
    control_.on([&] { return control_.machine(machine).fault = fault, 0; });
  }

  // Runs the event loop until `reached` returns true. Throws after kMaxWait, as the result would not be
  // valid.
  void until(const std::function<bool()>& reached, const char* what) {
    const WallTime end = std::chrono::steady_clock::now() + kMaxWait;
    while (!reached()) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error(std::string(what) + " was not reached within " +
                                 std::to_string(kMaxWait.count()) + " s");
      io_.restart();
      io_.run_for(milliseconds(1));
    }
  }
  void playFor(std::chrono::nanoseconds time) {
    const WallTime end = std::chrono::steady_clock::now() + time;
    until([&] { return std::chrono::steady_clock::now() >= end; }, "the end of a pause");
  }

  void make(std::size_t number) {
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
          const WallTime now = std::chrono::steady_clock::now();
          for (std::uint64_t r = g.revision + 1; r <= change.version.revision; ++r) g.inForceSince[r] = now;
          g.revision = change.version.revision;
        },
        [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); });
    g.client->start();
  }
  // Restarts the configuration client without a stored configuration.
  void restart(std::size_t number) {
    SimulatedGateway& g = gateways_[number];
    bytesOfReplacedClients_ += g.client->bytesSent() + g.client->bytesReceived();
    g.client.reset();
    g.revision = 0;
    make(number);
  }
  bool allHave(std::uint64_t revision) const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const SimulatedGateway& g) { return g.revision >= revision; });
  }

  void start() {
    const std::int64_t bytesBefore = bench::allocatedBytes();
    const double cpuBefore = gatewaySeconds();
    gateways_.resize(options_.gateways);
    const WallTime startedAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < gateways_.size(); ++i) make(i);
    until([&] { return allHave(1); }, "the start");
    std::printf("start\n");
    Samples took;
    for (const SimulatedGateway& g : gateways_)
      took.values.push_back(secondsSince(startedAt, g.inForceSince.at(1)));
    add("start", "s until in force", "s", took);
    playFor(seconds(1));  // until the buffers of the snapshots are released
    addOne("start", "memory a gateway", "MB",
           static_cast<double>(bench::allocatedBytes() - bytesBefore) * 1e-6 / perGateway());
    addOne("start", "processor time a gateway", "ms", 1e3 * (gatewaySeconds() - cpuBefore) / perGateway());
  }

  void idle() {
    Meter meter(*this);
    playFor(kIdleTime);
    meter.add("idle");
  }

  // Publishes changes one after another; `before` sets up a fault before each change, `after` ends it.
  void rounds(const std::string& name, const std::function<void(std::size_t)>& before,
              const std::function<void(std::size_t)>& after) {
    Samples took;
    Meter meter(*this);
    for (std::size_t i = 0; i < kSingleRounds; ++i) {
      playFor(milliseconds(500 + engine_() % 1000));
      before(i);
      const WallTime published = std::chrono::steady_clock::now();
      const auto version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
      until([&] { return allHave(version.revision); }, "a change");
      for (const SimulatedGateway& g : gateways_)
        took.values.push_back(secondsSince(published, g.inForceSince.at(version.revision)));
      after(i);
    }
    add(name, "s until in force", "s", took);
    meter.add(name);
  }

  void burst() {
    std::vector<std::pair<std::uint64_t, WallTime>> published;
    Meter meter(*this);
    for (std::size_t i = 0; i < options_.changes; ++i) {
      const WallTime now = std::chrono::steady_clock::now();
      const auto version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
      published.emplace_back(version.revision, now);
      playFor(std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / kBurstPerSecond)));
    }
    meter.add("burst");
    until([&] { return allHave(published.back().first); }, "the burst");
    Samples took;
    for (const auto& [revision, when] : published)
      for (const SimulatedGateway& g : gateways_)
        took.values.push_back(secondsSince(when, g.inForceSince.at(revision)));
    add("burst", "s until in force", "s", took);
  }

  // Stops the clients of half of the gateways, publishes changes, and restarts all of these clients at the
  // same time.
  void apart() {
    for (std::size_t g = 0; g < gateways_.size(); g += 2) gateways_[g].client->stop();
    configuration::Version version;
    for (std::size_t i = 0; i < kChangesWhileDisconnected; ++i)
      version =
          control_.publish({tenant(engine_() % options_.tenants, static_cast<double>(1 + engine_() % 100))});
    playFor(seconds(3));
    Meter meter(*this);
    const WallTime back = std::chrono::steady_clock::now();
    for (std::size_t g = 0; g < gateways_.size(); g += 2) gateways_[g].client->start();
    until([&] { return allHave(version.revision); }, "what was missed");
    Samples took;
    for (std::size_t g = 0; g < gateways_.size(); g += 2)
      took.values.push_back(secondsSince(back, gateways_[g].inForceSince.at(version.revision)));
    add("apart", "s from back to in force", "s", took);
    meter.add("apart");
  }

  // Changes hosts one after another and measures the cost of discovery polls for each gateway.
  void hosts() {
    Meter meter(*this);
    const std::uint64_t bytes = control_.on([&] { return control_.discovery().bytesTransferred(); });
    for (std::size_t i = 0; i < kSingleRounds; ++i) {
      control_.on([&] {
        control_.discovery().setHostStatus(i % options_.hosts, i % 2 == 0 ? "leaving" : "active");
        return 0;
      });
      playFor(milliseconds(500));
    }
    meter.add("hosts");
    const std::uint64_t after = control_.on([&] { return control_.discovery().bytesTransferred(); });
    addOne("hosts", "bytes of discovery a gateway and change", "B",
           static_cast<double>(after - bytes) / perGateway() / kSingleRounds);
  }

  // Measures the cost of the time between its construction and add().
  class Meter {
   public:
    explicit Meter(SimulatedGateways& simulation)
        : simulation_(simulation),
          startedAt_(std::chrono::steady_clock::now()),
          cpu_(simulation.gatewaySeconds()),
          controlCpu_(simulation.control_.processorSeconds()),
          bytes_(simulation.configurationBytes()) {}
    void add(const std::string& name) {
      const double took = secondsSince(startedAt_, std::chrono::steady_clock::now());
      const double gateways = simulation_.perGateway();
      simulation_.addOne(name, "configuration's bytes a gateway", "B/s",
                         static_cast<double>(simulation_.configurationBytes() - bytes_) / gateways / took);
      simulation_.addOne(name, "processor time a gateway", "% core",
                         100 * (simulation_.gatewaySeconds() - cpu_) / gateways / took);
      simulation_.addOne(name, "processor time of all machines", "% core",
                         100 * (simulation_.control_.processorSeconds() - controlCpu_) / took);
    }

   private:
    SimulatedGateways& simulation_;
    const WallTime startedAt_;
    const double cpu_, controlCpu_;
    const std::uint64_t bytes_;
  };

  static double secondsSince(WallTime from, WallTime to) {
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
  }
  double perGateway() const { return static_cast<double>(options_.gateways); }
  double gatewaySeconds() const { return bench::processorSeconds() - control_.processorSeconds(); }
  std::uint64_t configurationBytes() const {
    std::uint64_t all = bytesOfReplacedClients_;
    for (const SimulatedGateway& g : gateways_)
      if (g.client) all += g.client->bytesSent() + g.client->bytesReceived();
    return all;
  }
  void addOne(const std::string& scenario, const std::string& cost, const std::string& unit, double value) {
    Samples one;
    one.values.push_back(value);
    table_.add({scenario, perGateway(), cost, unit, one});
  }
  void add(const std::string& scenario, const std::string& cost, const std::string& unit,
           const Samples& all) {
    table_.add({scenario, perGateway(), cost, unit, all});
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
  std::uint64_t bytesOfReplacedClients_ = 0;  // of clients that were replaced
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
