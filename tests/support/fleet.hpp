// A fleet in simulated time: many load balancers against modelled hosts, and counts over all of them. No
// sockets, no threads, and one seed gives one run. The model is small: hosts have slots, a queue and a limit
// on connections, warm up after their start, and end with or without notice; endpoint lists tell of that
// late. Its figures are not those of real machines.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "support/driver.hpp"
#include "support/fleet_audit.hpp"

namespace finchstile::load_balancing::testing {

struct FleetSettings {
  std::uint32_t gateways = 100;
  int hosts = 60;
  double requestsPerSecond = 2300;  // requests of the whole fleet
  std::uint64_t seed = 1;
  int slots = 4, queue = 8, connections = 88;  // of a host
  Duration work = milliseconds(80);            // mean of a request on a warm host
  Duration handshake = milliseconds(15);       // work of a new connection, before its first request
  Duration listDelay = milliseconds(2500);     // from a change at a host to its publication
  double initialCapacityFraction = 0.35;
  Duration warmUpTime = seconds(9);
  Duration listSpread{};          // beyond that, drawn for each gateway
  double heavyGatewayFactor = 0;  // requests of the first gateway, times the mean; 0: as many as any
};

class Fleet {
 public:
  explicit Fleet(const FleetSettings& s) : settings(s), random_(s.seed) {
    audit.meanWorkSeconds = std::chrono::duration<double>(settings.work).count();
    for (int i = 0; i < settings.hosts; ++i) addHost(i % 2 ? "west" : "east");
    for (std::uint32_t g = 0; g < settings.gateways; ++g) gateways_.push_back({});
    for (std::uint32_t g = 0; g < settings.gateways; ++g) startGateway(g);
    at(Duration{}, [this] { arrive(); });
  }

  // Schedules an event at a time since the start.
  void at(Time when, std::function<void()> what) {
    events_.push({std::max(when, now_), ++order_, std::move(what)});
  }
  // Starts a new process of this gateway; its list is as old as any.
  void startGateway(std::uint32_t g) {
    Gateway& gateway = gateways_[g];
    const std::uint32_t incarnation = ++gateway.incarnation;
    gateway.up = true;
    gateway.idle.clear();
    Settings s = makeSettings();
    s.seed = settings.seed * 1000 + g + 7919 * incarnation;
    s.gatewayCount = settings.gateways;
    s.gatewayIndex = g;
    s.zone = g % 2 ? "west" : "east";
    s.initialCapacityFraction = settings.initialCapacityFraction;
    s.warmUpTime = settings.warmUpTime;
    s.maxAttempts = 6;
    s.pollsDiscovery = true;
    s.classes[0].priorityWeight = 12;
    gateway.balancer = std::make_unique<LoadBalancer>(s, now_);
    gateway.balancer->onHostListUpdate(now_, HostListUpdate::restored, published_);
    for (const HostEntry& e : published_) audit.onHostPublished(g, e, now_);
    carryOut(g);
  }
  // With all that it holds.
  void stopGateway(std::uint32_t g) {
    Gateway& gateway = gateways_[g];
    gateway.up = false;
    gateway.isDraining = false;
    ++gateway.incarnation;
    audit.onGatewayStop(g);
    for (auto& [key, a] : attempts_)
      if (key.gateway == g) drop(a);
    for (auto it = attempts_.begin(); it != attempts_.end();)
      it = it->first.gateway == g ? attempts_.erase(it) : std::next(it);
    for (const auto& [host, n] : gateway.idle) hosts_[static_cast<std::size_t>(host)].open -= n;
    gateway.idle.clear();
  }
  // Clients send it nothing new; what it holds goes on.
  void drainGateway(std::uint32_t g) { gateways_[g].isDraining = true; }
  int addHost(const std::string& zone) {
    Host h;
    h.entry = makeHost(static_cast<int>(hosts_.size()), zone, 0);
    h.entry.startedAt = now_;
    h.since = now_ > Time{} ? now_ : -settings.warmUpTime;
    if (now_ == Time{}) h.entry.startedAt = Time{};
    hosts_.push_back(std::move(h));
    const int id = static_cast<int>(hosts_.size()) - 1;
    publish(id, HostPhase::active);
    return id;
  }
  void drainHost(int id) { publish(id, HostPhase::draining); }
  // Its connections break and new ones are refused; `silent`: nothing comes back at all. The list tells of
  // it.
  void killHost(int id, bool silent = false) {
    Host& h = hosts_[static_cast<std::size_t>(id)];
    h.up = false;
    h.silent = silent;
    ++h.incarnation;
    h.waiting.clear();
    h.busy = h.open = 0;
    for (Gateway& gateway : gateways_) gateway.idle.erase(id);
    std::vector<Key> broken;
    for (const auto& [key, a] : attempts_)
      if (a.host == id) broken.push_back(key);
    if (!silent)
      for (const Key& key : broken) end(key, Outcome::reset, true);
    publish(id, HostPhase::removed);
  }
  // Under its name, warming up.
  void restartHost(int id) {
    Host& h = hosts_[static_cast<std::size_t>(id)];
    h.up = true;
    h.silent = false;
    h.since = h.entry.startedAt = now_;
    publish(id, HostPhase::active);
  }
  void run(Time until) {
    while (!events_.empty() && events_.top().when <= until) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.when;
      event.what();
    }
    now_ = until;
  }

