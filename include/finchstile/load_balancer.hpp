// The decisions of an HTTP load balancer that runs as a bank of gateways.
//
// The embedding proxy feeds a LoadBalancer with events and the clock, and carries out the actions that come
// back. The LoadBalancer does no I/O, reads no clock, starts no thread and keeps no globals: one seed, one
// Settings and one sequence of events give one sequence of actions. It is not thread-safe.
//
// Misuse: an event that names an unknown request, attempt or host is ignored; so is a second request under an
// id that is still active. A request of an unknown class is handled as non-idempotent and of the lowest
// priority. Settings that are invalid are rejected by the constructor with std::invalid_argument.
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
using RequestId = std::uint64_t;        // chosen by the proxy, never used again
using HostId = std::uint32_t;           // assigned by the LoadBalancer at the first sight of an address

inline constexpr std::uint32_t kNone = UINT32_MAX;  // no host, class or tenant
inline constexpr std::size_t kMaxClasses = 4096;
inline constexpr std::size_t kMaxTenants = 131'072;  // 16 bytes each: two megabytes

// --- Settings --------------------------------------------------------------------------------------------

// Whether a request may run more than once.
enum class Idempotency {
  idempotent,         // yes, anywhere
  idempotentWithKey,  // yes, where hosts drop repeats by its key: see DeduplicationScope
  nonIdempotent       // no
};

// Which hosts drop repeats of a request with an idempotency key together.
enum class DeduplicationScope { all, zone, cell };

struct ClassSettings {
  std::string name;
  Duration latencyObjective{};     // an answer up to here has its full value
  Duration clientTimeout{};        // the client's total wait
  Duration deduplicationWindow{};  // how long hosts drop repeats by key
  Idempotency idempotency = Idempotency::nonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double priorityWeight = 1;     // value of an answer, beside other classes
  double lateValueFraction = 0;  // fraction of the value that an answer past the objective has, 0 to 1
  double objectiveStretch = 0;   // added to the objective, in multiples of the request's expected work
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // requests a second, over all gateways; 0: no quota
};

struct Settings {
  std::uint64_t seed = 1;  // of all random choices

  // The bank and this gateway in it.
  std::uint32_t gatewayCount = 1;  // this one included
  std::uint32_t gatewayIndex = 0;  // 0 to gatewayCount - 1
  std::string zone;
  Duration eventInterval{};  // time between batches of events: how late the clock may be read

  // Traffic.
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor = 0.1;  // on the priority weight of requests beyond a tenant's quota, 0 to 1
  std::uint32_t maxAttempts = 1;       // of one request
  bool keyAffinity = false;            // a host that lately served a key serves it with less work
  bool cancellationEnabled = false;    // attempts may be cancelled

  // Rejections.
  bool retryAfterEnabled = false;  // clients receive a Retry-After
  Duration maxRetryAfter{};        // the longest that clients heed

  // Discovery.
  bool pollsDiscovery = false;     // endpoint lists come only when polled for
  Duration maxDiscoverySilence{};  // longest time between polls; 0: no limit

  // Load probing.
  bool probingEnabled = false;       // hosts may be probed
  bool peerMessagesEnabled = false;  // gateways may send each other messages

  // Slow start.
  Duration warmUpTime{};               // a host is warm this long after its start
  double initialCapacityFraction = 1;  // fraction of its capacity that it starts with, above 0 to 1
  double collapseLoadFactor = 3;       // a warming host collapses when sent this multiple of its capacity
  Duration collapseWindow{};           // for this long

  // Streams; 0: no limit. The first two hold for the bank: each gateway keeps to its part, for a warming host
  // in proportion to its capacity.
  double hostStreamRate = 0;            // streams that may begin at one host, a second
  std::uint32_t maxStreamsPerHost = 0;  // held by one host
  std::uint32_t maxStreams = 0;         // held by this gateway
  Duration streamRetrySpread{};  // rejected streams get a Retry-After spread over this; 0: as retryAfter
};

// What may change of classes and tenants while requests are active. A class keeps its place, name,
// idempotency, scope and window, which are agreed with the hosts.
struct DynamicSettings {
  struct ClassUpdate {
    std::uint32_t index = 0;       // into Settings::classes
    Duration latencyObjective{};   // above 0, up to the class's clientTimeout
    double priorityWeight = 1;     // 0 or more
    double lateValueFraction = 0;  // 0 to 1
  };
  struct TenantUpdate {
    std::uint32_t index = 0;    // below kMaxTenants; one that is not in use adds a tenant
    double quotaPerSecond = 0;  // over all gateways, 0 or more; 0: no quota
  };
  std::vector<ClassUpdate> classes;
  std::vector<TenantUpdate> tenants;
};

