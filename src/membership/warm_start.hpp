// A gateway that starts requests snapshots of running ones and merges them, weighted by the age of each
// record and by the uptime of its gateway. Serving never waits for it. What lists and rules forbid stays
// forbidden, and a peer's phases go through gossip.hpp like any other of its assertions. No I/O; clock and
// randomness are passed in.
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
  std::size_t maxRequests = 4;                            // gateways asked in all
  Duration peerTimeout = std::chrono::milliseconds(100);  // of silence, after which another gateway is asked
  Duration deadline = std::chrono::seconds(2);            // after the start; later chunks are ignored
  Duration fullTrustUptime = std::chrono::seconds(10);    // from which a gateway's records have full weight
  Duration minUptime = std::chrono::seconds(1);           // below which they have none
  Duration hostRecordHalfLife = std::chrono::seconds(5);  // of the weight of a record about a host
  std::size_t maxHostRecords = 65'536;
};

// Finds this gateway's names for the hashes in snapshots.
struct NameResolver {
  std::vector<std::pair<NameKey, std::string>> classes;
  std::vector<std::pair<NameKey, std::string>> machineTypes;
  std::function<std::optional<std::string>(HostKey)> hostName;  // empty: no list names the host
  // Uptime of the process that the list names; 0: long ago. Empty: the list names another process.
  std::function<std::optional<Duration>(HostKey, std::int64_t startedUnixMs)> uptime;
};

class WarmStart {
 public:
  WarmStart(const WarmStartSettings& settings, std::uint64_t seed, Time now);

  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }
  // True if the payload was a chunk that this gateway had requested.
  bool onMessage(GatewayNumber from, std::string_view payload, Time now);
  void onTimer(Time now);  // to be called at or after `nextTimer`
  std::optional<Time> nextTimer() const;
  bool isFinished() const { return finished_; }

  // What one peer has recorded of a host.
  struct PeerObservation {
    GatewayNumber from = 0;
    HostRecord record;
    Duration age{};     // of the record now
    double weight = 0;  // 0 to 1
  };
  std::vector<PeerObservation> observationsOf(HostKey host, Time now) const;
  // All records merged for the load balancer; empty if they have too little weight.
  std::optional<load_balancing::LearnedState> learnedState(const NameResolver& names, Time now) const;
  // Hosts that a peer has as draining or removed, with that peer.
  std::vector<std::pair<GatewayNumber, HostRecord>> nonActiveHosts() const;

  struct Statistics {
    std::uint64_t requested = 0;  // gateways
    std::uint64_t chunks = 0;
    std::uint64_t repeated = 0;  // chunks received before
    std::uint64_t malformed = 0;
    std::uint64_t complete = 0;  // snapshots
    std::uint64_t timedOut = 0;  // gateways
    std::uint64_t tooYoung = 0;  // complete snapshots of gateways below `minUptime`
  };
  const Statistics& statistics() const { return statistics_; }

 private:
  struct Peer {
    Time lastActivity{};          // the request or the last chunk
    std::uint64_t nonce = 0;      // of the request: only the gateway that was asked can answer it
    std::size_t totalChunks = 0;  // 0: none was received
    std::set<std::uint16_t> receivedChunks;
    StateSnapshot snapshot;
    std::unordered_map<HostKey, std::size_t> hostIndex;  // into `snapshot.hosts`
    Time snapshotAt{};                                   // when the first chunk came
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
  std::size_t hostRecords_ = 0;  // kept of all peers
  std::map<GatewayNumber, Peer> peers_;
  std::vector<OutgoingMessage> outgoing_;
  bool finished_ = false;
  Statistics statistics_;
};

}  // namespace finchstile::membership
