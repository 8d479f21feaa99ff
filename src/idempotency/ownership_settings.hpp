// The settings and counters of the agreement between gateways on idempotency keys.
#pragma once

#include <chrono>
#include <cstdint>

#include "idempotency/ownership_ring.hpp"

namespace finchstile::idempotency {

struct OwnershipSettings {
  GatewayNumber ownNumber = 0, gateways = 1;  // gateways are numbered from 0
  // Owners of each key; all gateways if there are fewer. A majority of them has to say that a key is unused:
  // any two majorities share a gateway, so an owner that is silent or new hides no run.
  std::size_t ownersPerKey = 3;
  Duration retransmitAfter = std::chrono::milliseconds(10);  // without an answer
  std::uint32_t maxAttempts = 3;                             // transmissions of one message
  Duration pollInterval = std::chrono::milliseconds(40);     // of a key that another gateway runs
  Duration retention{}, maxRequestDuration{};                // as in the store
  std::size_t maxEntries = 100'000;                          // keys that this gateway holds as an owner
  std::size_t maxResponseBytes = 2048;                       // of a response that other gateways can fetch
  std::size_t maxCacheBytes = std::size_t{4} * 1024 * 1024;  // of all such responses
  std::size_t maxPendingMessages = 10'000;
  // Whether a repeat runs when no majority of the owners can tell. Otherwise it counts as uncertain.
  bool runWhenOwnersSilent = false;
};

// Totals since the start.
struct OwnershipCounts {
  // Claims of this gateway's requests.
  std::uint64_t claims = 0, awaitedDecision = 0;
  std::uint64_t decidedRun = 0, decidedResponse = 0, decidedUncertain = 0, decidedMismatch = 0;
  std::uint64_t polls = 0;           // of keys that run at another gateway
  std::uint64_t noMajority = 0;      // decisions for which no majority of the owners could tell
  std::uint64_t learnedTooLate = 0;  // claims without waiting whose key turned out not to be unused
  // Messages.
  std::uint64_t retransmissions = 0, unanswered = 0;
  std::uint64_t notSent = 0;  // too many were pending
  std::uint64_t malformed = 0;
  // As an owner.
  std::uint64_t claimsReceived = 0, rejectedForCapacity = 0;
  std::uint64_t membershipMismatches = 0;  // claims of gateways that are configured differently
};

}  // namespace finchstile::idempotency
