// Cost by size, one variable at a time, of the code that a gateway runs: the decision module, the
// configuration parser and the host lists of discovery. Measures processor time and bytes, not wall time.
// docs/CAPACITY.md is based on these figures.
//   build-bench/bench_capacity [--out FILE.tsv] [--samples N] [--only hosts|tenants|classes|configuration]
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "configuration/configuration_store.hpp"
#include "control_log.hpp"
#include "fake_upstream_config.hpp"
#include "finchstile/load_balancer.hpp"
#include "measure.hpp"
#include "net/config.hpp"
#include "net/tenant_table.hpp"
#include "units.hpp"

namespace finchstile::bench {
namespace {

using fake_upstream::hostName;
using fake_upstream::tenantName;
using fake_upstream::zoneName;
using load_balancing::HostEntry;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::LoadBalancer;
using load_balancing::RequestId;
using load_balancing::Settings;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kGateways = 520;
constexpr std::size_t kZones = 5;  // zones that fake_upstream::zoneName assigns in turn
constexpr std::size_t kTypicalHosts = 46, kTypicalClasses = 8, kTypicalTenants = 0;
constexpr int kRequestsPerSample = 2000;
constexpr int kChangesPerSample = 20;
constexpr double kRequestsPerSecond = 230;  // of one gateway at peak
constexpr milliseconds kAttemptLatency(20);
constexpr seconds kSweepAdvance(60);       // longer than the sweep period at any size
constexpr RequestId kTenantStride = 7919;  // prime: consecutive requests are of distant tenants
constexpr double kInitialQuota = 50;       // requests per second of a tenant

struct Options {
  std::string out;          // path of the tab-separated file; empty: none
  std::string only;         // the variable to measure; empty: all
  std::size_t samples = 5;  // measurements of each cost
};

std::vector<HostEntry> hostEntries(std::size_t count) {
  std::vector<HostEntry> hosts(count);
  for (std::size_t i = 0; i < count; ++i) {
    hosts[i].address = hostName(i);
    hosts[i].zone = zoneName(i);
    hosts[i].machineType = "std";
  }
  return hosts;
}

Settings settingsOf(std::size_t classes, std::size_t tenants) {
  Settings settings;
  settings.gatewayCount = kGateways;
  settings.gatewayIndex = kGateways / 2;
  settings.zone = zoneName(0);
  settings.maxAttempts = 3;
  settings.retryAfterEnabled = true;
  settings.warmUpTime = seconds(9);
  settings.initialCapacityFraction = 0.32;
  settings.collapseWindow = seconds(2);
  for (std::size_t i = 0; i < classes; ++i) {
    load_balancing::ClassSettings requestClass;
    requestClass.name = "class-" + std::to_string(i);
    requestClass.latencyObjective = milliseconds(400);
    requestClass.clientTimeout = seconds(1);
    requestClass.idempotency = load_balancing::Idempotency::idempotent;
    settings.classes.push_back(requestClass);
  }
  for (std::size_t i = 0; i < tenants; ++i) settings.tenants.push_back({tenantName(i), kInitialQuota});
  return settings;
}

// A decision module under load: each request has one attempt, which succeeds after kAttemptLatency.
class LoadedBalancer {
 public:
  LoadedBalancer(std::size_t hosts, std::size_t classes, std::size_t tenants)
      : classes_(classes), tenants_(tenants), balancer_(settingsOf(classes, tenants), now_) {
    balancer_.onHostListUpdate(now_, HostListUpdate::complete, hostEntries(hosts));
    balancer_.actions().clear();
  }
  LoadBalancer& balancer() { return balancer_; }
  load_balancing::Time now() const { return now_; }

