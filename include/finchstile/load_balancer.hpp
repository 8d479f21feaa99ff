// The decisions of an HTTP load balancer that runs as a fleet of gateways.
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

namespace finchstile::load_balancing {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since any fixed start; must never go back
using RequestId = std::uint64_t;        // chosen by the caller, never used again
using HostId = std::uint32_t;           // given out by the Balancer at first sight of an address
inline constexpr std::uint32_t kNone = UINT32_MAX;
inline constexpr std::size_t kMaxClasses = 4096;
inline constexpr std::size_t kMaxTenants = 131'072;  // 16 bytes each: two megabytes

enum class Idempotency { idempotent, idempotentWithKey, nonIdempotent };  // may it run again?
enum class DeduplicationScope { all, zone, cell };  // which hosts drop repeats of a dedup request together

struct ClassSettings {
  std::string name;
  Duration latencyObjective{};     // full worth up to here
  Duration clientTimeout{};        // the client's total wait
  Duration deduplicationWindow{};  // dedup: how long repeats are dropped
  Idempotency idempotency = Idempotency::nonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double priorityWeight = 1;
  double lateValueFraction = 0;  // share of the worth for an answer past the aim
  double objectiveStretch = 0;   // extra time on the aim, in multiples of the request's cost
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // over all gateways; 0 = no quota
};

// What is asked for and what is owed to whom, as far as it may change while requests are open. A class keeps
// its place, name, effect, group and window; those are agreed with the hosts.
struct DynamicSettings {
  struct ClassUpdate {
    std::uint32_t index = 0;       // into Settings::classes
    Duration latencyObjective{};   // above 0, and not beyond the class's giveUp
    double priorityWeight = 1;     // 0 or more
    double lateValueFraction = 0;  // 0 to 1
  };
  struct TenantUpdate {
    std::uint32_t index = 0;    // a place not used so far, or one of a tenant whose quota changes
    double quotaPerSecond = 0;  // over all gateways, 0 or more; 0 = no quota
  };
  std::vector<ClassUpdate> classes;
  std::vector<TenantUpdate> tenants;
};

struct Settings {
  std::uint64_t seed = 1;
  std::uint32_t gatewayCount = 1;  // gateways in the bank, this one included
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor = 0.1;  // worth left to what a tenant sends beyond its quota
  bool pollsDiscovery = false;         // the host list comes only when asked for
  bool keyAffinity = false;            // a host that lately served a key serves it with less work
  bool retryAfterEnabled = false;      // clients receive a retry-after
  bool cancellationEnabled = false;    // attempts may be cancelled
  bool probingEnabled = false;         // hosts may be probed
  bool peerMessagesEnabled = false;    // gateways may send each other messages
  std::uint32_t gatewayIndex = 0;      // of this gateway among groupSize, from 0
  std::uint32_t maxAttempts = 1;       // for one request
  Duration maxRetryAfter{};            // the longest that clients heed
  Duration maxDiscoverySilence{};      // askDiscovery: longest silence towards discovery; 0 = no limit
  Duration eventInterval{};            // spacing of the event batches: how late the clock may be read
  Duration warmUpTime{};               // a host is warm this long after its start
  double initialCapacityFraction = 1;  // share of its capacity that it starts with
  double collapseLoadFactor = 3;       // a cold host falls when sent this multiple of its capacity
  Duration collapseWindow{};           // for this long
  // Streams; 0: no bound. The first two hold for the bank and are kept by each gateway for its part, cold
  // hosts by their warmth.
  double hostStreamRate = 0;            // that may begin at one host, a second
  std::uint32_t maxStreamsPerHost = 0;  // held by one host
  std::uint32_t maxStreams = 0;         // held by this gateway
  Duration streamRetrySpread{};  // those refused are told to come back spread over this; 0: as `retryAfter`
};

enum class HostPhase { active, draining, removed };

struct HostEntry {
  std::string address;
  std::string zone;
  std::string machineType;  // machine kind
  std::int64_t cell = 0;
  HostPhase phase = HostPhase::active;
  Time startedAt{};  // latest start; zero = long past
};

// moved: another discovery is asked from now on, by the embedding proxy. unavailable: the call that was out
// failed; the next one is asked for by ActionKind::subscribe.
enum class HostListUpdate { incremental, complete, restored, unavailable, moved };

// An attempt of an earlier request with the same key, which may have run: where and when it went out.
struct EarlierAttempt {
  std::string zone;
  std::int64_t cell = 0;
  Time sentAt{};
};

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeLeft{};                // until the client gives this try up
  Duration expectedWork{};            // expected work; zero = not known
  std::uint64_t affinityKey = 0;
  bool hasAffinityKey = false;
  // Its body is still coming and goes on as it comes: it can be sent once only, and neither its time nor a
  // host's work counts before `onArrived`.
  bool bodyIncomplete = false;
  // Asks for a stream, held open for long: `left` is for it to begin. Once it has (`onAnswerStarted`) it goes
  // nowhere else, is no load in flight, and counts among its host's streams until its result.
  bool isStream = false;
  // Goes to hosts of the own zone, as long as one of them holds less than the pool may before its cut begins.
  bool preferLocalZone = false;
  // Binds this one like an attempt of its own that may have run: it goes only where repeats are dropped
  // together with that one's, within its window, and else fails; it is never refused, since trying again
  // would not be harmless.
  std::optional<EarlierAttempt> earlierAttempt;
};

