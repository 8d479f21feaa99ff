// Decision module of an HTTP load balancer that runs as a cluster of gateways.
//
// The embedding proxy passes events and the current time to a LoadBalancer and carries out the actions that
// it returns. A LoadBalancer performs no I/O, reads no clock, starts no threads and has no global state: the
// same seed, Settings and sequence of events always produce the same sequence of actions. It is not
// thread-safe.
//
// Events that refer to an unknown request, attempt or host are ignored, and so is a request whose id is still
// active. A request of an unknown class is treated as non-idempotent with the lowest priority. The
// constructor throws std::invalid_argument on invalid settings.
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
using Time = std::chrono::nanoseconds;  // since an arbitrary fixed epoch; must not decrease
using RequestId = std::uint64_t;        // assigned by the proxy, never reused
using HostId = std::uint32_t;           // assigned by the LoadBalancer when an address is first listed

inline constexpr std::uint32_t kNone = UINT32_MAX;  // no host, class or tenant
inline constexpr std::size_t kMaxClasses = 4096;
inline constexpr std::size_t kMaxTenants = 131'072;  // one token bucket of 24 bytes each: 3 MiB

// --- Settings --------------------------------------------------------------------------------------------

// Whether a request may run more than once.
enum class Idempotency {
  idempotent,         // yes, anywhere
  idempotentWithKey,  // yes, among hosts that deduplicate by its key: see DeduplicationScope
  nonIdempotent       // no
};

// Set of hosts within which requests are deduplicated by their idempotency key.
enum class DeduplicationScope { all, zone, cell };

struct ClassSettings {
  std::string name;
  Duration latencyObjective{};     // an answer within this time has its full value
  Duration clientTimeout{};        // total time that the client waits, its retries included
  Duration deduplicationWindow{};  // how long hosts remember an idempotency key
  Idempotency idempotency = Idempotency::nonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double priorityWeight = 1;     // value of an answer, relative to other classes
  double lateValueFraction = 0;  // fraction of its value that an answer keeps after the objective, 0 to 1
  double objectiveStretch = 0;   // added to the objective, in multiples of the request's expected work
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // requests per second, over all gateways; 0: no quota
};

struct Settings {
  std::uint64_t seed = 1;  // of the random number generator

  // The cluster, and this gateway's place in it.
  std::uint32_t gatewayCount = 1;  // including this one
  std::uint32_t gatewayIndex = 0;  // 0 to gatewayCount - 1
  std::string zone;
  Duration eventInterval{};  // time between batches of events; `now` may lag by this much

  // Traffic.
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor = 0.1;  // on the priority weight beyond a tenant's quota, 0 to 1
  std::uint32_t maxAttempts = 1;       // of one request
  bool keyAffinity = false;            // a host that served a key recently serves it again at a lower cost
  bool cancellationEnabled = false;    // pending attempts may be cancelled

  // Rejections.
  bool retryAfterEnabled = false;  // rejections carry a Retry-After
  Duration maxRetryAfter{};        // maximum Retry-After that clients honor

  // Discovery.
  bool pollsDiscovery = false;     // endpoint lists arrive only in response to polls
  Duration maxDiscoverySilence{};  // maximum time between polls; 0: no limit

  // Load probing.
  bool probingEnabled = false;       // hosts may be probed
  bool peerMessagesEnabled = false;  // gateways may exchange messages

  // Slow start.
  Duration warmUpTime{};               // time from a host's start until it has its full capacity
  double initialCapacityFraction = 1;  // of its full capacity, at a host's start; in (0, 1]
  double collapseLoadFactor = 3;       // a warming host collapses under this multiple of its current capacity
  Duration collapseWindow{};           // sustained for this long

  // Streams; 0: no limit. The first two limits apply to the whole cluster: each gateway uses an equal share
  // of them, reduced for a warming host in proportion to its capacity.
  double hostStreamRate = 0;            // new streams per host and second
  std::uint32_t maxStreamsPerHost = 0;  // open streams of one host
  std::uint32_t maxStreams = 0;         // open streams of this gateway
  // Rejected streams get a Retry-After drawn from 0.1 to 1 times this; 0: the same as requests.
  Duration streamRetrySpread{};
};

// The settings of classes and tenants that can change while requests are active. The index, name,
// idempotency, deduplication scope and deduplication window of a class are fixed, since the hosts rely on
// them.
struct DynamicSettings {
  struct ClassUpdate {
    std::uint32_t index = 0;       // into Settings::classes
    Duration latencyObjective{};   // above 0, up to the class's clientTimeout
    double priorityWeight = 1;     // 0 or more
    double lateValueFraction = 0;  // 0 to 1
  };
  struct TenantUpdate {
    std::uint32_t index = 0;    // below kMaxTenants; an unused index adds a tenant
    double quotaPerSecond = 0;  // over all gateways, 0 or more; 0: no quota
  };
  std::vector<ClassUpdate> classes;
  std::vector<TenantUpdate> tenants;
};

// --- Events ----------------------------------------------------------------------------------------------

