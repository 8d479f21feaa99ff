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

namespace finchstile::bench {
namespace {

using fake_upstream::hostName;
using fake_upstream::tenantName;
using fake_upstream::zoneName;
using load_balancing::HostEntry;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::LoadBalancer;
using load_balancing::Settings;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kGateways = 520;
constexpr std::size_t kZones = 5;  // number of zones used by fake_upstream::zoneName
constexpr std::size_t kUsualHosts = 46, kUsualClasses = 8, kUsualTenants = 0;
constexpr int kRequestsPerSample = 2000;
constexpr int kChangesPerSample = 20;
constexpr double kRequestsPerSecond = 230;  // peak rate of one gateway

struct Options {
  std::string out, only;
  std::size_t samples = 5;
};

std::vector<HostEntry> entries(std::size_t count) {
  std::vector<HostEntry> all(count);
  for (std::size_t i = 0; i < count; ++i) {
    all[i].address = hostName(i);
    all[i].zone = zoneName(i);
    all[i].machineType = "std";
  }
  return all;
}

Settings settingsOf(std::size_t classes, std::size_t tenants) {
  Settings s;
  s.gatewayCount = kGateways;
  s.gatewayIndex = kGateways / 2;
  s.zone = zoneName(0);
  s.maxAttempts = 3;
  s.retryAfterEnabled = true;
  s.warmUpTime = seconds(9);
  s.initialCapacityFraction = 0.32;
  s.collapseWindow = seconds(2);
  for (std::size_t i = 0; i < classes; ++i) {
    load_balancing::ClassSettings c;
    c.name = "class-" + std::to_string(i);
    c.latencyObjective = milliseconds(400);
    c.clientTimeout = seconds(1);
    c.idempotency = load_balancing::Idempotency::idempotent;
    s.classes.push_back(c);
  }
  for (std::size_t i = 0; i < tenants; ++i) s.tenants.push_back({tenantName(i), 50});
  return s;
}

// A decision module with hosts that answer requests after 20 ms.
class Driven {
 public:
  Driven(std::size_t hosts, std::size_t classes, std::size_t tenants)
      : classes_(classes), tenants_(tenants), balancer_(settingsOf(classes, tenants), now_) {
    balancer_.onHostListUpdate(now_, HostListUpdate::complete, entries(hosts));
    balancer_.actions().clear();
  }
  LoadBalancer& balancer() { return balancer_; }
  load_balancing::Time now() const { return now_; }

  void request() {
    now_ += std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / kRequestsPerSecond));
    load_balancing::Request q;
    q.id = ++last_;
    q.classIndex = static_cast<std::uint32_t>(last_ % classes_);
    if (tenants_ > 0) q.tenantIndex = static_cast<std::uint32_t>(last_ * 7919 % tenants_);
    q.timeLeft = seconds(1);
    balancer_.onRequest(now_, q);
    load_balancing::AttemptResult done;
    for (const auto& action : balancer_.actions())
      if (action.kind == load_balancing::ActionKind::sendAttempt)
        done = {action.request,   action.attempt,
                action.host,      load_balancing::Outcome::served,
                milliseconds(20), true};
    balancer_.actions().clear();
    if (done.request == 0) return;
    balancer_.onAttemptResult(now_, done);
    balancer_.actions().clear();
  }
  void sweep() {
    now_ += seconds(60);  // longer than the sweep period at any size
    balancer_.onTimer(now_);
    balancer_.actions().clear();
  }

 private:
  std::size_t classes_, tenants_;
  load_balancing::Time now_ = seconds(1000);
  load_balancing::RequestId last_ = 0;
  LoadBalancer balancer_;
};

class Capacity {
 public:
  explicit Capacity(const Options& options) : options_(options), table_(options.out) {}

  void run() {
    if (wanted("hosts"))
      for (const std::size_t n : {46, 640, 6400, 12800}) hosts(n);
    if (wanted("tenants"))
      for (const std::size_t n : {100, 4000, 27000}) tenants(n);
    if (wanted("configuration"))
      for (const std::size_t n : {100, 4000, 27000, 54000}) configuration(n);
    if (wanted("classes"))
      for (const std::size_t n : {8, 140, 1000, 4000}) classes(n);
  }

 private:
  bool wanted(const char* variable) const { return options_.only.empty() || options_.only == variable; }

