#include "idempotency/owned_keys.hpp"

#include <algorithm>
#include <utility>

#include "idempotency/relative_time.hpp"

namespace finchstile::idempotency {

OwnedKeys::OwnedKeys(const OwnershipSettings& settings, const OwnerSelector& ownerSelector,
                     OwnershipCounts& counts, Time now)
    : settings_(settings), ownerSelector_(ownerSelector), counts_(counts), startedAt_(now) {}

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
    // The runner has not reported the end of the run within the longest request duration: the run may have
    // been executed.
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
  const auto owners = ownerSelector_.ownersOf(claim.key.id);
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
      response.result = ClaimResult::ownerFull;
      return response;
    }
    startRun(now, from, epoch, claim, {}, response);
    return response;
  }
  Entry entry = it->second;
  if (entry.state != KeyState::unused && entry.fingerprint != claim.key.fingerprint) {
    response.result = ClaimResult::mismatch;
    return response;
  }
  // A runner that claims a key that it has completed no longer has the response, since it evicted the key or
  // restarted. Only other gateways are directed to the response.
  if (entry.state == KeyState::completed && entry.runner != from && !claim.responseUnavailable) {
    response.result = ClaimResult::completed;
    response.runner = entry.runner;
    response.remainingMs = remainingMilliseconds(now, entry.validUntil, settings_.retention);
    return response;
  }
  if (entry.state == KeyState::running && entry.runner != from) {
    response.result = ClaimResult::running;
    response.runner = entry.runner;
    return response;
  }
  // A delayed or duplicated claim must not restart a run that has finished.
  const bool sameProcess = entry.runner == from && entry.epoch == epoch;
  const bool finished = claim.run == entry.run && entry.state != KeyState::running;
  const bool stale =
      sameProcess ? claim.run < entry.run || finished : entry.runner == from && epoch < entry.epoch;
  if (stale) return response;
  // The runner has begun another run or has restarted, without reporting the end of its previous run, which
  // may have been executed.
  if (entry.state == KeyState::running && (!sameProcess || claim.run > entry.run)) {
    entry.mayHaveExecuted = true;
    entry.attempt = {};
    entry.validUntil = now + settings_.retention;
  }
  startRun(now, from, epoch, claim, std::move(entry), response);
  return response;
}

// Makes the claimer the runner of the key, and reports in `response` whether an earlier run may have been
// executed.
void OwnedKeys::startRun(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim, Entry&& entry,
                         ClaimResponse& response) {
  entry.fingerprint = claim.key.fingerprint;
  entry.mayHaveExecuted = entry.mayHaveExecuted && entry.validUntil > now;
  if (entry.mayHaveExecuted) {
    response.result = ClaimResult::uncertain;
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
      // Only a delayed notice of the runner's previous run, which may have been executed, has new
      // information.
      if (!sameProcess || notice.state == KeyState::unused) return;
      entry.mayHaveExecuted = true;
      entry.attempt = toEarlierAttempt(now, notice.attempt);
      entry.validUntil = deadlineAfter(now, notice.remainingMs, settings_.retention);
      return store(notice.key.id, std::move(entry));
    }
    // A gateway that fetched the response from the runner has less information than this entry. Its notice
    // only extends the entry's validity.
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
    // The entry is retained for the longest request duration, since the claim of this run may be delayed or
    // duplicated.
    entry.mayHaveExecuted = entry.mayHaveExecuted && entry.validUntil > now;
    entry.state = entry.mayHaveExecuted ? KeyState::uncertain : KeyState::unused;
    entry.expiresAt = entry.mayHaveExecuted ? entry.validUntil : now + settings_.maxRequestDuration;
    return;
  }
  // A run that was not sent, or was answered with another gateway's response, may report an earlier expiry
  // than the owner has recorded.
  const Time recordedUntil = entry.mayHaveExecuted ? entry.validUntil : Time{};
  entry.validUntil = std::max(recordedUntil, deadlineAfter(now, notice.remainingMs, settings_.retention));
  entry.expiresAt = entry.validUntil;
  entry.state = notice.state;
  entry.mayHaveExecuted = true;
  entry.attempt = toEarlierAttempt(now, notice.attempt);
}

}  // namespace finchstile::idempotency