enum class HostPhase {
  active,
  draining,  // completes its requests and receives no new ones
  removed
};

struct HostEntry {
  std::string address;
  std::string zone;
  std::string machineType;  // hosts of the same type have about the same capacity
  std::int64_t cell = 0;
  HostPhase phase = HostPhase::active;
  Time startedAt{};  // latest start of the process; zero: long ago
};

enum class HostListUpdate {
  incremental,    // changes, from discovery
  complete,       // all hosts, from discovery; hosts not listed are removed
  restored,       // all hosts, from a source other than discovery; may be stale
  unavailable,    // the pending poll failed; the next one is requested by ActionKind::pollDiscovery
  discoveryMoved  // the proxy now polls a different discovery service
};

// An attempt, of an earlier request with the same idempotency key, that may have run.
struct EarlierAttempt {
  std::string zone;  // of its host
  std::int64_t cell = 0;
  Time sentAt{};
};

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeLeft{};      // until the client abandons this request; its retries are separate requests
  Duration expectedWork{};  // zero: unknown
  std::uint64_t affinityKey = 0;
  bool hasAffinityKey = false;
  // The body is still arriving and is streamed to the host, so the request can be sent only once. Time limits
  // and load in flight count from `onRequestBodyComplete`.
  bool bodyIncomplete = false;
  // Opens a long-lived stream; `timeLeft` limits the time until it is established (`onResponseStarted`). An
  // established stream is not moved to another host and is not load in flight; it counts as a stream of its
  // host until its result.
  bool isStream = false;
  // Prefers hosts of the local zone while they have capacity at no cost in latency.
  bool preferLocalZone = false;
  // Restricts this request like one of its own attempts that may have run: it is sent only to hosts that
  // deduplicate together with the host of that attempt, within the deduplication window, and otherwise fails.
  // Under overload too, it is rejected only if RetryPolicy considers a retry by the client harmless.
  std::optional<EarlierAttempt> earlierAttempt;
};

// How an attempt ended. The numeric values are used in peer messages.
enum class Outcome {
  served = 0,
  error = 1,                // may have run
  rejectedForCapacity = 2,  // never ran: the host had no capacity
  timeout = 3,              // may have run
  connectFailed = 4,        // never ran
  reset = 5,                // may have run
  cancelled = 6,            // may have run
  notSent = 7,              // never ran
  invalidRequest = 8        // the request is at fault: does not count against the host, and is not retried
};

// Whether the host may have run an attempt with this outcome.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejectedForCapacity && outcome != Outcome::connectFailed &&
         outcome != Outcome::notSent;
}

// Load that a host reported of itself; may be stale and inexact. NaN, like any value that is not finite or is
// negative, means not reported.
struct LoadReport {
  double inflight = std::numeric_limits<double>::quiet_NaN();  // requests in progress
  double queue = std::numeric_limits<double>::quiet_NaN();     // requests waiting in its queue
  // Recent processing time of requests, in milliseconds.
  double latencyMs = std::numeric_limits<double>::quiet_NaN();
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // Action::attempt
  HostId host = kNone;
  Outcome outcome = Outcome::served;
  Duration elapsed{};                  // from sending the attempt to its end; see onResponseHeaders
  bool requestEnded = false;           // the client has its answer: the request ends
  std::optional<LoadReport> report{};  // carried by the host's answer
};

struct ProbeResult {
  HostId host = kNone;
  bool healthy = false;  // the host answered that it is healthy
  LoadReport report;
};

// Statistics on traffic and hosts, handed over to the next process of the same gateway. Times are relative,
// since the clocks of two processes differ.
struct LearnedState {
  struct Class {
    std::string name;
    double typicalLatency = 0;     // seconds
    double meanExpectedWork = 0;   // seconds
    double lateRetryFraction = 0;  // among recent requests
    Duration typicalTimeLeft{};
  };
  struct MachineType {
    std::string name;
    double provenRate = 0;       // recent peak of answers per second of a warm host to this gateway
    double relativeLatency = 1;  // latency, divided by the typical latency
  };
  struct PriorityLevel {
    double priorityWeight = 0;
    double recentRequests = 0;  // decayed count
  };
  struct Host {
    std::string address;
    Duration uptime{};  // since its start; 0: started long ago
    double relativeLatency = 1;
    double failureRate = 0;  // 0 to 1
    double answerRate = 0;   // answers per second
    Duration ejectedFor{};   // remaining time; 0: not ejected
    int ejections = 0;       // consecutive
  };
  Duration age{};                   // of the load balancer that collected these statistics
  double arrivalRate = 0;           // arrivals per sweep
  double arrivalSamples = 0;        // sweeps averaged in `arrivalRate`
  double answers = 0;               // since the start of the load balancer
  double inTimeRate = 0;            // answers within the objective, per second
  double meanLatencyObjective = 0;  // seconds
  double meanTypicalLatency = 0;    // seconds
  double unloadedConcurrency = 0;   // requests in flight per host without overload
  double servedFraction = 0;        // of recent attempts
  std::vector<Class> classes;
  std::vector<MachineType> machineTypes;
  std::vector<PriorityLevel> priorityLevels;  // in ascending order of weight
  std::vector<Host> hosts;
};