  // Simulates a request and the result of its attempt, if the module sends one.
  void request() {
    now_ += std::chrono::nanoseconds(static_cast<std::int64_t>(kNanosecondsPerSecond / kRequestsPerSecond));
    load_balancing::Request incoming;
    incoming.id = ++lastRequestId_;
    incoming.classIndex = static_cast<std::uint32_t>(lastRequestId_ % classes_);
    if (tenants_ > 0)
      incoming.tenantIndex = static_cast<std::uint32_t>(lastRequestId_ * kTenantStride % tenants_);
    incoming.timeLeft = seconds(1);
    balancer_.onRequest(now_, incoming);
    load_balancing::AttemptResult result;
    for (const auto& action : balancer_.actions())
      if (action.kind == load_balancing::ActionKind::sendAttempt)
        result = {action.request,  action.attempt,
                  action.host,     load_balancing::Outcome::served,
                  kAttemptLatency, true};
    balancer_.actions().clear();
    if (result.request == 0) return;
    balancer_.onAttemptResult(now_, result);
    balancer_.actions().clear();
  }
  void sweep() {
    now_ += kSweepAdvance;
    balancer_.onTimer(now_);
    balancer_.actions().clear();
  }

 private:
  std::size_t classes_, tenants_;
  load_balancing::Time now_ = seconds(1000);
  RequestId lastRequestId_ = 0;
  LoadBalancer balancer_;
};

class Capacity {
 public:
  explicit Capacity(const Options& options) : options_(options), table_(options.out) {}

  // Measures the selected variables, each at several sizes.
  void run() {
    if (isSelected("hosts"))
      for (const std::size_t n : {46, 640, 6400, 12800}) measureHosts(n);
    if (isSelected("tenants"))
      for (const std::size_t n : {100, 4000, 27000}) measureTenants(n);
    if (isSelected("configuration"))
      for (const std::size_t n : {100, 4000, 27000, 54000}) measureConfiguration(n);
    if (isSelected("classes"))
      for (const std::size_t n : {8, 140, 1000, 4000}) measureClasses(n);
  }

 private:
  bool isSelected(const char* variable) const { return options_.only.empty() || options_.only == variable; }

  // Calls `sample`, which returns one measured value in `unit`, options_.samples times.
  void add(const char* variable, std::size_t size, const char* cost, const char* unit,
           const std::function<double()>& sample) {
    Row row{variable, static_cast<double>(size), cost, unit, {}};
    for (std::size_t i = 0; i < options_.samples; ++i) row.samples.values.push_back(sample());
    table_.add(row);
  }
  void addRequest(const char* variable, std::size_t size, LoadedBalancer& loaded) {
    add(variable, size, "a request", "us", [&] {
      return 1e6 / kRequestsPerSample * processorSecondsOf([&] {
               for (int i = 0; i < kRequestsPerSample; ++i) loaded.request();
             });
    });
  }
  void addMemory(const char* variable, std::size_t size, const std::function<LoadedBalancer()>& make) {
    add(variable, size, "memory of the module", "MB", [&] {
      const std::int64_t before = allocatedBytes();
      const LoadedBalancer loaded = make();
      return static_cast<double>(allocatedBytes() - before) * 1e-6;
    });
  }

