#include "idempotency/log_replay.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::idempotency {

TenantAndClassNames TenantAndClassNames::of(const load_balancing::Settings& settings) {
  TenantAndClassNames names;
  for (const auto& tenant : settings.tenants) names.tenants.push_back(tenant.name);
  for (const auto& requestClass : settings.classes) names.classes.push_back(requestClass.name);
  return names;
}

std::uint32_t TenantAndClassNames::tenantIndex(const std::string& name) const {
  return static_cast<std::uint32_t>(std::find(tenants.begin(), tenants.end(), name) - tenants.begin());
}

std::optional<std::uint32_t> TenantAndClassNames::classIndex(const std::string& name) const {
  const auto it = std::find(classes.begin(), classes.end(), name);
  if (it == classes.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - classes.begin());
}

LogReplay::LogReplay(Store& store, const TenantAndClassNames& names, const TimeBase& timeBase, Time now,
                     Duration retention)
    : store_(store), names_(names), localTimeBase_(timeBase), now_(now), retention_(retention) {}

void LogReplay::onRecord(std::string_view record) {
  auto decoded = decode(record);
  // Without a session record the times of other records cannot be converted.
  if (!decoded || (!session_ && !std::holds_alternative<Session>(*decoded))) {
    ++summary_.unreadable;
    return;
  }
  std::visit([this](auto& typed) { (*this)(std::move(typed)); }, *decoded);
}

Time LogReplay::toLocalTime(Time recorded) const {
  const TimeBase& recordedTimeBase = session_->timeBase;
  const std::int64_t shiftNs = sameBoot_ ? recordedTimeBase.steadyEpochNs - localTimeBase_.steadyEpochNs
                                         : recordedTimeBase.unixEpochNs - localTimeBase_.unixEpochNs;
  return Time(recorded.count() + shiftNs);
}

EarlierAttempt LogReplay::toLocalTime(const EarlierAttempt& recorded) const {
  // After a reboot the hosts' deduplication window counts as over, and the calendar may have stepped: the
  // attempt is unknown.
  if (recorded.sentAt == Time{} || !sameBoot_) return {};
  return {recorded.zone, recorded.cell, std::max(toLocalTime(recorded.sentAt), Time{})};
}

void LogReplay::restore(RunStarted&& started, KeyState state, CachedResponse&& response,
                        EarlierAttempt&& attempt, Time expiresAt) {
  const bool expired = expiresAt <= now_;
  const auto classIndex = names_.classIndex(started.className);
  if (!classIndex || expired) ++summary_.expired;
  if (!classIndex) return;
  Store::RestoredEntry entry;
  entry.request.tenant = names_.tenantIndex(started.tenant);
  entry.request.classIndex = *classIndex;
  entry.request.key = started.key;
  entry.request.fingerprint = started.fingerprint;
  if (expired) return store_.erase(entry.request);
  entry.state = state;
  entry.response = std::move(response);
  entry.earlierAttempt = std::move(attempt);
  entry.expiresAt = expiresAt;
  if (!store_.restore(now_, std::move(entry))) ++summary_.evicted;
}

void LogReplay::operator()(Session&& session) {
  if (!session_) store_.setSeed(session.seed);
  sameBoot_ = !session.timeBase.bootId.empty() && session.timeBase.bootId == localTimeBase_.bootId;
  session_ = std::move(session);
}

void LogReplay::operator()(RunStarted&& started) {
  store_.setMinNextRun(started.run + 1);
  UnfinishedRun unfinished;
  unfinished.sameBoot = sameBoot_;
  if (started.earlierAttempt) unfinished.earlierAttempt = toLocalTime(*started.earlierAttempt);
  const std::uint64_t run = started.run;
  unfinished.started = std::move(started);
  unfinishedRuns_[run] = std::move(unfinished);
}

void LogReplay::operator()(AttemptSent&& sent) {
  const auto it = unfinishedRuns_.find(sent.run);
  if (it == unfinishedRuns_.end() || it->second.earlierAttempt) return;
  it->second.earlierAttempt = toLocalTime(sent.attempt);
  it->second.attemptUnsettled = true;
}

void LogReplay::operator()(AttemptNotExecuted&& notExecuted) {
  const auto it = unfinishedRuns_.find(notExecuted.run);
  if (it == unfinishedRuns_.end() || !it->second.attemptUnsettled) return;
  it->second.attemptUnsettled = false;
  it->second.earlierAttempt.reset();
}

void LogReplay::operator()(RunFinished&& finished) {
  const auto it = unfinishedRuns_.find(finished.run);
  if (it == unfinishedRuns_.end()) return;  // it began in a segment that was removed, so it has expired
  UnfinishedRun run = std::move(it->second);
  unfinishedRuns_.erase(it);
  // A run that was not executed leaves the key in its previous state: without an entry, or with that of an
  // earlier record.
  if (finished.state == KeyState::unused) return;
  restore(std::move(run.started), finished.state, std::move(finished.response),
          run.earlierAttempt.value_or(EarlierAttempt{}), toLocalTime(finished.finishedAt) + retention_);
}

std::vector<std::uint64_t> LogReplay::finish(bool logComplete) {
  std::vector<std::uint64_t> interrupted;
  for (auto& [number, run] : unfinishedRuns_) {
    interrupted.push_back(number);
    EarlierAttempt attempt;
    if (logComplete && run.sameBoot && run.earlierAttempt) attempt = std::move(*run.earlierAttempt);
    restore(std::move(run.started), KeyState::uncertain, {}, std::move(attempt), now_ + retention_);
  }
  summary_.running = unfinishedRuns_.size();
  unfinishedRuns_.clear();
  summary_.completed = store_.countInState(KeyState::completed);
  summary_.uncertain = store_.countInState(KeyState::uncertain);
  return interrupted;
}

}  // namespace finchstile::idempotency
