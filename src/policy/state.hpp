// What the decision module keeps of hosts and requests, and its arithmetic. Nothing is decided here.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "policy/reports.hpp"

namespace finchstile::load_balancing {

inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration scaled(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64 finisher
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hashText(std::string_view text) {  // FNV-1a: the same at every gateway
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

inline double quantile(std::vector<double>& v, double at, double none) {
  if (v.empty()) return none;
  const auto nth = v.begin() + static_cast<std::ptrdiff_t>(at * static_cast<double>(v.size() - 1));
  std::nth_element(v.begin(), nth, v.end());
  return *nth;
}

constexpr Duration kLogEvery = std::chrono::seconds(1);  // log lines are few
constexpr std::size_t kTries = 8;                        // attempts kept for one request
constexpr double kQuotaBurst = 4;  // requests of one tenant that count as within its share at once

enum class Health { good, ejected, trial };

struct Host {
  HostId id = kNone;
  HostEntry entry;
  std::size_t refs = 0;  // tries of requests that are not yet over
  std::uint64_t hash = 0;
  std::uint32_t hash32() const { return static_cast<std::uint32_t>(hash); }
  bool local = false;
  int inflight = 0;
  std::size_t busyAt = 0;  // its place in State::busy, while it holds something
  double pace = 1;         // time taken against the class's usual time
  double fails = 0;
  double served = 0, rate = 0;      // answers since the last sweep; answers a second
  std::size_t kind = 0;             // into kinds
  double outcomes = 0, errors = 0;  // decayed counts, for the pool's error rate
  Health health = Health::good;
  Time until{};  // end of the ejection
  int ejections = 0;
  bool silent = false;
  Time heard{};
  int fulls = 0;  // "full" answers on end
  Time restUntil{};
  double coldTokens = 0;
  Time coldAt{};
  std::size_t streams = 0;  // that it holds, or is sent
  double streamTokens = 1;
  Time streamsAt{};
  Reported reported;
  std::deque<RequestId> sent;    // in order of sending
  std::deque<RequestId> probes;  // requests that wait for its report
  std::uint64_t group = 0;       // of the hosts that have one keeper
  std::deque<Time> told;  // as their keeper: when each attempt that gateways told of is over at the latest
  std::size_t heldByTold(Time now) {  // drops what is over
    while (!told.empty() && told.front() <= now) told.pop_front();
    return told.size();
  }
};

// Hosts by id. A place in it is used again, an id only after 65,535 others at its place: none comes to mean
// another host while something may still refer to it.
class HostTable {
 public:
  Host& operator[](HostId id) { return slots_[id & kSlot]; }
  const Host& operator[](HostId id) const { return slots_[id & kSlot]; }
  bool known(HostId id) const { return (id & kSlot) < slots_.size() && slots_[id & kSlot].id == id; }
  bool full() const { return free_.empty() && slots_.size() >= kSlot; }

  HostId add() {
    HostId id = static_cast<HostId>(slots_.size());
    if (free_.empty()) {
      slots_.emplace_back();
    } else {
      id = free_.front();
      free_.pop_front();
    }
    (*this)[id].id = id;
    return id;
  }
  void drop(HostId id) {
    (*this)[id] = Host{};
    free_.push_back(id + kSlot + 1);
  }

  auto begin() { return slots_.begin(); }  // places that are free among them: their id is kNone
  auto end() { return slots_.end(); }

 private:
  static constexpr HostId kSlot = 0xffff;
  std::vector<Host> slots_;
  std::deque<HostId> free_;  // the next id of each free place
};

struct Try {
  HostId host = kNone;
  Time at{};
  bool out = false, mayHaveRun = false, cancelled = false;
  bool held = false;    // counts as held by the host
  bool stream = false;  // counts among its streams
  Hint hint{};          // of the host's load, as it went out
};

struct Open {
  RequestId id = 0;
  std::uint32_t cls = kNone;
  Time deadline{}, aimAt{};
  double cost = 0;       // against the class's mean
  Duration aim{};        // of its class, as it came
  double lateShare = 0;  // the same
  std::uint64_t key = 0;
  bool hasKey = false, ended = false, bound = false;
  bool homeFirst = false, stream = false;
  bool once = false, coming = false;  // can be sent once only; its last byte is not here yet
  Time came{};
  double worth = 0, score = 0, load = -1;  // load: held by the host that a look found; below 0: not known
  int looking = 0;                         // reports or advice waited for
  HostId best = kNone;                     // of those heard of so far
  double bestLoad = 0;
  std::optional<EarlierAttempt> earlier;  // of a request before this one, with its key
  std::array<Try, kTries> tries;
  std::uint32_t count = 0, out = 0;
};

struct Kind {  // machines of one size
  std::string name;
  double proven = 0;  // answers a second that a warm host of this kind gave us, kept for a while
  double pace = 1;    // of its hosts, over the last fifty answers
};

struct Level {  // requests of one worth, for the ranks
  double worth = 0, seen = 0;
};

struct ClassState {
  ClassSettings set;
  double norm = 0;      // seconds; zero until the first answer
  double meanCost = 0;  // seconds, of the hints
  Duration usualLeft{};
  double lateSeen = 0;  // part of its recent requests that look like late tries
};

// A tenant's token bucket, filled when it is used: all of them at each request would cost more than the
// request.
struct TenantState {
  double quota = 0, tokens = 0;  // a second, over all gateways; requests within its share at once
  Time filled{};
};

struct Guard {
  Time at;
  RequestId id;
  bool operator>(const Guard& o) const { return at != o.at ? at > o.at : id > o.id; }
};

struct State {  // of one gateway
  Settings set;
  std::mt19937_64 engine;
  std::vector<Action> out;
  HostTable hosts;
  std::vector<HostId> gone;  // listed no more, and not yet forgotten
  std::unordered_map<std::string, HostId> hostIds;
  std::unordered_map<std::uint32_t, HostId> byHash;  // as peers name them
  std::unordered_map<std::uint64_t, Time> deaf;      // groups whose keeper is silent: until when
  Duration longestAim{}, sweep{};
  std::vector<HostId> busy;    // hold something of ours, in no order
  std::vector<HostId> listed;  // phase `in`, in order of address: the same order at every start
  std::vector<HostId> order;   // the same, as this gateway prefers them,
  std::size_t kept = 0;        // and how many it keeps to
  std::vector<ClassState> classes;
  std::vector<Kind> kinds;
  std::vector<TenantState> tenants;
  std::unordered_map<RequestId, Open> requests;
  std::vector<Level> levels;
  std::priority_queue<Guard, std::vector<Guard>, std::greater<>> guards;
  std::vector<HostId> ready;

  Time now{}, started{}, nextSweep{}, armed{};
  double smoothHeld = 0, cut = 0, errorOverload = 0;
  double inTime = 0, fastRate = 0;  // answers within the aim: since the sweep; a second
  Time firstCame{};                 // the first arrival,
  double firstInTime = 0;           // and what was answered in time soon after it
  double arrivals = 0, arrivalRate = 0, arrivalSweeps = 0,
         answers = 0;                // since the sweep; a sweep, remembered like the mix
  double fullSeen = 0, outcomeSeen;  // decayed counts
  double calmHeld = 0;               // in-flight a host while nothing is refused
  double meanAim = 0, meanWork = 0;  // seconds over the recent arrivals: aim, usual time
  double medianPace = 1, peerFails = 0;
  double sends = 0, served = 0;         // since the sweep,
  double sendRate = 1, servedRate = 0;  // and a second, over half and over some seconds
  double provenRate = 0;                // served a listed host and second at best, kept for a while
  double servedShare = 0.5;             // share of attempts that are served, over the last twenty
  double lostShare = 0;                 // share that is lost, over the last fifty,
  double lostTime = 0, heldTime = 0;    // seconds of an attempt: of the lost, of all
  double bareOfAim = 0, bareSeen = 0;   // time for each request held, against the aim
  double retryTokens = 0;
  Time repeatableAt{Duration::min() / 2};  // when the last request came that may run twice
  Reports reports;
  std::size_t streams = 0;
  bool asking = false, answered = false;
  Time askedAt{}, askAgain{};
  Time hurryUntil{};  // discovery has moved, and has not told of any host yet
  int askFailures = 0;
  Time logged{};
  int loggedCut = 0;

  // Own draws: std distributions differ between standard libraries.
  double drawUnit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  std::size_t drawBelow(std::size_t n) {
    return static_cast<std::size_t>(drawUnit() * static_cast<double>(n));
  }

  Open* find(RequestId id) {
    const auto it = requests.find(id);
    return it == requests.end() ? nullptr : &it->second;
  }
  const Try* outTry(RequestId id, HostId host) const {
    const auto it = requests.find(id);
    if (it == requests.end()) return nullptr;
    const Open& r = it->second;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].held && r.tries[i].host == host) return &r.tries[i];
    return nullptr;
  }

  // What hosts hold and are sent, counted.
  void hold(const Open& r, Try& t) {
    Host& h = hosts[t.host];
    t.held = true;
    h.sent.push_back(r.id);
    if (++h.inflight > 1) return;
    h.busyAt = busy.size();
    busy.push_back(h.id);
  }
  void letGo(Try& t) {
    Host& h = hosts[t.host];
    if (!std::exchange(t.held, false) || --h.inflight > 0) return;
    hosts[busy.back()].busyAt = h.busyAt;
    busy[h.busyAt] = busy.back();
    busy.pop_back();
  }
  void beginStream(Try& t) {
    t.stream = true;
    ++hosts[t.host].streams;
    ++streams;
    hosts[t.host].streamTokens -= 1;
  }
  void endStream(Try& t) {
    if (!std::exchange(t.stream, false)) return;
    --hosts[t.host].streams;
    --streams;
  }

  bool isCold(const Host& h) const {
    return h.entry.startedAt > Time{} && now - h.entry.startedAt < set.warmUpTime;
  }
  double warmth(const Host& h) const {
    if (!isCold(h)) return 1;
    return set.initialCapacityFraction +
           (1 - set.initialCapacityFraction) * toSeconds(now - h.entry.startedAt) / toSeconds(set.warmUpTime);
  }

  // A gone host is forgotten when nothing refers to it any more: fleets that are replaced for days would fill
  // the memory. One that is listed again later is a new one.
  void forget() {
    gone.erase(std::remove_if(gone.begin(), gone.end(),
                              [this](HostId id) {
                                Host& h = hosts[id];
                                if (h.refs > 0 || !h.probes.empty()) return false;
                                hostIds.erase(h.entry.address);
                                const auto it = byHash.find(h.hash32());
                                if (it != byHash.end() && it->second == id) byHash.erase(it);
                                hosts.drop(id);
                                return true;
                              }),
               gone.end());
  }

  void emit(ActionKind kind, RequestId id = 0, std::uint32_t attempt = 0, HostId host = kNone,
            Duration span = {}) {
    out.push_back({kind, id, attempt, host, span, false, {}});
  }
  void log(std::string text) {
    out.push_back({ActionKind::log, 0, 0, kNone, {}, false, std::move(text)});
    logged = now;
  }
  bool mayLog() const { return now - logged >= kLogEvery || logged == Time{}; }
};

// Checks all of `terms` first and throws std::invalid_argument; else takes them over in one step.
void applyDynamicSettings(State& state, const DynamicSettings& terms);

LearnedState captureLearnedState(const State& state);
void restoreLearnedState(State& state, const LearnedState& learned);

}  // namespace finchstile::load_balancing