// --- Events ----------------------------------------------------------------------------------------------

enum class HostPhase {
  active,
  draining,  // ends what it holds and gets nothing new
  removed
};

struct HostEntry {
  std::string address;
  std::string zone;
  std::string machineType;  // hosts of one type have about one capacity
  std::int64_t cell = 0;
  HostPhase phase = HostPhase::active;
  Time startedAt{};  // latest start of the process; zero: long past
};

enum class HostListUpdate {
  incremental,    // discovery sent changes
  complete,       // discovery sent all hosts: others are removed
  restored,       // all hosts, from elsewhere, and maybe stale
  unavailable,    // the poll that was out failed; ActionKind::pollDiscovery asks for the next one
  discoveryMoved  // the proxy polls another discovery from now on
};

// An attempt of an earlier request with one idempotency key, which may have run.
struct EarlierAttempt {
  std::string zone;  // of its host
  std::int64_t cell = 0;
  Time sentAt{};
};

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeLeft{};      // until the client stops waiting for this request; its retries are other requests
  Duration expectedWork{};  // zero: not known
  std::uint64_t affinityKey = 0;
  bool hasAffinityKey = false;
  // Its body is still coming and is passed on as it comes: it can be sent once only, and neither its time nor
  // a host's work counts before `onRequestBodyComplete`.
  bool bodyIncomplete = false;
  // Asks for a stream that is held open for long; `timeLeft` is for it to begin. Once it has
  // (`onResponseStarted`) it goes nowhere else, is no load in flight, and counts among its host's streams
  // until its result.
  bool isStream = false;
  // Goes to hosts of the local zone as long as they have capacity without any loss of latency.
  bool preferLocalZone = false;
  // Binds this request like an own attempt that may have run: it goes only where repeats are dropped together
  // with that one's, within the window, and else fails. Overload alone does not make a retry harmless: it is
  // rejected only where RetryPolicy finds a retry harmless.
  std::optional<EarlierAttempt> earlierAttempt;
};

// How an attempt ended. The numbers stand in peer messages.
enum class Outcome {
  served = 0,
  error = 1,                // may have run
  rejectedForCapacity = 2,  // never ran: the host was full
  timeout = 3,              // may have run
  connectFailed = 4,        // never ran
  reset = 5,                // may have run
  cancelled = 6,            // may have run
  notSent = 7,              // never ran
  invalidRequest = 8        // the request is at fault: no blame to the host, and no other host is to be tried
};

// Whether a host may have run an attempt that ended so.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejectedForCapacity && outcome != Outcome::connectFailed &&
         outcome != Outcome::notSent;
}

// A host's load as it reported it, some time ago and not exactly. NaN: not reported. Figures that are not
// finite or below 0 count as not reported.
struct LoadReport {
  double inflight = std::numeric_limits<double>::quiet_NaN();   // requests that it holds
  double queue = std::numeric_limits<double>::quiet_NaN();      // requests that wait there
  double latencyMs = std::numeric_limits<double>::quiet_NaN();  // recent time of its work, milliseconds
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // Action::attempt
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  Duration elapsed{};                  // since the attempt was sent
  bool requestEnded = false;           // the client has its answer: nothing more is owed
  std::optional<LoadReport> report{};  // that the host's answer carried
};

struct ProbeResult {
  HostId host = kNone;
  bool healthy = false;  // the host answered, and that it is well
  LoadReport report;
};

// What a load balancer has learned of its traffic and its hosts, for the next process of its gateway. Times
// are ages and spans, since the clocks of two processes differ.
struct LearnedState {
  struct Class {
    std::string name;
    double typicalLatency = 0;     // seconds
    double meanExpectedWork = 0;   // seconds
    double lateRetryFraction = 0;  // of recent requests
    Duration typicalTimeLeft{};
  };
  struct MachineType {
    std::string name;
    double provenRate = 0;       // answers a second of a warm host to this gateway
    double relativeLatency = 1;  // time taken, divided by the typical latency
  };
  struct PriorityLevel {
    double priorityWeight = 0;
    double recentRequests = 0;  // decayed count
  };
  struct Host {
    std::string address;
    Duration uptime{};  // since its start; 0: long ago
    double relativeLatency = 1;
    double failureRate = 0;  // 0 to 1
    double answerRate = 0;   // answers a second
    Duration ejectedFor{};   // from now on; 0: it is not ejected
    int ejections = 0;       // in a row
  };
  Duration age{};                   // of the load balancer that has learned it
  double arrivalRate = 0;           // arrivals a sweep
  double arrivalSamples = 0;        // sweeps in that figure
  double answers = 0;               // since the start
  double inTimeRate = 0;            // answers in time, a second
  double meanLatencyObjective = 0;  // seconds
  double meanTypicalLatency = 0;    // seconds
  double unloadedConcurrency = 0;   // requests in flight a host
  double servedFraction = 0;        // of attempts
  std::vector<Class> classes;
  std::vector<MachineType> machineTypes;
  std::vector<PriorityLevel> priorityLevels;  // in the order of their weights
  std::vector<Host> hosts;
};