  struct Counts {
    double valueRequested = 0, valueServed = 0;
    std::size_t requests = 0, served = 0, rejected = 0, failed = 0;
    std::size_t attempts = 0, capacityRejections = 0, refusedConnections = 0, handshakes = 0;
    int maxConnectionsPerHost = 0;
    std::map<int, std::size_t> sentTo, servedBy;
    std::set<std::pair<std::uint32_t, int>> pairs;  // gateways and the hosts that they sent to
    double maxWarmingLoad = 0;  // times what a warming host can do in a window of two seconds
    std::size_t duplicateAnswers = 0, sentToDraining = 0;
  };
  Counts counts;  // may be cleared between two runs
  FleetAudit audit;
  // Changes the actions of a load balancer before they are carried out: it then breaks a rule.
  std::function<void(std::uint32_t gateway, LoadBalancer& balancer, std::vector<Action>& actions)> tamper;
  // An unreachable host works, but nothing comes back from it.
  void setUnreachable(int id, bool isUnreachable) {
    hosts_[static_cast<std::size_t>(id)].isUnreachable = isUnreachable;
  }
  double lostAnswerFraction = 0;
  const FleetSettings settings;
  Time now() const { return now_; }
  double warmth(int id, Time when) const {
    const Host& h = hosts_[static_cast<std::size_t>(id)];
    const double passed = std::chrono::duration<double>(when - h.since) / settings.warmUpTime;
    return std::min(1.0, settings.initialCapacityFraction + (1 - settings.initialCapacityFraction) * passed);
  }

