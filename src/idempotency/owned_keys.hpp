// The keys that this gateway owns: it answers the claims of all gateways for them and learns when their runs
// finish. Claims and notices may be lost, delayed or duplicated, and gateways restart; docs/design/owners.md
// lists what each of these leads to. No I/O.
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
  // `settings`, `ring` and `counts` must outlive this object. For the first retention after `now` the owner
  // is new: it may have missed runs, and says so.
  OwnedKeys(const OwnershipSettings& settings, const OwnershipRing& ring, OwnershipCounts& counts, Time now);

  // Answers a claim. `epoch`: increases with each start of the gateway `from`.
  ClaimResponse onClaim(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim);

  // Takes a notice that a run of the gateway `from` has finished.
  void onRunFinished(Time now, GatewayNumber from, std::uint64_t epoch, const RunFinishedNotice& notice);

  // A run whose end is not reported within the longest duration of a request becomes uncertain; other keys
  // are forgotten when they expire.
  void expire(Time now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0;
    KeyState state = KeyState::running;
    GatewayNumber runner = 0;
    std::uint64_t epoch = 0;  // of the runner
    std::uint64_t run = 0;    // the runner's number of the claim
    bool mayHaveExecuted =
        false;  // an earlier run may have executed, at `attempt`, which counts until `validUntil`
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
  const OwnershipRing& ring_;
  OwnershipCounts& counts_;
  const Time startedAt_;
  std::unordered_map<SipHash128, Entry, SharedKeyIdHash> entries_;
  std::set<Expiry> expiries_;  // one for each entry
};

}  // namespace finchstile::idempotency
