// The owner's side of KeyOwnership: answers the claims of all gateways for the keys that this gateway owns,
// and records when their runs finish. Claims and notices may be lost, delayed or duplicated, and gateways
// may restart; docs/design/owners.md lists the effect of each of these faults. No I/O.
#pragma once

#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>

#include "idempotency/owner_message.hpp"
#include "idempotency/ownership_settings.hpp"

namespace finchstile::idempotency {

class OwnedKeys {
 public:
  // `settings`, `ownerSelector` and `counts` must outlive this object. From `now` on, for the retention and
  // the longest request duration, the owner is new: it may have missed runs, and its responses report that.
  OwnedKeys(const OwnershipSettings& settings, const OwnerSelector& ownerSelector, OwnershipCounts& counts,
            Time now);

  // Answers a claim. `epoch`: increases with each start of the gateway `from`.
  ClaimResponse onClaim(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim);

  // Handles a notice that a run of the gateway `from` has finished.
  void onRunFinished(Time now, GatewayNumber from, std::uint64_t epoch, const RunFinishedNotice& notice);

  // Removes expired keys. A run whose end was not reported within the longest request duration becomes
  // uncertain.
  void expire(Time now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    KeyState state = KeyState::running;
    GatewayNumber runner = 0;
    std::uint64_t epoch = 0;  // of the runner
    std::uint64_t run = 0;    // Claim::run of the runner
    // An earlier run may have been executed, by `attempt`, which is valid until `validUntil`.
    bool mayHaveExecuted = false;
    EarlierAttempt attempt;
    Time validUntil{};
    Time expiresAt{};
  };
  struct Expiry {
    Time at{};
    SipHash128 id;
    bool operator<(const Expiry& other) const {
      return std::tie(at, id.high, id.low) < std::tie(other.at, other.id.high, other.id.low);
    }
  };

  ClaimResponse respondTo(Time now, const Claim& claim) const;
  bool isFull();
  void store(const SipHash128& id, Entry&& entry);
  void remove(const SipHash128& id);
  void startRun(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim, Entry&& entry,
                ClaimResponse& response);
  void finishRun(Time now, const RunFinishedNotice& notice, Entry& entry) const;

  const OwnershipSettings& settings_;
  const OwnerSelector& ownerSelector_;
  OwnershipCounts& counts_;
  const Time startedAt_;
  std::unordered_map<SipHash128, Entry, SharedKeyIdHash> entries_;
  std::set<Expiry> expiries_;  // one for each entry
};

}  // namespace finchstile::idempotency