  void measureHosts(std::size_t hostCount) {
    const Clock clock;
    const std::string listJson =
        fake_upstream::listJson(1, true, fake_upstream::hostsJson(hostCount, "10.1.0.18:8443")).dump();
    add("hosts", hostCount, "bytes of the whole list", "kB",
        [&] { return static_cast<double>(listJson.size()) * 1e-3; });
    add("hosts", hostCount, "whole list, read", "ms",
        [&] { return 1e3 * processorSecondsOf([&] { parseHostList(listJson, clock); }); });
    add("hosts", hostCount, "whole list, taken", "ms", [&] {
      LoadBalancer balancer(settingsOf(kTypicalClasses, kTypicalTenants), seconds(1));
      const auto hosts = hostEntries(hostCount);
      return 1e3 * processorSecondsOf(
                       [&] { balancer.onHostListUpdate(seconds(1), HostListUpdate::complete, hosts); });
    });
    LoadedBalancer loaded(hostCount, kTypicalClasses, kTypicalTenants);
    auto hosts = hostEntries(hostCount);
    add("hosts", hostCount, "change of one host", "us", [&] {
      return 1e6 / kChangesPerSample * processorSecondsOf([&] {
               for (int i = 0; i < kChangesPerSample; ++i) {
                 HostEntry& host = hosts[static_cast<std::size_t>(i) * 7 % hostCount];
                 host.phase = host.phase == HostPhase::active ? HostPhase::draining : HostPhase::active;
                 loaded.balancer().onHostListUpdate(loaded.now(), HostListUpdate::incremental, {host});
                 loaded.balancer().actions().clear();
               }
             });
    });
    add("hosts", hostCount, "a zone's changes at once", "ms", [&] {
      std::vector<HostEntry> zoneHosts;
      for (std::size_t i = 0; i < hostCount; i += kZones) {
        hosts[i].phase = hosts[i].phase == HostPhase::active ? HostPhase::draining : HostPhase::active;
        zoneHosts.push_back(hosts[i]);
      }
      return 1e3 * processorSecondsOf([&] {
               loaded.balancer().onHostListUpdate(loaded.now(), HostListUpdate::incremental, zoneHosts);
             });
    });
    for (HostEntry& host : hosts) host.phase = HostPhase::active;
    loaded.balancer().onHostListUpdate(loaded.now(), HostListUpdate::complete, hosts);
    loaded.balancer().actions().clear();
    addRequest("hosts", hostCount, loaded);
    add("hosts", hostCount, "a sweep", "us",
        [&] { return 1e6 * processorSecondsOf([&] { loaded.sweep(); }); });
    addMemory("hosts", hostCount,
              [&] { return LoadedBalancer(hostCount, kTypicalClasses, kTypicalTenants); });
  }

  void measureTenants(std::size_t tenantCount) {
    const Clock clock;
    json config = {{"listen", "127.0.0.1:0"},
                   {"discovery", "127.0.0.1:1"},
                   {"seed", "1"},
                   {"settings", fake_upstream::settingsJson(
                                    json::array({fake_upstream::classJson({"read", "retryable", "all", 1})}),
                                    true, zoneName(0))}};
    for (std::size_t i = 0; i < tenantCount; ++i)
      config["settings"]["tenants"].push_back({{"name", tenantName(i)}, {"quotaRps", kInitialQuota}});
    const std::string text = config.dump();
    try {
      readConfig(text, clock);
      add("tenants", tenantCount, "configuration, read", "ms",
          [&] { return 1e3 * processorSecondsOf([&] { readConfig(text, clock); }); });
    } catch (const std::exception& error) {
      std::printf("tenants   %7zu  configuration, read: refused, %s\n", tenantCount, error.what());
    }
    LoadedBalancer loaded(kTypicalHosts, kTypicalClasses, tenantCount);
    addRequest("tenants", tenantCount, loaded);
    addMemory("tenants", tenantCount,
              [&] { return LoadedBalancer(kTypicalHosts, kTypicalClasses, tenantCount); });
  }