 private:
  struct Key {
    std::uint32_t gateway;
    RequestId request;
    std::uint32_t attempt;
    bool operator<(const Key& o) const {
      return std::tie(gateway, request, attempt) < std::tie(o.gateway, o.request, o.attempt);
    }
  };
  struct Attempt {
    int host = 0;
    std::uint32_t incarnation = 0;  // of the host's process
    Time at{};
    Duration work{};
    bool working = false, waiting = false;
  };
  struct Host {
    HostEntry entry;
    Time since{};
    bool up = true, silent = false, isUnreachable = false;
    std::uint32_t incarnation = 1;
    int busy = 0, open = 0;
    std::deque<Key> waiting;
    Time drainingPublishedAt{};
  };
  struct Gateway {
    std::unique_ptr<LoadBalancer> balancer;
    std::uint32_t incarnation = 0;
    bool up = false, isDraining = false;
    std::map<int, int> idle;  // connections by host
    std::map<HostId, int> hostOf;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return std::tie(o.when, o.order) < std::tie(when, order); }
  };
  struct RequestRecord {
    double value;
    bool answered;
  };

  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Duration exponential(Duration mean) {
    return Duration(static_cast<std::int64_t>(-std::log(1 - unit()) * static_cast<double>(mean.count())));
  }

  void publish(int id, HostPhase phase) {
    HostEntry e = hosts_[static_cast<std::size_t>(id)].entry;
    e.phase = phase;
    if (now_ == Time{}) {
      published_.push_back(e);
      return;
    }
    at(now_ + settings.listDelay + exponential(milliseconds(300)), [this, e, id] {
      auto it = std::find_if(published_.begin(), published_.end(),
                             [&](const auto& t) { return t.address == e.address; });
      if (it == published_.end()) published_.push_back(e);
      else *it = e;
      if (e.phase != HostPhase::active) hosts_[static_cast<std::size_t>(id)].drainingPublishedAt = now_;
      else hosts_[static_cast<std::size_t>(id)].drainingPublishedAt = Time{};
      for (std::uint32_t g = 0; g < settings.gateways; ++g) {
        if (settings.listSpread == Duration{}) {
          deliver(g, e);
          continue;
        }
        const Duration later(
            static_cast<std::int64_t>(unit() * static_cast<double>(settings.listSpread.count())));
        at(now_ + later, [this, g, e] { deliver(g, e); });
      }
    });
  }
  void deliver(std::uint32_t g, const HostEntry& e) {
    if (!gateways_[g].up) return;
    gateways_[g].balancer->onHostListUpdate(now_, HostListUpdate::incremental, {e});
    audit.onHostPublished(g, e, now_);
    carryOut(g);
  }

  void arrive() {
    at(now_ + exponential(Duration(static_cast<std::int64_t>(1e9 / settings.requestsPerSecond))),
       [this] { arrive(); });
    std::uint32_t g = static_cast<std::uint32_t>(unit() * settings.gateways);
    if (settings.heavyGatewayFactor > 0 && unit() * settings.gateways < settings.heavyGatewayFactor) g = 0;
    const auto in = [&](std::uint32_t n) { return gateways_[n].up && !gateways_[n].isDraining; };
    for (std::uint32_t i = 0; !in(g) && i < settings.gateways; ++i) g = (g + 1) % settings.gateways;
    if (!in(g)) return;
    Request q;
    q.id = ++lastRequest_;
    const double kind = unit();  // the class of high priority is idempotent, the others are not or have a key
    q.classIndex = kind < 0.15 ? 0 : kind < 0.7 ? 1 : 2;
    q.timeLeft = milliseconds(1000);
    const double value = q.classIndex == 0 ? 12 : 1;
    requests_[q.id] = {value, false};
    counts.valueRequested += value;
    ++counts.requests;
    audit.onRequest(g, q.id, classes_[q.classIndex], now_ + q.timeLeft);
    gateways_[g].balancer->onRequest(now_, q);
    carryOut(g);
  }

  void carryOut(std::uint32_t g) {
    Gateway& gateway = gateways_[g];
    const std::uint32_t incarnation = gateway.incarnation;
    std::vector<Action> actions;
    actions.swap(gateway.balancer->actions());
    if (tamper) tamper(g, *gateway.balancer, actions);
    for (const Action& a : actions) switch (a.kind) {
        case ActionKind::sendAttempt: send(g, a); break;
        case ActionKind::reject:
        case ActionKind::fail: answer(a.request, a.kind == ActionKind::reject ? 1 : 2); break;
        case ActionKind::cancelAttempt: {
          const Key key{g, a.request, a.attempt};
          audit.onCancel(a.request, a.attempt);
          at(now_, [this, key, incarnation] {
            if (gateways_[key.gateway].incarnation == incarnation) end(key, Outcome::cancelled, true);
          });
          break;
        }
        case ActionKind::setTimer:
          at(a.duration, [this, g, incarnation] {
            if (gateways_[g].incarnation != incarnation) return;
            gateways_[g].balancer->onTimer(now_);
            carryOut(g);
          });
          break;
        default: break;
      }
  }

  void send(std::uint32_t g, const Action& a) {
    Gateway& gateway = gateways_[g];
    const int id = std::stoi(gateway.balancer->hostAddress(a.host).substr(5)) - 100;
    Host& h = hosts_[static_cast<std::size_t>(id)];
    const Key key{g, a.request, a.attempt};
    const std::uint32_t incarnation = gateway.incarnation;
    ++counts.attempts;
    ++counts.sentTo[id];
    counts.pairs.insert({g, id});
    if (h.drainingPublishedAt > Time{} &&
        now_ - h.drainingPublishedAt > milliseconds(500) + settings.listSpread)
      ++counts.sentToDraining;
    audit.onSend(g, a.request, a.attempt, h.entry, now_);
    Attempt t;
    t.host = id;
    t.incarnation = h.incarnation;
    t.at = now_;
    t.work = exponential(settings.work);
    const bool reused = gateway.idle.count(id) && gateway.idle[id] > 0;
    const bool refused = !h.silent && (!h.up || (!reused && h.open >= settings.connections));
    if (reused) --gateway.idle[id];
    else if (h.up && !refused) {
      ++h.open;
      ++counts.handshakes;
      t.work += settings.handshake;
    }
    attempts_[key] = t;
    counts.maxConnectionsPerHost = std::max(counts.maxConnectionsPerHost, h.open);
    if (h.up) countWarmingSend(g, id, t.work);
    const Duration latency = h.entry.zone == (g % 2 ? "west" : "east") ? Duration(200'000) : milliseconds(7);
    at(now_ + a.duration, [this, key, incarnation] {
      if (gateways_[key.gateway].incarnation == incarnation) end(key, Outcome::timeout, true);
    });
    if (h.silent || h.isUnreachable) return;
    at(now_ + latency, [this, key, incarnation, refused] {
      if (gateways_[key.gateway].incarnation != incarnation || !attempts_.count(key)) return;
      if (refused) return end(key, Outcome::connectFailed, true);
      arriveAtHost(key);
    });
  }

  void countWarmingSend(std::uint32_t g, int id, Duration work) {
    const double warm = warmth(id, now_), spent = std::chrono::duration<double>(work).count();
    if (warm >= 1) return;
    const HostEntry& host = hosts_[static_cast<std::size_t>(id)].entry;
    counts.maxWarmingLoad =
        std::max(counts.maxWarmingLoad, audit.onWarmingHostSend(g, host, spent, settings.slots * warm, now_));
  }

  void arriveAtHost(const Key& key) {
    Attempt& t = attempts_[key];
    Host& h = hosts_[static_cast<std::size_t>(t.host)];
    if (t.incarnation != h.incarnation) return;
    if (h.busy < settings.slots) return startWork(key);
    if (h.waiting.size() >= static_cast<std::size_t>(settings.queue))
      return end(key, Outcome::rejectedForCapacity, false);
    t.waiting = true;
    h.waiting.push_back(key);
  }

  void startWork(const Key& key) {
    Attempt& t = attempts_[key];
    Host& h = hosts_[static_cast<std::size_t>(t.host)];
    t.working = true;
    t.waiting = false;
    ++h.busy;
    const auto duration =
        Duration(static_cast<std::int64_t>(static_cast<double>(t.work.count()) / warmth(t.host, now_)));
    const std::uint32_t incarnation = t.incarnation;
    const Time at0 = t.at;
    at(now_ + duration, [this, key, incarnation, at0] {
      const auto it = attempts_.find(key);
      if (it == attempts_.end() || it->second.incarnation != incarnation || it->second.at != at0) return;
      if (hosts_[static_cast<std::size_t>(it->second.host)].isUnreachable) return;
      if (lostAnswerFraction > 0 && unit() < lostAnswerFraction) return end(key, Outcome::reset, true);
      end(key, Outcome::served, false);
    });
  }

  // Ends its work at the host.
  void drop(Attempt& t) {
    Host& h = hosts_[static_cast<std::size_t>(t.host)];
    if (t.incarnation != h.incarnation) return;
    if (!t.working) return;
    --h.busy;
    if (!h.waiting.empty()) {
      const Key next = h.waiting.front();
      h.waiting.pop_front();
      if (attempts_.count(next)) startWork(next);
    }
  }

  void end(const Key& key, Outcome outcome, bool broken) {
    const auto it = attempts_.find(key);
    if (it == attempts_.end()) return;
    Attempt t = it->second;
    Host& h = hosts_[static_cast<std::size_t>(t.host)];
    if (t.waiting && t.incarnation == h.incarnation)
      h.waiting.erase(std::remove_if(h.waiting.begin(), h.waiting.end(),
                                     [&](const Key& k) { return !(k < key) && !(key < k); }),
                      h.waiting.end());
    attempts_.erase(it);
    drop(t);
    audit.onAttemptEnd(key.request, key.attempt, outcome);
    Gateway& gateway = gateways_[key.gateway];
    if (t.incarnation == h.incarnation && outcome != Outcome::connectFailed) {
      if (broken) --h.open;
      else ++gateway.idle[t.host];
    }
    if (outcome == Outcome::rejectedForCapacity) ++counts.capacityRejections;
    if (outcome == Outcome::connectFailed) ++counts.refusedConnections;
    if (outcome == Outcome::served) {
      ++counts.servedBy[t.host];
      answer(key.request, 0);
    }
    gateway.balancer->onAttemptResult(
        now_, {key.request, key.attempt, gateway.balancer->findHost(h.entry.address), outcome,
               std::max(now_ - t.at, Duration(1)), outcome == Outcome::served});
    carryOut(key.gateway);
  }

  void answer(RequestId id, int how) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    audit.onAnswer(id, static_cast<FleetAudit::Answer>(how), now_);
    if (std::exchange(it->second.answered, true)) ++counts.duplicateAnswers;
    if (how == 0) ++counts.served, counts.valueServed += it->second.value;
    else ++(how == 1 ? counts.rejected : counts.failed);
  }

  const std::vector<ClassSettings> classes_ = makeSettings().classes;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t order_ = 0;
  RequestId lastRequest_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Host> hosts_;
  std::vector<Gateway> gateways_;
  std::vector<HostEntry> published_;
  std::map<Key, Attempt> attempts_;
  std::map<RequestId, RequestRecord> requests_;
};