  // Calls `sample` once for each of options_.samples measurements.
  void add(const char* variable, std::size_t size, const char* cost, const char* unit,
           const std::function<double()>& sample) {
    Row row{variable, static_cast<double>(size), cost, unit, {}};
    for (std::size_t i = 0; i < options_.samples; ++i) row.samples.values.push_back(sample());
    table_.add(row);
  }
  void addRequest(const char* variable, std::size_t size, Driven& driven) {
    add(variable, size, "a request", "us", [&] {
      return 1e6 / kRequestsPerSample * processorSecondsOf([&] {
               for (int i = 0; i < kRequestsPerSample; ++i) driven.request();
             });
    });
  }
  void addMemory(const char* variable, std::size_t size, const std::function<Driven()>& make) {
    add(variable, size, "memory of the module", "MB", [&] {
      const std::int64_t before = allocatedBytes();
      const Driven driven = make();
      return static_cast<double>(allocatedBytes() - before) * 1e-6;
    });
  }

  void hosts(std::size_t n) {
    const Clock clock;
    const std::string list =
        fake_upstream::listJson(1, true, fake_upstream::hostsJson(n, "10.1.0.18:8443")).dump();
    add("hosts", n, "bytes of the whole list", "kB", [&] { return static_cast<double>(list.size()) * 1e-3; });
    add("hosts", n, "whole list, read", "ms",
        [&] { return 1e3 * processorSecondsOf([&] { parseHostList(list, clock); }); });
    add("hosts", n, "whole list, taken", "ms", [&] {
      LoadBalancer balancer(settingsOf(kUsualClasses, kUsualTenants), seconds(1));
      const auto all = entries(n);
      return 1e3 * processorSecondsOf(
                       [&] { balancer.onHostListUpdate(seconds(1), HostListUpdate::complete, all); });
    });
    Driven driven(n, kUsualClasses, kUsualTenants);
    auto all = entries(n);
    add("hosts", n, "change of one host", "us", [&] {
      return 1e6 / kChangesPerSample * processorSecondsOf([&] {
               for (int i = 0; i < kChangesPerSample; ++i) {
                 HostEntry& host = all[static_cast<std::size_t>(i) * 7 % n];
                 host.phase = host.phase == HostPhase::active ? HostPhase::draining : HostPhase::active;
                 driven.balancer().onHostListUpdate(driven.now(), HostListUpdate::incremental, {host});
                 driven.balancer().actions().clear();
               }
             });
    });
    add("hosts", n, "a zone's changes at once", "ms", [&] {
      std::vector<HostEntry> zone;
      for (std::size_t i = 0; i < n; i += kZones) {
        all[i].phase = all[i].phase == HostPhase::active ? HostPhase::draining : HostPhase::active;
        zone.push_back(all[i]);
      }
      return 1e3 * processorSecondsOf([&] {
               driven.balancer().onHostListUpdate(driven.now(), HostListUpdate::incremental, zone);
             });
    });
    for (HostEntry& host : all) host.phase = HostPhase::active;
    driven.balancer().onHostListUpdate(driven.now(), HostListUpdate::complete, all);
    driven.balancer().actions().clear();
    addRequest("hosts", n, driven);
    add("hosts", n, "a sweep", "us", [&] { return 1e6 * processorSecondsOf([&] { driven.sweep(); }); });
    addMemory("hosts", n, [&] { return Driven(n, kUsualClasses, kUsualTenants); });
  }

  void tenants(std::size_t n) {
    const Clock clock;
    json config = {{"listen", "127.0.0.1:0"},
                   {"discovery", "127.0.0.1:1"},
                   {"seed", "1"},
                   {"settings", fake_upstream::settingsJson(
                                    json::array({fake_upstream::classJson({"read", "retryable", "all", 1})}),
                                    true, zoneName(0))}};
    for (std::size_t i = 0; i < n; ++i)
      config["settings"]["tenants"].push_back({{"name", tenantName(i)}, {"quotaRps", 50.0}});
    const std::string text = config.dump();
    try {
      readConfig(text, clock);
      add("tenants", n, "configuration, read", "ms",
          [&] { return 1e3 * processorSecondsOf([&] { readConfig(text, clock); }); });
    } catch (const std::exception& refused) {
      std::printf("tenants   %7zu  configuration, read: refused, %s\n", n, refused.what());
    }
    Driven driven(kUsualHosts, kUsualClasses, n);
    addRequest("tenants", n, driven);
    addMemory("tenants", n, [&] { return Driven(kUsualHosts, kUsualClasses, n); });
  }