  // The configuration distributed by control machines: a snapshot and a single change, as the worker thread
  // parses them, and their application on the event loop.
  void measureConfiguration(std::size_t tenantCount) {
    using namespace finchstile::configuration;
    fake_upstream::ControlLog log({1, 1'000'000, 0});
    std::vector<DocumentChange> documents;
    for (std::size_t i = 0; i < tenantCount; ++i)
      documents.push_back(
          {std::string(kTenantPrefix) + tenantName(i), TenantDocument{tenantName(i), kInitialQuota}});
    log.publish(documents);
    const std::string snapshot = log.answer({}, 0)->body;
    add("configuration", tenantCount, "bytes of the whole", "kB",
        [&] { return static_cast<double>(snapshot.size()) * 1e-3; });
    const Settings start = settingsOf(kTypicalClasses, kTypicalTenants);
    add("configuration", tenantCount, "whole, read and checked", "ms", [&] {
      ConfigurationStore store(start);
      return 1e3 * processorSecondsOf([&] { store.apply(parseUpdate(snapshot)); });
    });
    add("configuration", tenantCount, "memory of the store", "MB", [&] {
      const std::int64_t before = allocatedBytes();
      ConfigurationStore store(start);
      store.apply(parseUpdate(snapshot));
      return static_cast<double>(allocatedBytes() - before) * 1e-6;
    });
    ConfigurationStore store(start);
    const SettingsChange initialChange = store.apply(parseUpdate(snapshot)).change;
    add("configuration", tenantCount, "whole, taken by the loop", "ms", [&] {
      LoadedBalancer loaded(kTypicalHosts, kTypicalClasses, kTypicalTenants);
      TenantTable table({});
      return 1e3 *
             processorSecondsOf([&] { applyChange(initialChange, loaded.balancer(), table, loaded.now()); });
    });
    LoadedBalancer loaded(kTypicalHosts, kTypicalClasses, kTypicalTenants);
    TenantTable table({});
    applyChange(initialChange, loaded.balancer(), table, loaded.now());
    add("configuration", tenantCount, "one change, read and checked", "us", [&] {
      log.publish({{std::string(kTenantPrefix) + tenantName(tenantCount / 2),
                    TenantDocument{tenantName(tenantCount / 2), ++publishedQuota_}}});
      const std::string change = log.answer({"", store.versionState(), {}}, 0)->body;
      return 1e6 * processorSecondsOf([&] { lastChange_ = store.apply(parseUpdate(change)).change; });
    });
    add("configuration", tenantCount, "one change, taken by the loop", "us", [&] {
      return 1e6 *
             processorSecondsOf([&] { applyChange(lastChange_, loaded.balancer(), table, loaded.now()); });
    });
  }
  // Applies a change like Gateway::applyDynamicSettings.
  static void applyChange(const finchstile::configuration::SettingsChange& change, LoadBalancer& balancer,
                          TenantTable& table, load_balancing::Time now) {
    load_balancing::DynamicSettings settings;
    for (const auto& tenant : change.tenants) {
      settings.tenants.push_back({tenant.index, *tenant.quotaPerSecond});
      table.add(tenant.index, tenant.name);
    }
    balancer.onDynamicSettings(now, settings);
    balancer.actions().clear();
  }

  // Covers routes too: the first part of the path chooses the class, and a gateway has no other routes.
  void measureClasses(std::size_t classCount) {
    add("classes", classCount, "start of the module", "us", [&] {
      return 1e6 *
             processorSecondsOf([&] { LoadBalancer(settingsOf(classCount, kTypicalTenants), seconds(1)); });
    });
    LoadedBalancer loaded(kTypicalHosts, classCount, kTypicalTenants);
    addRequest("classes", classCount, loaded);
    addMemory("classes", classCount,
              [&] { return LoadedBalancer(kTypicalHosts, classCount, kTypicalTenants); });
  }

  const Options options_;
  Table table_;
  double publishedQuota_ = kInitialQuota;
  finchstile::configuration::SettingsChange lastChange_;
};

Options readOptions(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (i + 1 >= argc) throw std::invalid_argument(name + " needs a value");
    const std::string value = argv[i + 1];
    if (name == "--out") {
      options.out = value;
    } else if (name == "--samples") {
      const int samples = std::atoi(value.c_str());
      if (samples < 1 || samples > 100) throw std::invalid_argument("--samples must be from 1 to 100");
      options.samples = static_cast<std::size_t>(samples);
    } else if (name == "--only" &&
               (value == "hosts" || value == "tenants" || value == "classes" || value == "configuration")) {
      options.only = value;
    } else {
      throw std::invalid_argument(std::string("unknown option ").append(name).append(" ").append(value));
    }
  }
  return options;
}

}  // namespace
}  // namespace finchstile::bench

int main(int argc, char** argv) try {
  finchstile::bench::Capacity(finchstile::bench::readOptions(argc, argv)).run();
  return 0;
} catch (const std::exception& error) {
  std::fprintf(stderr, "bench_capacity: %s\n", error.what());
  return 2;
}
