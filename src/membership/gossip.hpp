// The gossip protocol in which gateways report unresponsive, draining and removed hosts to each other. It
// carries nothing about requests. An update is sent to a few randomly chosen gateways, a bounded number of
// times; without changes nothing is sent.
//
// A gateway forwards only what it has verified: by its own attempts, by its own endpoint list, or, for an
// unresponsive host, by a quorum of observations of other gateways. A single faulty gateway therefore cannot
// make a host count as unresponsive. The phases that it asserts restrict a bounded fraction of hosts for a
// bounded time, and each assertion that the receiver's list does not confirm lowers its reputation. Messages
// carry ages instead of timestamps, so clocks need not be synchronized. No I/O; the caller passes the current
// time and the random seed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/splitmix64.hpp"
#include "membership/gossip_message.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/observation_votes.hpp"
#include "membership/peer_reputation.hpp"

namespace finchstile::membership {

struct GossipSettings {
  GatewayNumber ownNumber = 0;
  GatewayNumber gatewayCount = 1;
  Duration period = std::chrono::milliseconds(200);  // interval between rounds of messages
  std::size_t fanout = 3;                            // recipients of each round
  // An update is sent in `retransmitMultiplier` * log2(gatewayCount + 1) rounds, rounded up.
  double retransmitMultiplier = 2;
  // Number of other gateways that have to observe a host as unresponsive; at most all of them.
  std::size_t quorum = 3;
  Duration observationLifetime = std::chrono::seconds(3);  // of an observation as unresponsive
  Duration phaseLifetime = std::chrono::seconds(10);       // of a peer's phase that the own list lacks
  double maxPhaseFraction = 0.25;                          // of hosts restricted by the phases of one gateway
  double maxUnresponsiveFraction = 0.5;                    // of hosts restricted by a quorum of observations
  double maxReputation = 32;  // unconfirmed assertions until a gateway is ignored
  Duration reputationInterval = std::chrono::seconds(60);  // to regain one point of reputation
  std::size_t maxQueuedUpdates = 4096;
};

struct GossipStatistics {
  std::uint64_t sent = 0;                  // messages
  std::uint64_t bytes = 0;                 // of the sent messages
  std::uint64_t received = 0;              // messages
  std::uint64_t malformed = 0;             // messages
  std::uint64_t unresponsiveByQuorum = 0;  // hosts that a quorum observed as unresponsive
  std::uint64_t contradicted = 0;       // observations ignored: the host has responded to this gateway since
  std::uint64_t assertions = 0;         // of phases, accepted
  std::uint64_t confirmed = 0;          // assertions confirmed by the own list
  std::uint64_t expired = 0;            // assertions refuted by the own list or not confirmed in time
  std::uint64_t withoutReputation = 0;  // assertions ignored: the reputation of the gateway is too low
  std::uint64_t overFraction = 0;       // updates ignored: they would restrict too many hosts
  std::uint64_t dropped = 0;            // updates dropped because the queue was full
};

class Gossip {
 public:
  // Returns when the host last responded to this gateway; 0: never.
  using LastResponseLookup = std::function<Time(HostKey host)>;
  // A phase asserted by a peer. It applies for `phaseLifetime`, starting at `since`.
  struct AcceptedPhase {
    HostKey host = 0;
    std::int64_t startedUnixMs = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};
  };
  Gossip(const GossipSettings& settings, std::uint64_t seed, Time now, LastResponseLookup lastResponse);

  // The attempts of this gateway found the host unresponsive.
  void onUnresponsive(HostKey host, std::int64_t startedUnixMs, Time now);
  // To be called for each entry of the own endpoint list, also for active hosts. An entry confirms or refutes
  // what peers have asserted about the host.
  void onListed(HostKey host, std::int64_t startedUnixMs, HostPhase phase, std::uint64_t version, Time now);
  // Drops the state of the host. Its removal is still sent to peers.
  void onHostErased(HostKey host);

  void onMessage(GatewayNumber from, std::string_view payload, Time now);
  // Handles one update, received in a gossip message or in a snapshot.
  void onUpdate(GatewayNumber from, const GossipUpdate& update, Time now);
  // Returns the messages to send now. To be called once per `period`.
  std::vector<OutgoingMessage> tick(Time now);

  // Whether a quorum of peers observed the host as unresponsive, and the host has not responded to this
  // gateway since.
  bool isUnresponsiveByQuorum(HostKey host, Time now) const;
  // Returns the end times of the restrictions that a quorum has started or extended since the last call.
  std::vector<Time> takeUnresponsiveUntil() { return std::exchange(newUnresponsiveUntil_, {}); }
  std::vector<AcceptedPhase> takeAcceptedPhases() { return std::exchange(acceptedPhases_, {}); }

  bool hasReputation(GatewayNumber from) const {
    return from < reputations_.size() && reputations_[from].isTrusted();
  }
  std::size_t hostCount() const { return hosts_.size(); }
  std::size_t listedHostCount() const { return listedHosts_; }
  std::size_t unresponsiveHostCount() const { return unresponsiveUntil_.size(); }
  const GossipStatistics& statistics() const { return statistics_; }

 private:
  // A phase that a peer asserts and the own list lacks.
  struct Assertion {
    GatewayNumber from = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};  // time of the first assertion; repetitions do not renew it
  };
  struct Host {
    bool listed = false;  // the own list contains the host
    std::int64_t startedUnixMs = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time observedUnresponsiveAt{};  // by attempts of this gateway; 0: never
    ObservationVotes votes;
    std::optional<Assertion> assertion;
  };
  struct AssertionExpiry {
    Time at{};
    HostKey host = 0;
  };

  Host* findProcess(HostKey key, std::int64_t startedUnixMs);
  Time unresponsiveSince(const Host& host, Time now) const;
  void onUnresponsiveUpdate(HostKey key, Host& host, GatewayNumber from, Time observedAt, Time now);
  bool restrictUnresponsive(HostKey key, Time since);
  void onPhaseUpdate(HostKey key, Host& host, GatewayNumber from, const GossipUpdate& update, Time now);
  bool mayAssert(const PeerReputation& reputation);
  void closeAssertion(Host& host, bool confirmed, Time now);
  void expireAssertions(Time now);
  void reviewAssertion(Host& host, Time now);
  void enqueue(HostKey key, const Host& host, GossipUpdate::Kind kind);
  std::vector<GossipUpdate> nextBatch(Time now);
  std::vector<GatewayNumber> drawRecipients();
  std::size_t quorum() const;

  const GossipSettings settings_;
  SplitMix64 random_;
  const LastResponseLookup lastResponse_;
  std::unordered_map<HostKey, Host> hosts_;
  GossipQueue queue_;
  std::deque<AssertionExpiry> assertionExpiries_;        // earliest first
  std::vector<PeerReputation> reputations_;              // indexed by gateway
  std::unordered_map<HostKey, Time> unresponsiveUntil_;  // hosts restricted by a quorum
  std::vector<Time> newUnresponsiveUntil_;
  std::vector<AcceptedPhase> acceptedPhases_;
  std::size_t listedHosts_ = 0;
  GossipStatistics statistics_;
};

}  // namespace finchstile::membership
