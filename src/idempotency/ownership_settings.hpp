// The settings and counters of KeyOwnership.
#pragma once

#include <chrono>
#include <cstdint>

#include "idempotency/owner_selector.hpp"

namespace finchstile::idempotency {

struct OwnershipSettings {
  GatewayNumber ownNumber = 0, gateways = 1;  // gateways are numbered from 0
  // Owners of each key; all gateways if there are fewer. A key counts as unused only if a majority of its
  // owners reports that: any two majorities share a gateway, so a single owner that does not answer or is
  // new cannot hide a run.
  std::size_t ownersPerKey = 3;
  Duration retransmitAfter = std::chrono::milliseconds(10);  // if there is no answer
  std::uint32_t maxAttempts = 3;                             // transmissions of one message
  Duration pollInterval = std::chrono::milliseconds(40);     // for a key that another gateway runs
  Duration retention{}, maxRequestDuration{};                // as in JournalSettings
  std::size_t maxEntries = 100'000;                          // keys that this gateway holds as an owner
  std::size_t maxResponseBytes = 2048;                       // of a response that other gateways can fetch
  std::size_t maxCacheBytes = std::size_t{4} * 1024 * 1024;  // of all such responses
  std::size_t maxPendingMessages = 10'000;
  // Whether a repeat runs if no majority of the owners can tell that its key is unused. Otherwise the key
  // counts as uncertain.
  bool runWithoutMajority = false;
};

// Totals since the start.
struct OwnershipCounts {
  // Claims of this gateway's requests.
  std::uint64_t claims = 0, awaitedDecision = 0;
  std::uint64_t decidedRun = 0, decidedResponse = 0, decidedUncertain = 0, decidedMismatch = 0;
  std::uint64_t polls = 0;          // for keys that run at another gateway
  std::uint64_t noMajority = 0;     // decisions without a majority of informed owners
  std::uint64_t lateConflicts = 0;  // votes other than `unused` on claims that did not wait
  // Messages.
  std::uint64_t retransmissions = 0, unanswered = 0;
  std::uint64_t notSent = 0;  // too many were pending
  std::uint64_t malformed = 0;
  // As an owner.
  std::uint64_t claimsReceived = 0, rejectedForCapacity = 0;
  std::uint64_t membershipMismatches = 0;  // claims of gateways that are configured differently
};

}  // namespace finchstile::idempotency