enum class Outcome {
  served,
  error,                // may have run
  rejectedForCapacity,  // turned away unseen
  timeout,              // may have run
  connectFailed,        // never ran
  reset,                // may have run
  cancelled,            // may have run
  notSent,              // not sent
  invalidRequest        // the request is at fault: no blame, and nobody else is to be asked
};

// Whether a host may have run an attempt that ended so.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejectedForCapacity && outcome != Outcome::connectFailed &&
         outcome != Outcome::notSent;
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
  Duration elapsed{};
  bool requestEnded = false;           // nothing more is owed for the request
  std::optional<LoadReport> report{};  // that its answer carried
};

struct ProbeResult {
  HostId host = kNone;
  bool healthy = false;  // the host answered that it is well
  LoadReport report;
};

// What a balancer has learned of its traffic and its hosts, for the next one of the same gateway. Durations
// are ages and spans, since their clocks differ.
struct LearnedState {
  struct Class {
    std::string name;
    double typicalLatency = 0, meanExpectedWork = 0, lateRetryFraction = 0;
    Duration typicalTimeLeft{};
  };
  struct MachineType {
    std::string name;
    double provenRate = 0, relativeLatency = 1;
  };
  struct PriorityLevel {
    double priorityWeight = 0, recentRequests = 0;
  };
  struct Host {
    std::string address;
    Duration uptime{};  // since its start; 0: long ago
    double relativeLatency = 1, failureRate = 0, answerRate = 0;
    Duration ejectedFor{};  // from now on; 0: it is not
    int ejections = 0;
  };
  Duration age{};  // of the one that has learned it
  double arrivalRate = 0, arrivalSamples = 0, answers = 0, inTimeRate = 0, meanLatencyObjective = 0,
         meanTypicalLatency = 0, unloadedConcurrency = 0, servedFraction = 0;
  std::vector<Class> classes;
  std::vector<MachineType> machineTypes;
  std::vector<PriorityLevel> priorityLevels;
  std::vector<Host> hosts;
};

enum class ActionKind {
  sendAttempt,
  reject,
  fail,
  cancelAttempt,
  setTimer,
  pollDiscovery,
  probeHost,
  sendPeerMessage,
  log
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;          // send, refuse, fail, cancel
  std::uint32_t attempt = 0;      // send, cancel: number of the attempt, from 0; tell: number of the peer
  HostId host = kNone;            // send, probe
  Duration duration{};            // send: time limit; refuse: retry-after (0 = none); wake: the clock time
  bool verifyConnection = false;  // send: see that the connection lives before the last byte goes out
  std::string text;               // log; tell: the bytes of the message, 256 at most
  Time sendDeadline =
      Time::max();  // send: no byte may go out later; a host may have forgotten an earlier attempt
};

class LoadBalancer {
 public:
  // Throws std::invalid_argument that says which setting is wrong.
  LoadBalancer(Settings settings, Time now);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  void onHostListUpdate(Time now, HostListUpdate kind, const std::vector<HostEntry>& entries);
  // Requests that come from now on are decided under `terms`; those that are open end under the terms with
  // which they began. Classes and tenants that are not named keep theirs. Throws std::invalid_argument if a
  // term makes no sense, names no class, or leaves places of tenants unused beyond kTenantsMost; nothing is
  // taken then.
  void onDynamicSettings(Time now, const DynamicSettings& terms);
  void onRequest(Time now, const Request& request);
  // The last byte of an `arriving` request is here. The time limit of its attempt from now on; 0: none is
  // out.
  Duration onRequestBodyComplete(Time now, RequestId request);
  // A host has begun to answer: its work is done, and what the answer takes on its way is no load. The
  // attempt goes on; its `AttemptResult::taken` is to be the time up to here.
  void onResponseHeaders(Time now, RequestId request, std::uint32_t attempt);
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);  // streams
  void onAttemptResult(Time now, const AttemptResult& result);
  void onClientDisconnected(Time now, RequestId request);
  void onTimer(Time now);  // at or after the time asked for in ActionKind::wake; extra calls do no harm

  void onProbeResult(Time now, const ProbeResult& result);  // one for each ActionKind::probe
  // A message of the gateway `from`, as that one's ActionKind::tell had it. Lost, late, repeated or corrupt
  // ones do no harm.
  void onPeerMessage(Time now, std::uint32_t from, std::string_view bytes);

  LearnedState learnedState() const;
  // Takes over what fits: classes, kinds and hosts by name, a host only if it has not started anew since.
  // Whoever has learned as much itself keeps to that; what makes no sense is passed over. What lists and
  // rules forbid stays forbidden.
  void restoreLearnedState(Time now, const LearnedState& learned);

  // Actions since the last clear, in the order in which they are to be carried out.
  std::vector<Action>& actions();

  HostId findHost(std::string_view address) const;    // kNone if no list has named it
  bool isKnown(HostId host) const;                    // a host is forgotten once it is gone and nothing
                                                      // of it is open
  bool isAvoided(HostId host) const;                  // known, and by choice it gets nothing new now
  const std::string& hostAddress(HostId host) const;  // throws std::out_of_range
  double admissionCutoff() const;                     // 0 to 100: scores below it are refused now
  std::size_t openRequests() const;                   // requests and attempts not yet over
  std::size_t streamCount(HostId host) const;         // that the host holds or is sent; 0 if it is not known
  std::size_t streamCount() const;                    // all of them

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace finchstile::load_balancing
