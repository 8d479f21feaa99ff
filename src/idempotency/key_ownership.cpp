#include "idempotency/key_ownership.hpp"

#include <algorithm>
#include <utility>

#include "idempotency/relative_time.hpp"

namespace finchstile::idempotency {
namespace {

// Multiplies the poll interval at the gateway that yields its claims to another one.
constexpr int kYieldingPollFactor = 3;

constexpr std::uint64_t kNoRun = 0;
constexpr std::uint64_t kOwnEpoch = 0;

}  // namespace

KeyOwnership::KeyOwnership(const OwnershipSettings& settings, const SipKey& secret, Time now)
    : settings_(settings),
      ownerSelector_(settings.gateways, settings.ownersPerKey, secret),
      ownedKeys_(settings_, ownerSelector_, counts_, now),
      sharedResponses_(settings_),
      pending_(settings_) {}

SharedKey KeyOwnership::keyOf(std::string_view tenant, std::string_view className, std::string_view key,
                              std::string_view method, std::string_view target, std::string_view body) const {
  return ownerSelector_.keyOf(tenant, className, key, method, target, body);
}

std::vector<GatewayNumber> KeyOwnership::ownersOf(const SipHash128& id) const {
  return ownerSelector_.ownersOf(id);
}

void KeyOwnership::claimKey(Time now, std::uint64_t run, const SharedKey& key, bool awaitDecision) {
  ++counts_.claims;
  if (awaitDecision) ++counts_.awaitedDecision;
  ClaimedRun& claimed = runs_[run];
  claimed = ClaimedRun{};
  claimed.key = key;
  claimed.claimNumber = ++lastClaimNumber_;
  claimed.awaitsDecision = awaitDecision;
  claimed.runner = settings_.ownNumber;
  for (const GatewayNumber owner : ownerSelector_.ownersOf(key.id)) {
    Vote vote;
    vote.owner = owner;
    claimed.votes.push_back(std::move(vote));
  }
  sendClaims(now, run, claimed);
}

void KeyOwnership::sendClaims(Time now, std::uint64_t run, ClaimedRun& claimed) {
  for (Vote& vote : claimed.votes) {
    vote.settled = false;
    vote.unanswered = false;
  }
  // Answers to earlier claims of this run are ignored from here on.
  cancelRequests(claimed);
  for (Vote& vote : claimed.votes) {
    Claim claim;
    claim.key = claimed.key;
    claim.run = claimed.claimNumber;
    claim.membershipHash = ownerSelector_.membershipHash();
    claim.responseUnavailable = claimed.responseUnavailable;
    if (vote.owner != settings_.ownNumber) {
      send(now, PendingMessage::Kind::claim, run, vote.owner, claim);
      continue;
    }
    vote.response = ownedKeys_.onClaim(now, settings_.ownNumber, kOwnEpoch, claim);
    vote.settled = true;
  }
  evaluateVotes(now, run, claimed);
}

void KeyOwnership::onVote(Time now, std::uint64_t run, GatewayNumber from, const ClaimResponse& response,
                          bool unanswered) {
  const auto it = runs_.find(run);
  if (it == runs_.end()) return;
  ClaimedRun& claimed = it->second;
  const bool keyInUse =
      !unanswered && response.result != ClaimResult::unused && response.result != ClaimResult::ownerFull;
  for (Vote& vote : claimed.votes) {
    if (vote.owner != from || vote.settled) continue;
    vote.settled = true;
    vote.unanswered = unanswered;
    vote.response = response;
    if (!claimed.awaitsDecision && keyInUse) ++counts_.lateConflicts;
  }
  evaluateVotes(now, run, claimed);
}

void KeyOwnership::evaluateVotes(Time now, std::uint64_t run, ClaimedRun& claimed) {
  if (!claimed.awaitsDecision || claimed.pollAt || claimed.runner != settings_.ownNumber) return;
  const auto voteFor = [&claimed](ClaimResult result) -> const ClaimResponse* {
    for (const Vote& vote : claimed.votes)
      if (vote.settled && !vote.unanswered && vote.response.result == result) return &vote.response;
    return nullptr;
  };
  if (voteFor(ClaimResult::mismatch)) return decide(run, claimed, Decision::Kind::fingerprintMismatch);
  if (const ClaimResponse* const completed = voteFor(ClaimResult::completed)) {
    if (completed->runner >= settings_.gateways) return onResponseUnavailable(now, run, claimed);
    claimed.runner = completed->runner;
    claimed.validUntil = deadlineAfter(now, completed->remainingMs, settings_.retention);
    return requestChunk(now, run, claimed);
  }
  const auto isSettled = [](const Vote& vote) { return vote.settled; };
  if (!std::all_of(claimed.votes.begin(), claimed.votes.end(), isSettled)) return;
  if (const ClaimResponse* const running = voteFor(ClaimResult::running))
    return pollLater(now, run, claimed, running->runner);
  // A run may be known only to owners that do not answer or have no reliable information. A majority of
  // informed owners is needed to conclude that the key is unused, or that no other gateway runs it now.
  const auto isInformed = [](const Vote& vote) {
    return !vote.unanswered && vote.response.senderIsOwner && !vote.response.senderIsNew &&
           (vote.response.result == ClaimResult::unused || vote.response.result == ClaimResult::uncertain);
  };
  const auto informed = std::count_if(claimed.votes.begin(), claimed.votes.end(), isInformed);
  const bool majority = static_cast<std::size_t>(informed) > claimed.votes.size() / 2;
  if (voteFor(ClaimResult::uncertain)) {
    mergeUncertainVotes(now, claimed);
    if (!majority) claimed.attempt = {};
    return decide(run, claimed, Decision::Kind::uncertain);
  }
  if (majority) return decide(run, claimed, Decision::Kind::run);
  decideWithoutMajority(now, run, claimed);
}

// Another gateway runs the key: the owners are polled with another claim later.
void KeyOwnership::pollLater(Time now, std::uint64_t run, ClaimedRun& claimed, GatewayNumber runner) {
  ++counts_.polls;
  // Two gateways that claim the key at the same time may each be the runner at one of its owners and would
  // wait for each other until both requests time out. The one with the higher number releases its claims,
  // and claims the key again after the other one has done so.
  const bool yields = settings_.ownNumber > runner;
  claimed.pollAt = now + settings_.pollInterval * (yields ? kYieldingPollFactor : 1);
  polls_.emplace(*claimed.pollAt, run);
  if (!yields) return;
  notifyOwners(now, claimed, KeyState::unused, {}, now);
  claimed.claimNumber = ++lastClaimNumber_;
}

void KeyOwnership::mergeUncertainVotes(Time now, ClaimedRun& claimed) const {
  claimed.validUntil = now;
  bool first = true;
  for (const Vote& vote : claimed.votes) {
    if (vote.unanswered || vote.response.result != ClaimResult::uncertain) continue;
    const EarlierAttempt attempt = toEarlierAttempt(now, vote.response.attempt);
    claimed.attempt = first ? attempt : mergeEarlierAttempts(claimed.attempt, attempt);
    const Time until = deadlineAfter(now, vote.response.remainingMs, settings_.retention);
    claimed.validUntil = std::max(claimed.validUntil, until);
    first = false;
  }
}

void KeyOwnership::decideWithoutMajority(Time now, std::uint64_t run, ClaimedRun& claimed) {
  ++counts_.noMajority;
  claimed.attempt = {};
  claimed.validUntil = now + settings_.retention;
  decide(run, claimed, settings_.runWithoutMajority ? Decision::Kind::run : Decision::Kind::uncertain);
}

void KeyOwnership::decide(std::uint64_t run, ClaimedRun& claimed, Decision::Kind kind,
                          CachedResponse&& response) {
  claimed.awaitsDecision = false;
  switch (kind) {
    case Decision::Kind::run: ++counts_.decidedRun; break;
    case Decision::Kind::uncertain: ++counts_.decidedUncertain; break;
    case Decision::Kind::response: ++counts_.decidedResponse; break;
    case Decision::Kind::fingerprintMismatch: ++counts_.decidedMismatch; break;
  }
  decisions_.push_back({kind, run, claimed.attempt, claimed.validUntil, std::move(response)});
}

void KeyOwnership::cancelRequests(ClaimedRun& claimed) {
  for (const RequestId id : std::exchange(claimed.requests, {})) pending_.cancel(id);
}

void KeyOwnership::finishRun(Time now, std::uint64_t run, KeyState state, const EarlierAttempt& attempt,
                             Time until, const CachedResponse* response) {
  const auto it = runs_.find(run);
  if (it == runs_.end()) return;
  ClaimedRun claimed = std::move(it->second);
  runs_.erase(it);
  if (claimed.pollAt) polls_.erase({*claimed.pollAt, run});
  cancelRequests(claimed);
  if (state == KeyState::completed && response) sharedResponses_.add(now, claimed.key.id, *response);
  notifyOwners(now, claimed, state, attempt, until);
}

void KeyOwnership::notifyOwners(Time now, const ClaimedRun& claimed, KeyState state,
                                const EarlierAttempt& attempt, Time until) {
  for (const Vote& vote : claimed.votes) {
    RunFinishedNotice notice;
    notice.key = claimed.key;
    notice.run = claimed.claimNumber;
    notice.state = state;
    notice.attempt = toLocation(now, attempt);
    notice.remainingMs = remainingMilliseconds(now, until, settings_.retention);
    if (vote.owner == settings_.ownNumber)
      ownedKeys_.onRunFinished(now, settings_.ownNumber, kOwnEpoch, notice);
    else send(now, PendingMessage::Kind::runFinishedNotice, kNoRun, vote.owner, notice);
  }
}

void KeyOwnership::requestChunk(Time now, std::uint64_t run, ClaimedRun& claimed) {
  ResponseRequest request;
  request.key = claimed.key;
  request.offset = static_cast<std::uint16_t>(claimed.fetchedBytes.size());
  send(now, PendingMessage::Kind::responseRequest, run, claimed.runner, request);
}

void KeyOwnership::onChunk(Time now, std::uint64_t run, const ResponseChunk& chunk) {
  const auto it = runs_.find(run);
  if (it == runs_.end() || !it->second.awaitsDecision) return;
  ClaimedRun& claimed = it->second;
  const bool usable = chunk.totalBytes > 0 && chunk.totalBytes <= settings_.maxResponseBytes &&
                      !chunk.bytes.empty() && chunk.offset == claimed.fetchedBytes.size();
  if (!usable) return onResponseUnavailable(now, run, claimed);
  claimed.fetchedBytes += chunk.bytes;
  if (claimed.fetchedBytes.size() < chunk.totalBytes) return requestChunk(now, run, claimed);
  auto response = parseResponse(claimed.fetchedBytes);
  if (!response) return onResponseUnavailable(now, run, claimed);
  decide(run, claimed, Decision::Kind::response, std::move(*response));
}

// The run claims the key once more, so that its owners record that the key runs again without the response.
void KeyOwnership::onResponseUnavailable(Time now, std::uint64_t run, ClaimedRun& claimed) {
  if (std::exchange(claimed.responseUnavailable, true))
    return decide(run, claimed, Decision::Kind::uncertain);
  claimed.runner = settings_.ownNumber;
  claimed.fetchedBytes.clear();
  sendClaims(now, run, claimed);
}

void KeyOwnership::send(Time now, PendingMessage::Kind kind, std::uint64_t run, GatewayNumber to,
                        OwnerMessage&& message) {
  const RequestId id = ++lastRequestId_;
  std::visit([id](auto& typed) { typed.requestId = id; }, message);
  PendingMessage pending{kind, run, to, encode(message)};
  if (pending_.isFull()) {
    ++counts_.notSent;
    onUnanswered(now, pending);
    return;
  }
  outgoing_.push_back({to, pending.payload});
  if (kind != PendingMessage::Kind::runFinishedNotice) runs_.at(run).requests.push_back(id);
  pending_.add(now, id, std::move(pending));
}

void KeyOwnership::reply(GatewayNumber to, const OwnerMessage& message) {
  outgoing_.push_back({to, encode(message)});
}

void KeyOwnership::onUnanswered(Time now, const PendingMessage& message) {
  ++counts_.unanswered;
  switch (message.kind) {
    case PendingMessage::Kind::claim: return onVote(now, message.run, message.to, {}, true);
    case PendingMessage::Kind::responseRequest: {
      const auto it = runs_.find(message.run);
      if (it != runs_.end() && it->second.awaitsDecision) onResponseUnavailable(now, message.run, it->second);
      return;
    }
    // The owner makes the key uncertain by itself when the longest request duration has passed.
    case PendingMessage::Kind::runFinishedNotice: return;
  }
}

void KeyOwnership::onMessage(Time now, GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
  const auto message = decodeOwnerMessage(payload);
  if (!message) {
    ++counts_.malformed;
    return;
  }
  std::visit([&](const auto& typed) { handle(now, from, epoch, typed); }, *message);
}

void KeyOwnership::handle(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& claim) {
  if (claim.membershipHash != ownerSelector_.membershipHash()) ++counts_.membershipMismatches;
  reply(from, ownedKeys_.onClaim(now, from, epoch, claim));
}

void KeyOwnership::handle(Time now, GatewayNumber from, std::uint64_t /*epoch*/,
                          const ClaimResponse& response) {
  const auto claim = pending_.takeAnswered(response.requestId, from, PendingMessage::Kind::claim);
  if (claim) onVote(now, claim->run, from, response, false);
}

void KeyOwnership::handle(Time now, GatewayNumber from, std::uint64_t epoch,
                          const RunFinishedNotice& notice) {
  ownedKeys_.onRunFinished(now, from, epoch, notice);
  reply(from, FinishedAcknowledgement{notice.requestId});
}

void KeyOwnership::handle(Time /*now*/, GatewayNumber from, std::uint64_t /*epoch*/,
                          const FinishedAcknowledgement& acknowledgement) {
  pending_.takeAnswered(acknowledgement.requestId, from, PendingMessage::Kind::runFinishedNotice);
}

void KeyOwnership::handle(Time now, GatewayNumber from, std::uint64_t /*epoch*/,
                          const ResponseRequest& request) {
  reply(from, sharedResponses_.chunkFor(now, request));
}

void KeyOwnership::handle(Time now, GatewayNumber from, std::uint64_t /*epoch*/, const ResponseChunk& chunk) {
  const auto request = pending_.takeAnswered(chunk.requestId, from, PendingMessage::Kind::responseRequest);
  if (request) onChunk(now, request->run, chunk);
}

std::optional<Time> KeyOwnership::nextTimer() const {
  std::optional<Time> at = pending_.nextDue();
  if (!polls_.empty() && (!at || polls_.begin()->first < *at)) at = polls_.begin()->first;
  return at;
}

void KeyOwnership::onTimer(Time now) {
  ownedKeys_.expire(now);
  while (const auto overdue = pending_.nextOverdue(now)) {
    if (overdue->givenUp) {
      onUnanswered(now, overdue->message);
      continue;
    }
    ++counts_.retransmissions;
    outgoing_.push_back({overdue->message.to, overdue->message.payload});
  }
  while (!polls_.empty() && polls_.begin()->first <= now) {
    const std::uint64_t run = polls_.begin()->second;
    polls_.erase(polls_.begin());
    ClaimedRun& claimed = runs_.at(run);
    claimed.pollAt.reset();
    sendClaims(now, run, claimed);
  }
}

}  // namespace finchstile::idempotency
