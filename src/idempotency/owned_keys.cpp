#include "idempotency/owned_keys.hpp"

#include <algorithm>
#include <utility>

#include "idempotency/relative_time.hpp"

namespace finchstile::idempotency {

OwnedKeys::OwnedKeys(const OwnershipSettings& settings, const OwnershipRing& ring, OwnershipCounts& counts,
                     Time now)
    : settings_(settings), ring_(ring), counts_(counts), startedAt_(now) {}

void OwnedKeys::store(const SipHash128& id, Entry&& entry) {
  remove(id);
  expiries_.insert({entry.expiresAt, id});
  entries_[id] = std::move(entry);
}

void OwnedKeys::remove(const SipHash128& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  expiries_.erase({it->second.expiresAt, id});
  entries_.erase(it);
}

bool OwnedKeys::isFull() {
  if (entries_.size() < settings_.maxEntries) return false;
  ++counts_.rejectedForCapacity;
  return true;
}

void OwnedKeys::expire(Time now) {
  while (!expiries_.empty() && expiries_.begin()->at <= now) {
    const Expiry expiry = *expiries_.begin();
    Entry entry = std::move(entries_.at(expiry.id));
    remove(expiry.id);
    if (entry.state != KeyState::running) continue;
    // The runner has been silent for longer than a request may take, so the run may have been executed.
    entry.state = KeyState::uncertain;
    entry.mayHaveExecuted = true;
    entry.validUntil = expiry.at + settings_.retention;
    entry.expiresAt = entry.validUntil;
    if (entry.expiresAt > now) store(expiry.id, std::move(entry));
  }
}

ClaimResponse OwnedKeys::respondTo(Time now, const Claim& claim) const {
  ClaimResponse response;
  response.requestId = claim.requestId;
  response.senderIsNew = now - startedAt_ < settings_.retention + settings_.maxRequestDuration;
  const auto owners = ring_.ownersOf(claim.key.id);
  response.senderIsOwner = std::find(owners.begin(), owners.end(), settings_.ownNumber) != owners.end();
  return response;
}

ClaimResponse OwnedKeys::onClaim(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim) {
  expire(now);
  ++counts_.claimsReceived;
  ClaimResponse response = respondTo(now, claim);
  const auto it = entries_.find(claim.key.id);
  if (it == entries_.end()) {
    if (isFull()) {
      response.knowledge = KeyKnowledge::ownerFull;
      return response;
    }
    startRun(now, from, epoch, claim, {}, response);
    return response;
  }
  Entry entry = it->second;
  if (entry.state != KeyState::unused && entry.fingerprint != claim.key.fingerprint) {
    response.knowledge = KeyKnowledge::mismatch;
    return response;
  }
  // A runner that claims its own key has forgotten it or has restarted, so only others are told of the
  // response.
  if (entry.state == KeyState::completed && entry.runner != from && !claim.responseUnavailable) {
    response.knowledge = KeyKnowledge::completed;
    response.runner = entry.runner;
    response.remainingMs = remainingMilliseconds(now, entry.validUntil, settings_.retention);
    return response;
  }
  if (entry.state == KeyState::running && entry.runner != from) {
    response.knowledge = KeyKnowledge::running;
    response.runner = entry.runner;
    return response;
  }
  // A delayed or duplicated claim must not restart a run that has finished.
  const bool sameProcess = entry.runner == from && entry.epoch == epoch;
  const bool finished = claim.run == entry.run && entry.state != KeyState::running;
  const bool stale =
      sameProcess ? claim.run < entry.run || finished : entry.runner == from && epoch < entry.epoch;
  if (stale) return response;
  // The runner has begun another run or has restarted without reporting the end of the last one, which may
  // have been executed.
  if (entry.state == KeyState::running && (!sameProcess || claim.run > entry.run)) {
    entry.mayHaveExecuted = true;
    entry.attempt = {};
    entry.validUntil = now + settings_.retention;
  }
  startRun(now, from, epoch, claim, std::move(entry), response);
  return response;
}

// Gives the key to the claimer, and says in `response` whether an earlier run may have been executed.
void OwnedKeys::startRun(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim, Entry&& entry,
                         ClaimResponse& response) {
  entry.fingerprint = claim.key.fingerprint;
  entry.mayHaveExecuted = entry.mayHaveExecuted && entry.validUntil > now;
  if (entry.mayHaveExecuted) {
    response.knowledge = KeyKnowledge::uncertain;
    response.attempt = toLocation(now, entry.attempt);
    response.remainingMs = remainingMilliseconds(now, entry.validUntil, settings_.retention);
  }
  entry.state = KeyState::running;
  entry.runner = from;
  entry.epoch = epoch;
  entry.run = claim.run;
  entry.expiresAt = now + settings_.maxRequestDuration;
  store(claim.key.id, std::move(entry));
}

void OwnedKeys::onRunFinished(Time now, GatewayNumber from, std::uint64_t epoch,
                              const RunFinishedNotice& notice) {
  expire(now);
  const auto it = entries_.find(notice.key.id);
  Entry entry;
  if (it == entries_.end()) {
    // The claim of this run was lost.
    if (isFull()) return;
  } else {
    entry = it->second;
    const bool sameProcess = entry.runner == from && entry.epoch == epoch;
    const bool currentRun = sameProcess && entry.run <= notice.run;
    if (!currentRun && (entry.state == KeyState::running || notice.state == KeyState::unused)) {
      // A delayed notice of the runner's previous run, which may have been executed. All others say nothing
      // new.
      if (!sameProcess || notice.state == KeyState::unused) return;
      entry.mayHaveExecuted = true;
      entry.attempt = toEarlierAttempt(now, notice.attempt);
      entry.validUntil = deadlineAfter(now, notice.remainingMs, settings_.retention);
      return store(notice.key.id, std::move(entry));
    }
    // A gateway that took its response from the runner knows less than is known here. Its notice only
    // prolongs the time for which that counts.
    if (entry.state == KeyState::completed && !currentRun) {
      const Time until = deadlineAfter(now, notice.remainingMs, settings_.retention);
      entry.validUntil = std::max(entry.expiresAt, until);
      entry.expiresAt = entry.validUntil;
      return store(notice.key.id, std::move(entry));
    }
  }
  entry.fingerprint = notice.key.fingerprint;
  entry.runner = from;
  entry.epoch = epoch;
  entry.run = notice.run;
  finishRun(now, notice, entry);
  store(notice.key.id, std::move(entry));
}

void OwnedKeys::finishRun(Time now, const RunFinishedNotice& notice, Entry& entry) const {
  if (notice.state == KeyState::unused) {
    // The entry stays for a while, since the claim of this run may still arrive, or arrive again.
    entry.mayHaveExecuted = entry.mayHaveExecuted && entry.validUntil > now;
    entry.state = entry.mayHaveExecuted ? KeyState::uncertain : KeyState::unused;
    entry.expiresAt = entry.mayHaveExecuted ? entry.validUntil : now + settings_.maxRequestDuration;
    return;
  }
  // A run that was not sent, or took its response from another gateway, may know of a shorter time than the
  // owner.
  const Time known = entry.mayHaveExecuted ? entry.validUntil : Time{};
  entry.validUntil = std::max(known, deadlineAfter(now, notice.remainingMs, settings_.retention));
  entry.expiresAt = entry.validUntil;
  entry.state = notice.state;
  entry.mayHaveExecuted = true;
  entry.attempt = toEarlierAttempt(now, notice.attempt);
}

}  // namespace finchstile::idempotency
