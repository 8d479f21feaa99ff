// ridgeshift: the decisions of an HTTP load balancer run as a small bank of proxies.
//
// The embedding proxy feeds a Balancer with events and the clock, and carries out the actions that
// come back. The Balancer does no I/O, reads no clock, starts no thread and keeps no globals: the same
// seed, settings and events give the same actions.
//
// Misuse: an event that names an unknown request, attempt or host is ignored; so is a second request
// under an id that is still open. A request of an unknown class is handled as Effect::fragile with the
// lowest worth. Settings that make no sense are rejected by the constructor (std::invalid_argument).
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeshift {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since any fixed start; must never go back
using RequestId = std::uint64_t;        // chosen by the caller, never used again
using HostId = std::uint32_t;           // given out by the Balancer at first sight of an address
inline constexpr std::uint32_t kNone = UINT32_MAX;
inline constexpr std::size_t kClassesMost = 4096;
inline constexpr std::size_t kTenantsMost = 131'072;  // 16 bytes each: two megabytes

enum class Effect { retryable, dedup, fragile };  // may it run again?
enum class Group { all, zone, cell };             // which hosts drop repeats of a dedup request together

struct ClassSettings {
  std::string name;
  Duration aim{};     // full worth up to here
  Duration giveUp{};  // the client's total wait
  Duration window{};  // dedup: how long repeats are dropped
  Effect effect = Effect::fragile;
  Group group = Group::all;
  double worth = 1;
  double lateShare = 0;   // share of the worth for an answer past the aim
  double aimStretch = 0;  // extra time on the aim, in multiples of the request's cost
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // over all gateways; 0 = no quota
};

// What is asked for and what is owed to whom, as far as it may change while requests are open. A class keeps
// its place, name, effect, group and window; those are agreed with the hosts.
struct Terms {
  struct ClassTerms {
    std::uint32_t index = 0;  // into Settings::classes
    Duration aim{};           // above 0, and not beyond the class's giveUp
    double worth = 1;         // 0 or more
    double lateShare = 0;     // 0 to 1
  };
  struct TenantTerms {
    std::uint32_t index = 0;    // a place not used so far, or one of a tenant whose quota changes
    double quotaPerSecond = 0;  // over all gateways, 0 or more; 0 = no quota
  };
  std::vector<ClassTerms> classes;
  std::vector<TenantTerms> tenants;
};

struct Settings {
  std::uint64_t seed = 1;
  std::uint32_t groupSize = 1;  // gateways in the bank, this one included
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overShareWorth = 0.1;    // worth left to what a tenant sends beyond its quota
  bool askDiscovery = false;      // the host list comes only when asked for
  bool warmKeys = false;          // a host that lately served a key serves it with less work
  bool retryAfter = false;        // clients receive a retry-after
  bool cancel = false;            // attempts may be cancelled
  bool probes = false;            // hosts may be probed
  bool peers = false;             // gateways may send each other messages
  std::uint32_t myNumber = 0;     // of this gateway among groupSize, from 0
  std::uint32_t maxAttempts = 1;  // for one request
  Duration maxRetryAfter{};       // the longest that clients heed
  Duration askWithin{};           // askDiscovery: longest silence towards discovery; 0 = no limit
  Duration step{};                // spacing of the event batches: how late the clock may be read
  Duration coldTime{};            // a host is warm this long after its start
  double coldShare = 1;           // share of its capacity that it starts with
  double fallMultiple = 3;        // a cold host falls when sent this multiple of its capacity
  Duration fallWindow{};          // for this long
  // Streams; 0: no bound. The first two hold for the bank and are kept by each gateway for its part, cold
  // hosts by their warmth.
  double streamRate = 0;          // that may begin at one host, a second
  std::uint32_t hostStreams = 0;  // held by one host
  std::uint32_t mostStreams = 0;  // held by this gateway
  Duration streamReturn{};        // those refused are told to come back spread over this; 0: as `retryAfter`
};

enum class Phase { in, draining, out };

struct HostEntry {
  std::string address;
  std::string zone;
  std::string kind;  // machine kind
  std::int64_t cell = 0;
  Phase phase = Phase::in;
  Time upSince{};  // latest start; zero = long past
};

// moved: another discovery is asked from now on, by the embedding proxy. unavailable: the call that was out
// failed; the next one is asked for by ActionKind::subscribe.
enum class ListKind { update, replace, restored, unavailable, moved };

// An attempt of an earlier request with the same key, which may have run: where and when it went out.
struct EarlierAttempt {
  std::string zone;
  std::int64_t cell = 0;
  Time at{};
};

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration left{};                    // until the client gives this try up
  Duration cost{};                    // expected work; zero = not known
  std::uint64_t key = 0;
  bool hasKey = false;
  // Its body is still coming and goes on as it comes: it can be sent once only, and neither its time nor a
  // host's work counts before `onArrived`.
  bool arriving = false;
  // Asks for a stream, held open for long: `left` is for it to begin. Once it has (`onAnswerStarted`) it goes
  // nowhere else, is no load in flight, and counts among its host's streams until its result.
  bool stream = false;
  // Goes to hosts of the own zone, as long as one of them holds less than the pool may before its cut begins.
  bool homeFirst = false;
  // Binds this one like an attempt of its own that may have run: it goes only where repeats are dropped
  // together with that one's, within its window, and else fails; it is never refused, since trying again
  // would not be harmless.
  std::optional<EarlierAttempt> earlier;
};

