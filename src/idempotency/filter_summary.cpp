#include "idempotency/filter_summary.hpp"

#include <string_view>

namespace finchstile::idempotency {
namespace {

void append(std::string& line, std::string_view name, std::uint64_t value) {
  line += " ";
  line += name;
  line += "=";
  line += std::to_string(value);
}

void appendStore(std::string& line, const Store& store) {
  append(line, "entries", store.entries());
  append(line, "bytes", store.bytes());
  append(line, "running", store.countInState(KeyState::running));
  append(line, "answered", store.countInState(KeyState::completed));
  append(line, "uncertain", store.countInState(KeyState::uncertain));
  append(line, "evicted", store.evictions());
}

void appendRequests(std::string& line, const FilterCounts& counts) {
  append(line, "fresh", counts.firstRuns);
  append(line, "joined", counts.joinedRunning);
  append(line, "replayed", counts.replayedResponses);
  append(line, "again", counts.retriedUncertain);
  append(line, "mismatched", counts.fingerprintMismatches);
  append(line, "crowded", counts.tooManyWaiters);
  append(line, "full", counts.storeFull);
  append(line, "large", counts.bodyTooLarge);
  append(line, "answered_from_first", counts.answeredFromRunning);
  append(line, "promoted", counts.promoted);
  append(line, "kept_without_client", counts.keptWithoutClient);
}

void appendLog(std::string& line, const FilterCounts& counts, const Journal& journal) {
  append(line, "log_bytes", journal.bytes());
  append(line, "log_broken", journal.logFailed() ? 1 : 0);
  append(line, "unrecorded", counts.unrecorded);
  append(line, "unknown", counts.assumedUncertain);
  append(line, "unwritten", journal.writeFailures());
  append(line, "unanswered", journal.responsesOmitted());
  append(line, "syncs", journal.syncs());
}

void appendOwnership(std::string& line, const KeyOwnership& ownership) {
  const OwnershipCounts& counts = ownership.counts();
  append(line, "claims", counts.claims);
  append(line, "waited", counts.awaitedDecision);
  append(line, "ran", counts.decidedRun);
  append(line, "had", counts.decidedResponse);
  append(line, "bound", counts.decidedUncertain);
  append(line, "differed", counts.decidedMismatch);
  append(line, "polls", counts.polls);
  append(line, "untold", counts.noMajority);
  append(line, "late", counts.lateConflicts);
  append(line, "resent", counts.retransmissions);
  append(line, "silent", counts.unanswered);
  append(line, "dropped", counts.notSent);
  append(line, "asked", counts.claimsReceived);
  append(line, "held", ownership.ownedKeys());
  append(line, "owner_full", counts.rejectedForCapacity);
  append(line, "other_view", counts.membershipMismatches);
  append(line, "malformed", counts.malformed);
}

}  // namespace

std::string summarize(const Store& store, const FilterCounts& counts, const Journal* journal,
                      const KeyOwnership* ownership) {
  std::string line = "idempotency";
  appendStore(line, store);
  appendRequests(line, counts);
  if (journal) appendLog(line, counts, *journal);
  if (ownership) appendOwnership(line, *ownership);
  return line;
}

}  // namespace finchstile::idempotency