// --- Actions ---------------------------------------------------------------------------------------------

enum class ActionKind {
  sendAttempt,  // send the request to a host, and report the result by onAttemptResult
  // End the request unserved (overload, no usable host, no time or retry left). A retry by the client is
  // harmless.
  reject,
  fail,             // end the request with an error: it may have taken effect, or is invalid
  cancelAttempt,    // the answer is no longer needed; onAttemptResult is still required
  setTimer,         // call onTimer at this time; replaces the previous timer
  pollDiscovery,    // poll discovery for the endpoint list
  probeHost,        // probe a host for its load, and report the result by onProbeResult
  sendPeerMessage,  // send a message to another gateway; delivery is not required
  log               // write a log line
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;      // sendAttempt, reject, fail, cancelAttempt
  std::uint32_t attempt = 0;  // sendAttempt, cancelAttempt: from 0; sendPeerMessage: index of the gateway
  HostId host = kNone;        // sendAttempt, probeHost
  Duration duration{};        // sendAttempt: timeout; reject: Retry-After, 0: none; setTimer: absolute time
  // sendAttempt: hold back the last byte until the connection is verified to be alive.
  bool verifyConnection = false;
  std::string text;                 // log; sendPeerMessage: the encoded message, at most 256 bytes
  Time sendDeadline = Time::max();  // sendAttempt: no byte may be sent after this time
};

// --- The load balancer -----------------------------------------------------------------------------------

class LoadBalancer {
 public:
  // Throws std::invalid_argument naming the invalid setting.
  LoadBalancer(Settings settings, Time now);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Each event may add actions. The proxy carries them out and clears them before the next event.

  void onHostListUpdate(Time now, HostListUpdate kind, const std::vector<HostEntry>& entries);

  // Applies `update` to requests that arrive from now on; active requests keep the settings of their arrival.
  // Classes and tenants that `update` does not list are unchanged. Throws std::invalid_argument naming the
  // invalid value; nothing is applied then.
  void onDynamicSettings(Time now, const DynamicSettings& update);

  void onRequest(Time now, const Request& request);

  // The last byte of a request with `bodyIncomplete` has arrived; its client had written it at `writtenAt` at
  // the earliest, from where the client's time counts. Returns the timeout of its attempt, counted from now;
  // 0 if no attempt is pending or the client's time is over.
  Duration onRequestBodyComplete(Time now, RequestId request, Time writtenAt);

  // The host has sent response headers: its processing is done, and the transfer of the body does not count
  // as load. The attempt stays pending; its `AttemptResult::elapsed` must be the time up to this event.
  void onResponseHeaders(Time now, RequestId request, std::uint32_t attempt);

  // The attempt's timeout has passed, and it goes on since its transfer does: the host is reading a long
  // body, or writing its response. That does not count as load.
  void onTransferProlonged(Time now, RequestId request, std::uint32_t attempt);

  // Response bytes were sent to the client, or a stream is established: the request is not sent again.
  void onResponseStarted(Time now, RequestId request, std::uint32_t attempt);

  // Required exactly once for each sendAttempt.
  void onAttemptResult(Time now, const AttemptResult& result);

  void onClientDisconnected(Time now, RequestId request);

  // Required at or after the time of the last setTimer; additional calls are harmless.
  void onTimer(Time now);

  // Required once for each probeHost.
  void onProbeResult(Time now, const ProbeResult& result);

  // Delivers the bytes of a sendPeerMessage of the gateway `from`. Lost, late, duplicated or corrupt messages
  // are harmless.
  void onPeerMessage(Time now, std::uint32_t from, std::string_view bytes);

  LearnedState learnedState() const;

  // Restores the statistics of classes, machine types and hosts that are known here by name; those of a host
  // only if its process has not restarted since. Does nothing if this load balancer has seen at least as many
  // answers itself. Invalid values are ignored. Endpoint lists and the rule on repeats keep precedence.
  void restoreLearnedState(Time now, const LearnedState& learned);

  // Actions since the last clear, in the order in which they must be carried out.
  std::vector<Action>& actions();

  HostId findHost(std::string_view address) const;  // kNone if the address is unknown
  // False for a removed host once no attempt or probe refers to it.
  bool isKnown(HostId host) const;
  // Whether the host is known and gets no ordinary traffic because it is unhealthy or in backoff.
  bool isAvoided(HostId host) const;
  const std::string& hostAddress(HostId host) const;  // throws std::out_of_range for an unknown host
  // 0 to 100: requests with lower scores are rejected. Load probing may reject more.
  double admissionCutoff() const;
  std::size_t openRequests() const;            // requests that are active or have pending attempts
  std::size_t streamCount(HostId host) const;  // open or being established at the host; 0 for an unknown host
  std::size_t streamCount() const;             // over all hosts

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace finchstile::load_balancing
