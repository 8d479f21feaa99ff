// Gossip between gateways about hosts: that a host is unresponsive, drains or was removed; never about
// requests. An update goes to a few gateways drawn at random, a bounded number of times; without changes
// nothing is sent.
//
// A gateway passes on only what it holds true: by its own attempts, by its own list, or, of an unresponsive
// host, because a quorum of others observed it. A faulty gateway therefore convinces nobody that a host is
// unresponsive. Its assertions about phases restrict a bounded fraction of hosts for a bounded time, and cost
// its reputation if no list confirms them. Messages have ages instead of times, so clocks need not agree. No
// I/O; clock and randomness are passed in.
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
  Duration period = std::chrono::milliseconds(200);  // between messages
  std::size_t fanout = 3;                            // recipients of each message
  double retransmitMultiplier = 2;                   // times log2(gateways + 1): transmissions of an update
  std::size_t quorum = 3;  // other gateways that have to observe an unresponsive host; at most all of them
  Duration observationLifetime = std::chrono::seconds(3);  // of an observed unresponsiveness
  Duration phaseLifetime = std::chrono::seconds(10);       // of a phase that our own list does not have
  double maxPhaseFraction = 0.25;        // of the hosts that one gateway's phases may restrict
  double maxUnresponsiveFraction = 0.5;  // of the hosts that others' unresponsiveness may restrict
  double maxReputation = 32;             // unconfirmed assertions until a gateway is ignored
  Duration reputationInterval = std::chrono::seconds(60);  // in which one of them is forgiven
  std::size_t maxQueuedUpdates = 4096;
};

struct GossipStatistics {
  std::uint64_t sent = 0;                  // messages
  std::uint64_t bytes = 0;                 // of the sent messages
  std::uint64_t received = 0;              // messages
  std::uint64_t malformed = 0;             // messages
  std::uint64_t unresponsiveByQuorum = 0;  // hosts that a quorum observed as unresponsive
  std::uint64_t contradicted = 0;          // observations ignored: the host has responded to us since
  std::uint64_t assertions = 0;            // of phases, accepted
  std::uint64_t confirmed = 0;             // assertions that our list confirmed
  std::uint64_t expired = 0;               // assertions that it did not
  std::uint64_t withoutReputation = 0;     // assertions ignored: the gateway has no reputation left
  std::uint64_t overFraction = 0;          // updates ignored: they would restrict too many hosts
  std::uint64_t dropped = 0;               // updates that the queue had no room for
};

class Gossip {
 public:
  // When a host last responded to us; 0: never.
  using LastResponseLookup = std::function<Time(HostKey host)>;
  // A peer's phase that applies from `since` on for `phaseLifetime`.
  struct AcceptedPhase {
    HostKey host = 0;
    std::int64_t startedUnixMs = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};
  };
  Gossip(const GossipSettings& settings, std::uint64_t seed, Time now, LastResponseLookup lastResponse);

  // Our own attempts found the host unresponsive.
  void onUnresponsive(HostKey host, std::int64_t startedUnixMs, Time now);
  // An entry of our own list, `active` ones included: it confirms or ends what others assert.
  void onListed(HostKey host, std::int64_t startedUnixMs, HostPhase phase, std::uint64_t version, Time now);
  void onHostErased(HostKey host);

  void onMessage(GatewayNumber from, std::string_view payload, Time now);
  void onUpdate(GatewayNumber from, const GossipUpdate& update, Time now);  // one, however it was received
  // The messages to send now. To be called once per period.
  std::vector<OutgoingMessage> tick(Time now);

  // A quorum of others observed the host as unresponsive, and it has not responded to us since.
  bool isUnresponsiveByQuorum(HostKey host, Time now) const;
  // For each host that became unresponsive by quorum since the last call: until when that lasts.
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
  // What another gateway asserts about a host's phase beyond our list.
  struct Assertion {
    GatewayNumber from = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};  // of the first assertion; repeating it does not make it younger
  };
  struct Host {
    bool listed = false;  // our list names it
    std::int64_t startedUnixMs = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time observedUnresponsiveAt{};  // by our own attempts; 0: never
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
  std::deque<AssertionExpiry> assertionExpiries_;        // in the order of time
  std::vector<PeerReputation> reputations_;              // by gateway
  std::unordered_map<HostKey, Time> unresponsiveUntil_;  // hosts restricted by a quorum
  std::vector<Time> newUnresponsiveUntil_;
  std::vector<AcceptedPhase> acceptedPhases_;
  std::size_t listedHosts_ = 0;
  GossipStatistics statistics_;
};

}  // namespace finchstile::membership
