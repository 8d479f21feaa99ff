// Warm start of a gateway: it requests snapshots from running gateways and merges them, weighted by the age
// of each record and by the uptime of the sending gateway. Serving does not wait for it. A snapshot
// overrides neither the endpoint lists nor the rules applied to them, and its phases are handled as
// assertions of that peer (gossip.hpp). No I/O; the caller passes the current time and the random seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/splitmix64.hpp"
#include "membership/snapshot_message.hpp"

namespace finchstile::membership {

struct WarmStartSettings {
  GatewayNumber ownNumber = 0;
  GatewayNumber gatewayCount = 1;
  std::size_t parallelRequests = 2;
  std::size_t maxRequests = 4;                            // in total
  Duration peerTimeout = std::chrono::milliseconds(100);  // without a chunk, before the next request
  Duration deadline = std::chrono::seconds(2);            // since the start; later chunks are ignored
  Duration fullTrustUptime = std::chrono::seconds(10);    // from which a gateway's records have full weight
  Duration minUptime = std::chrono::seconds(1);           // below which a gateway's records have no weight
  Duration hostRecordHalfLife = std::chrono::seconds(5);  // of the weight of a host record
  std::size_t maxHostRecords = 65'536;
};

// Maps the hashes in snapshots to the names at this gateway.
struct NameResolver {
  std::vector<std::pair<NameKey, std::string>> classes;
  std::vector<std::pair<NameKey, std::string>> machineTypes;
  std::function<std::optional<std::string>(HostKey)> hostName;  // empty: the lists do not contain the host
  // Uptime of the listed process; 0: long ago. Empty if the list contains another process of the host, or
  // none.
  std::function<std::optional<Duration>(HostKey, std::int64_t startedUnixMs)> uptime;
};

class WarmStart {
 public:
  WarmStart(const WarmStartSettings& settings, std::uint64_t seed, Time now);

  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }
  // Returns true if the payload is a chunk that this gateway has requested.
  bool onMessage(GatewayNumber from, std::string_view payload, Time now);
  void onTimer(Time now);  // to be called at or after `nextTimer()`
  std::optional<Time> nextTimer() const;
  bool isFinished() const { return finished_; }

  // The record of one peer about a host.
  struct PeerObservation {
    GatewayNumber from = 0;
    HostRecord record;
    Duration age{};     // current age of the record
    double weight = 0;  // 0 to 1
  };
  std::vector<PeerObservation> observationsOf(HostKey host, Time now) const;
  // Merges all records for the load balancer; empty if their total weight is too low.
  std::optional<load_balancing::LearnedState> learnedState(const NameResolver& names, Time now) const;
  // Returns each record with a draining or removed phase, with the peer that sent it.
  std::vector<std::pair<GatewayNumber, HostRecord>> nonActiveHosts() const;

  struct Statistics {
    std::uint64_t requested = 0;  // requests sent
    std::uint64_t chunks = 0;
    std::uint64_t repeated = 0;  // chunks received more than once
    std::uint64_t malformed = 0;
    std::uint64_t complete = 0;  // snapshots received completely
    std::uint64_t timedOut = 0;  // requests that reached `peerTimeout`
    std::uint64_t tooYoung = 0;  // complete snapshots of gateways with less than `minUptime`
  };
  const Statistics& statistics() const { return statistics_; }

 private:
  struct Peer {
    Time lastActivity{};          // time of the request or of the last chunk
    std::uint64_t nonce = 0;      // of the request; only the requested gateway can send chunks with it
    std::size_t totalChunks = 0;  // 0: no chunk was received yet
    std::set<std::uint16_t> receivedChunks;
    StateSnapshot snapshot;
    std::unordered_map<HostKey, std::size_t> hostIndex;  // into `snapshot.hosts`
    Time snapshotAt{};                                   // arrival of the first chunk
    bool timedOut = false;
    bool isComplete() const { return totalChunks > 0 && receivedChunks.size() == totalChunks; }
  };
  struct HostAverage;

  void requestNext(Time now);
  void addRecords(Peer& peer, const StateSnapshot& records);
  double weightOf(const Peer& peer) const;
  double mergeGatewayRecords(load_balancing::LearnedState& out) const;
  void mergeClasses(const NameResolver& names, load_balancing::LearnedState& out) const;
  void mergeMachineTypes(const NameResolver& names, load_balancing::LearnedState& out) const;
  void mergePriorityLevels(double totalWeight, load_balancing::LearnedState& out) const;
  void mergeHosts(const NameResolver& names, Time now, load_balancing::LearnedState& out) const;
  void addHostRecord(const Peer& peer, const HostRecord& record, Time now, HostAverage& average) const;

  const WarmStartSettings settings_;
  SplitMix64 random_;
  const Time deadline_;
  std::vector<GatewayNumber> requestOrder_;
  std::size_t nextRequest_ = 0;  // into `requestOrder_`
  std::size_t hostRecords_ = 0;  // number of records kept from all peers
  std::map<GatewayNumber, Peer> peers_;
  std::vector<OutgoingMessage> outgoing_;
  bool finished_ = false;
  Statistics statistics_;
};

}  // namespace finchstile::membership