enum class Outcome {
  served,
  error,          // may have run
  full,           // turned away unseen
  timeout,        // may have run
  connectFailed,  // never ran
  reset,          // may have run
  cancelled,      // may have run
  moot,           // not sent
  rejected        // the request is at fault: no blame, and nobody else is to be asked
};

// Whether a host may have run an attempt that ended so.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::full && outcome != Outcome::connectFailed && outcome != Outcome::moot;
}

// A host's load as it reports it, some time ago and not exactly. NaN: not reported. What makes no sense
// (below 0, not finite) counts as not reported.
struct LoadReport {
  double inflight = std::numeric_limits<double>::quiet_NaN();   // requests it holds
  double queue = std::numeric_limits<double>::quiet_NaN();      // requests waiting
  double latencyMs = std::numeric_limits<double>::quiet_NaN();  // how long its work lately took, milliseconds
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  Duration taken{};
  bool terminal = false;               // nothing more is owed for the request
  std::optional<LoadReport> report{};  // that its answer carried
};

struct ProbeResult {
  HostId host = kNone;
  bool ok = false;  // the host answered that it is well
  LoadReport report;
};

// What a balancer has learned of its traffic and its hosts, for the next one of the same gateway. Durations
// are ages and spans, since their clocks differ.
struct Learned {
  struct Class {
    std::string name;
    double norm = 0, meanCost = 0, lateSeen = 0;
    Duration usualLeft{};
  };
  struct Kind {
    std::string name;
    double proven = 0, pace = 1;
  };
  struct Level {
    double worth = 0, seen = 0;
  };
  struct Host {
    std::string address;
    Duration up{};  // since its start; 0: long ago
    double pace = 1, fails = 0, rate = 0;
    Duration ejectedFor{};  // from now on; 0: it is not
    int ejections = 0;
  };
  Duration age{};  // of the one that has learned it
  double arrivalRate = 0, arrivalSweeps = 0, answers = 0, fastRate = 0, meanAim = 0, meanWork = 0,
         calmHeld = 0, servedShare = 0;
  std::vector<Class> classes;
  std::vector<Kind> kinds;
  std::vector<Level> levels;
  std::vector<Host> hosts;
};

enum class ActionKind { send, refuse, fail, cancel, wake, subscribe, probe, tell, log };

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;      // send, refuse, fail, cancel
  std::uint32_t attempt = 0;  // send, cancel: number of the attempt, from 0; tell: number of the peer
  HostId host = kNone;        // send, probe
  Duration span{};            // send: time limit; refuse: retry-after (0 = none); wake: the clock time
  bool proveFirst = false;    // send: see that the connection lives before the last byte goes out
  std::string text;           // log; tell: the bytes of the message, 256 at most
  Time latest = Time::max();  // send: no byte may go out later; a host may have forgotten an earlier attempt
};

class Balancer {
 public:
  // Throws std::invalid_argument that says which setting is wrong.
  Balancer(Settings settings, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void onHosts(Time now, ListKind kind, const std::vector<HostEntry>& entries);
  // Requests that come from now on are decided under `terms`; those that are open end under the terms with
  // which they began. Classes and tenants that are not named keep theirs. Throws std::invalid_argument if a
  // term makes no sense, names no class, or leaves places of tenants unused beyond kTenantsMost; nothing is
  // taken then.
  void onTerms(Time now, const Terms& terms);
  void onRequest(Time now, const Request& request);
  // The last byte of an `arriving` request is here. The time limit of its attempt from now on; 0: none is
  // out.
  Duration onArrived(Time now, RequestId request);
  // A host has begun to answer: its work is done, and what the answer takes on its way is no load. The
  // attempt goes on; its `AttemptResult::taken` is to be the time up to here.
  void onHead(Time now, RequestId request, std::uint32_t attempt);
  void onAnswerStarted(Time now, RequestId request, std::uint32_t attempt);  // streams
  void onResult(Time now, const AttemptResult& result);
  void onClientGone(Time now, RequestId request);
  void onWake(Time now);  // at or after the time asked for in ActionKind::wake; extra calls do no harm

  void onProbe(Time now, const ProbeResult& result);  // one for each ActionKind::probe
  // A message of the gateway `from`, as that one's ActionKind::tell had it. Lost, late, repeated or corrupt
  // ones do no harm.
  void onPeer(Time now, std::uint32_t from, std::string_view bytes);

  Learned learned() const;
  // Takes over what fits: classes, kinds and hosts by name, a host only if it has not started anew since.
  // Whoever has learned as much itself keeps to that; what makes no sense is passed over. What lists and
  // rules forbid stays forbidden.
  void recall(Time now, const Learned& learned);

  // Actions since the last clear, in the order in which they are to be carried out.
  std::vector<Action>& actions();

  HostId findHost(std::string_view address) const;  // kNone if no list has named it
  bool knows(HostId host) const;                    // a host is forgotten once it is gone and nothing
                                                    // of it is open
  bool avoids(HostId host) const;                   // known, and by choice it gets nothing new now
  const std::string& address(HostId host) const;    // throws std::out_of_range
  double cutoff() const;                            // 0 to 100: scores below it are refused now
  std::size_t openRequests() const;                 // requests and attempts not yet over
  std::size_t streams(HostId host) const;           // that the host holds or is sent; 0 if it is not known
  std::size_t streams() const;                      // all of them

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ridgeshift