// Days that tests and benchmarks share, from `begin` on.

// Within a second.
inline void restartAllGateways(Fleet& f, Time begin) {
  for (std::uint32_t g = 0; g < f.settings.gateways; ++g) {
    f.at(begin + milliseconds(10 * g), [&f, g] { f.stopGateway(g); });
    f.at(begin + milliseconds(10 * g + 300), [&f, g] { f.startGateway(g); });
  }
}

// For five seconds; every other host of it without notice.
inline void failOneZone(Fleet& f, Time begin) {
  for (int h = 0; h < f.settings.hosts; h += 2) {
    f.at(begin, [&f, h] { f.killHost(h, h % 4 == 0); });
    f.at(begin + seconds(5), [&f, h] { f.restartHost(h); });
  }
}

// Within seven seconds; successors start two seconds later.
inline void replaceSixtyPercentOfHosts(Fleet& f, Time begin) {
  for (int h = 0; h < f.settings.hosts * 6 / 10; ++h) {
    const Time when = begin + milliseconds(200 * h);
    f.at(when, [&f, h] { f.drainHost(h); });
    f.at(when + seconds(2), [&f, h] { f.addHost(h % 2 ? "west" : "east"); });
    f.at(when + seconds(4), [&f, h] { f.killHost(h); });
  }
}

// A tenth of the gateways at a time: clients leave it, a second later its process ends, and the next one
// starts with the list as it stands. Meanwhile half of the hosts are replaced in steps.
inline void rollingDeploy(Fleet& f, Time begin) {
  for (std::uint32_t g = 0; g < f.settings.gateways; ++g) {
    const Time when = begin + milliseconds(1300) * (g % 10);
    f.at(when, [&f, g] { f.drainGateway(g); });
    f.at(when + milliseconds(1100), [&f, g] { f.stopGateway(g); });
    f.at(when + milliseconds(1200), [&f, g] { f.startGateway(g); });
  }
  for (int h = 0; h < f.settings.hosts / 2; ++h) {
    const Time when = begin + milliseconds(1500) * (h / 6);
    f.at(when, [&f, h] { f.drainHost(h); });
    f.at(when + milliseconds(500), [&f, h] { f.addHost(h % 2 ? "west" : "east"); });
    f.at(when + seconds(10), [&f, h] { f.killHost(h); });
  }
}

}  // namespace finchstile::load_balancing::testing