// --- Actions ---------------------------------------------------------------------------------------------

enum class ActionKind {
  sendAttempt,  // send the request to a host; its result is owed to onAttemptResult
  reject,  // end the request unserved (overload, no usable host, no time or retry left); a client's retry is
           // harmless
  fail,    // end the request: it may have taken effect, or the request itself is invalid
  cancelAttempt,    // its answer is no longer wanted; its result is still owed
  setTimer,         // call onTimer at this time; replaces the timer before
  pollDiscovery,    // poll for the endpoint list
  probeHost,        // ask a host for its load; a result is owed to onProbeResult
  sendPeerMessage,  // to the gateway of this number; may get lost
  log               // for the operator
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;      // sendAttempt, reject, fail, cancelAttempt
  std::uint32_t attempt = 0;  // sendAttempt, cancelAttempt: from 0; sendPeerMessage: number of the gateway
  HostId host = kNone;        // sendAttempt, probeHost
  Duration duration{};        // sendAttempt: time limit; reject: Retry-After, 0: none; setTimer: the time
  bool verifyConnection = false;  // sendAttempt: hold the last byte back until the connection has shown life
  std::string text;               // log; sendPeerMessage: the bytes of the message, 256 at most
  Time sendDeadline = Time::max();  // sendAttempt: no byte may go out later
};

// --- The load balancer -----------------------------------------------------------------------------------

class LoadBalancer {
 public:
  // Throws std::invalid_argument that names the invalid setting.
  LoadBalancer(Settings settings, Time now);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Each event may add actions: carry them out and clear them before the next event.

  void onHostListUpdate(Time now, HostListUpdate kind, const std::vector<HostEntry>& entries);

  // Requests that come from now on are decided under `update`; active ones keep the settings of their
  // arrival. Classes and tenants that are not named keep theirs. Throws std::invalid_argument that names what
  // is invalid; nothing is applied then.
  void onDynamicSettings(Time now, const DynamicSettings& update);

  void onRequest(Time now, const Request& request);

  // The last byte of a request with `bodyIncomplete` has come. Returns the time limit of its attempt from now
  // on; 0: none is pending.
  Duration onRequestBodyComplete(Time now, RequestId request);

  // A host has begun to answer: its work is done, and what the answer takes on its way is no load. The
  // attempt goes on; its `AttemptResult::elapsed` is to be the time up to here.
  void onResponseHeaders(Time now, RequestId request, std::uint32_t attempt);

  // Bytes of the answer have gone to the client, or a stream is established: no other attempt may follow.
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);

  // Once for each sendAttempt.
  void onAttemptResult(Time now, const AttemptResult& result);

  void onClientDisconnected(Time now, RequestId request);

  // At or after the time of the last setTimer; further calls do no harm.
  void onTimer(Time now);

  // Once for each probeHost.
  void onProbeResult(Time now, const ProbeResult& result);

  // A message of the gateway `from`, as its sendPeerMessage had it. Lost, late, repeated or corrupt messages
  // do no harm.
  void onPeerMessage(Time now, std::uint32_t from, std::string_view bytes);

  LearnedState learnedState() const;

  // Takes over what fits: classes, machine types and hosts by name, a host only if its process is the one
  // that was learned of. Does nothing if as much was learned here; invalid figures are ignored. What endpoint
  // lists and the rules forbid stays forbidden.
  void restoreLearnedState(Time now, const LearnedState& learned);

  // Actions since the last clear, in the order in which they are to be carried out.
  std::vector<Action>& actions();

  HostId findHost(std::string_view address) const;  // kNone if no list has named it
  // A removed host is forgotten once no attempt or probe refers to it.
  bool isKnown(HostId host) const;
  // Known, and gets nothing new at present by the load balancer's own choice.
  bool isAvoided(HostId host) const;
  const std::string& hostAddress(HostId host) const;  // throws std::out_of_range if it is not known
  double admissionCutoff()
      const;  // 0 to 100: requests of lower scores are rejected. With load probing more may be rejected
  std::size_t openRequests() const;            // requests that are active, or have pending attempts
  std::size_t streamCount(HostId host) const;  // that the host holds or is sent; 0 if it is not known
  std::size_t streamCount() const;             // of all hosts

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace finchstile::load_balancing
