// Coordinates the runs of an idempotency key between gateways, so that a repeat that reaches another gateway
// does not run the key a second time. Each key has a few owner gateways (OwnerSelector). A gateway claims a
// key at its owners when a run begins, may wait for their decision before it sends the run, and notifies
// them when the run has finished. Messages may be lost, delayed or duplicated; gateways may restart and may
// be configured differently. docs/design/owners.md lists the effect of each of these faults. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "idempotency/owned_keys.hpp"
#include "idempotency/owner_selector.hpp"
#include "idempotency/ownership_settings.hpp"
#include "idempotency/pending_messages.hpp"
#include "idempotency/shared_responses.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

class KeyOwnership {
 public:
  // A message for the caller to send.
  struct Outgoing {
    GatewayNumber to = 0;
    std::string payload;
  };

  // The decision on a claimed run that waits for it.
  struct Decision {
    enum class Kind : std::uint8_t {
      run,                 // it runs as the first of its key
      uncertain,           // it runs as a retry: an earlier run may have been executed
      response,            // it is answered with another gateway's response
      fingerprintMismatch  // the key belongs to another request
    } kind = Kind::run;
    std::uint64_t run = 0;
    EarlierAttempt earlierAttempt;  // for uncertain; default: an unknown attempt
    Time validUntil{};              // for uncertain and response: when the key expires
    CachedResponse response;        // for response
  };

  // `secret` must be the same in all gateways. `now`: the start of this gateway, from which it counts as a
  // new owner for a time (see OwnedKeys).
  KeyOwnership(const OwnershipSettings& settings, const SipKey& secret, Time now);
  KeyOwnership(const KeyOwnership&) = delete;
  KeyOwnership& operator=(const KeyOwnership&) = delete;

  SharedKey keyOf(std::string_view tenant, std::string_view className, std::string_view key,
                  std::string_view method, std::string_view target, std::string_view body) const;
  std::vector<GatewayNumber> ownersOf(const SipHash128& id) const;

  // Claims the key of a run that begins at this gateway. `awaitDecision`: the run must not be sent before
  // takeDecisions() has returned a Decision for it.
  void claimKey(Time now, std::uint64_t run, const SharedKey& key, bool awaitDecision);

  // Ends a run and notifies the owners. A decision that is still pending is dropped. `state`: the state in
  // which the run itself left the key; `unused` if it was answered with another gateway's response or was
  // not sent. `until`: when that state expires. `response`: may be null; read for `completed` only.
  void finishRun(Time now, std::uint64_t run, KeyState state, const EarlierAttempt& attempt, Time until,
                 const CachedResponse* response);

  // Handles a message from another gateway. `epoch`: increases with each start of the gateway `from`.
  void onMessage(Time now, GatewayNumber from, std::uint64_t epoch, std::string_view payload);

  // Must be called at or after nextTimer().
  void onTimer(Time now);
  std::optional<Time> nextTimer() const;

  // Return what has accumulated since the last call.
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }

  const OwnershipCounts& counts() const { return counts_; }
  std::size_t ownedKeys() const { return ownedKeys_.size(); }
  std::size_t pendingMessages() const { return pending_.size(); }

 private:
  // The answer of one owner to a claim.
  struct Vote {
    GatewayNumber owner = 0;
    bool settled = false;     // it has answered, or the claim was given up
    bool unanswered = false;  // the claim was given up
    ClaimResponse response;
  };

  struct ClaimedRun {
    SharedKey key;
    std::uint64_t claimNumber = 0;  // ascending over all claims of this gateway
    bool awaitsDecision = false;
    std::vector<Vote> votes;
    std::vector<RequestId> requests;  // pending messages about this run
    std::optional<Time> pollAt;       // set while another gateway runs the key: time of the next claim
    GatewayNumber runner = 0;         // the gateway that the response is fetched from; this one: none
    std::string fetchedBytes;         // of the response, so far
    bool responseUnavailable = false;
    EarlierAttempt attempt;  // that may have been executed
    Time validUntil{};
  };

  // Claims and decisions.
  void sendClaims(Time now, std::uint64_t run, ClaimedRun& claimed);
  void onVote(Time now, std::uint64_t run, GatewayNumber from, const ClaimResponse& response,
              bool unanswered);
  void evaluateVotes(Time now, std::uint64_t run, ClaimedRun& claimed);
  void pollLater(Time now, std::uint64_t run, ClaimedRun& claimed, GatewayNumber runner);
  void mergeUncertainVotes(Time now, ClaimedRun& claimed) const;
  void decideWithoutMajority(Time now, std::uint64_t run, ClaimedRun& claimed);
  void decide(std::uint64_t run, ClaimedRun& claimed, Decision::Kind kind, CachedResponse&& response = {});
  void cancelRequests(ClaimedRun& claimed);
  void notifyOwners(Time now, const ClaimedRun& claimed, KeyState state, const EarlierAttempt& attempt,
                    Time until);

  // The response of another gateway.
  void requestChunk(Time now, std::uint64_t run, ClaimedRun& claimed);
  void onChunk(Time now, std::uint64_t run, const ResponseChunk& chunk);
  void onResponseUnavailable(Time now, std::uint64_t run, ClaimedRun& claimed);

  // Messages.
  void send(Time now, PendingMessage::Kind kind, std::uint64_t run, GatewayNumber to, OwnerMessage&& message);
  void reply(GatewayNumber to, const OwnerMessage& message);
  void onUnanswered(Time now, const PendingMessage& message);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch, const ClaimResponse& response);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch, const RunFinishedNotice& notice);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch,
              const FinishedAcknowledgement& acknowledgement);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch, const ResponseRequest& request);
  void handle(Time now, GatewayNumber from, std::uint64_t epoch, const ResponseChunk& chunk);

  const OwnershipSettings settings_;
  const OwnerSelector ownerSelector_;
  OwnershipCounts counts_;
  OwnedKeys ownedKeys_;
  SharedResponses sharedResponses_;
  PendingMessages pending_;
  std::unordered_map<std::uint64_t, ClaimedRun> runs_;
  std::set<std::pair<Time, std::uint64_t>> polls_;  // runs by their `pollAt`
  RequestId lastRequestId_ = 0;
  std::uint64_t lastClaimNumber_ = 0;
  std::vector<Outgoing> outgoing_;
  std::vector<Decision> decisions_;
};

}  // namespace finchstile::idempotency