  // The configuration distributed by control machines: a snapshot and a single change, as the worker thread
  // parses them, and their application on the event loop.
  void configuration(std::size_t n) {
    using namespace finchstile::configuration;
    fake_upstream::ControlLog log({1, 1'000'000, 0});
    std::vector<DocumentChange> all;
    for (std::size_t i = 0; i < n; ++i)
      all.push_back({std::string(kTenantPrefix) + tenantName(i), TenantDocument{tenantName(i), 50}});
    log.publish(all);
    const std::string whole = log.answer({}, 0)->body;
    add("configuration", n, "bytes of the whole", "kB",
        [&] { return static_cast<double>(whole.size()) * 1e-3; });
    const Settings start = settingsOf(kUsualClasses, kUsualTenants);
    add("configuration", n, "whole, read and checked", "ms", [&] {
      ConfigurationStore store(start);
      return 1e3 * processorSecondsOf([&] { store.apply(parseUpdate(whole)); });
    });
    add("configuration", n, "memory of the store", "MB", [&] {
      const std::int64_t before = allocatedBytes();
      ConfigurationStore store(start);
      store.apply(parseUpdate(whole));
      return static_cast<double>(allocatedBytes() - before) * 1e-6;
    });
    ConfigurationStore store(start);
    const SettingsChange terms = store.apply(parseUpdate(whole)).change;
    add("configuration", n, "whole, taken by the loop", "ms", [&] {
      Driven driven(kUsualHosts, kUsualClasses, kUsualTenants);
      TenantTable table({});
      return 1e3 * processorSecondsOf([&] { take(terms, driven.balancer(), table, driven.now()); });
    });
    Driven driven(kUsualHosts, kUsualClasses, kUsualTenants);
    TenantTable table({});
    take(terms, driven.balancer(), table, driven.now());
    add("configuration", n, "one change, read and checked", "us", [&] {
      log.publish(
          {{std::string(kTenantPrefix) + tenantName(n / 2), TenantDocument{tenantName(n / 2), ++quota_}}});
      const std::string change = log.answer({"", store.versionState(), {}}, 0)->body;
      return 1e6 * processorSecondsOf([&] { last_ = store.apply(parseUpdate(change)).change; });
    });
    add("configuration", n, "one change, taken by the loop", "us", [&] {
      return 1e6 * processorSecondsOf([&] { take(last_, driven.balancer(), table, driven.now()); });
    });
  }
  // Applies a change like Gateway::applyDynamicSettings.
  static void take(const finchstile::configuration::SettingsChange& change, LoadBalancer& balancer,
                   TenantTable& table, load_balancing::Time now) {
    load_balancing::DynamicSettings terms;
    for (const auto& tenant : change.tenants) {
      terms.tenants.push_back({tenant.index, *tenant.quotaPerSecond});
      table.add(tenant.index, tenant.name);
    }
    balancer.onDynamicSettings(now, terms);
    balancer.actions().clear();
  }

  // Routes are modelled as classes: a class is chosen by the first part of the path, and there are no other
  // routes.
  void classes(std::size_t n) {
    add("classes", n, "start of the module", "us", [&] {
      return 1e6 * processorSecondsOf([&] { LoadBalancer(settingsOf(n, kUsualTenants), seconds(1)); });
    });
    Driven driven(kUsualHosts, n, kUsualTenants);
    addRequest("classes", n, driven);
    addMemory("classes", n, [&] { return Driven(kUsualHosts, n, kUsualTenants); });
  }

  const Options options_;
  Table table_;
  double quota_ = 50;
  finchstile::configuration::SettingsChange last_;
};

Options readOptions(int argc, char** argv) {
  Options o;
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (i + 1 >= argc) throw std::invalid_argument(name + " needs a value");
    const std::string value = argv[i + 1];
    if (name == "--out") {
      o.out = value;
    } else if (name == "--samples") {
      const int samples = std::atoi(value.c_str());
      if (samples < 1 || samples > 100) throw std::invalid_argument("--samples must be from 1 to 100");
      o.samples = static_cast<std::size_t>(samples);
    } else if (name == "--only" &&
               (value == "hosts" || value == "tenants" || value == "classes" || value == "configuration")) {
      o.only = value;
    } else {
      throw std::invalid_argument(std::string("unknown option ").append(name).append(" ").append(value));
    }
  }
  return o;
}

}  // namespace
}  // namespace finchstile::bench

int main(int argc, char** argv) try {
  finchstile::bench::Capacity(finchstile::bench::readOptions(argc, argv)).run();
  return 0;
} catch (const std::exception& bad) {
  std::fprintf(stderr, "bench_capacity: %s\n", bad.what());
  return 2;
}
