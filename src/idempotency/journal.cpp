#include "idempotency/journal.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::idempotency {

Journal::Journal(wal::Log& log, const JournalSettings& settings, const Names& names, const TimeBase& base,
                 wal::SyncRunner& runner)
    : log_(log), settings_(settings), names_(names), base_(base), runner_(runner) {}

JournalRecovery Journal::recover(Time now, Store& store) {
  JournalRecovery out;
  Recall recall(store, names_, base_, now, settings_.keep);
  // Danger: the seed must be the log's before the first segment of this process is begun, or kept answers and
  // new arrivals would have fingerprints of different seeds.
  log_.preamble([&] { return encode(Session{store.seed(), base_}); });
  out.usable = log_.recover([&](std::string_view record) { recall.take(record); }, out.log);
  const auto over = recall.finish(out.log.cutBytes == 0 && !out.log.damaged);
  out.recalled = recall.result();
  if (out.log.damaged || out.recalled.foreign > 0) out.uncertainUntil = now + settings_.keep;
  segment_ = log_.segment();
  closed_.push_back({segment_ - 1, now});  // and all before it
  syncedAt_ = now;
  // Written as over, so that one more start does not find them running once more, and their time begin anew.
  for (const std::uint64_t run : over) write(Ended{run, now, State::uncertain, {}}, now);
  store.observe(*this);
  return out;
}

bool Journal::write(const Record& record, Time at) {
  lastAt_ = std::max(lastAt_, at);
  if (!log_.append(encode(record))) {
    ++unrecorded_;
    return false;
  }
  if (log_.segment() != segment_) {
    closed_.push_back({segment_, lastAt_});
    segment_ = log_.segment();
  }
  return true;
}

void Journal::onBegan(std::uint64_t run, Time at, const Store::Arrival& request, const Earlier* earlier) {
  Began b;
  b.run = run;
  b.at = at;
  b.fingerprint = request.fingerprint;
  b.tenant = names_.tenant(request.tenant);
  b.className = names_.classes[request.classIndex];
  b.key = std::string(request.key);
  if (earlier) b.earlier = *earlier;
  // Danger: what begins must leave room for the ends of what runs: an end that is missing makes an answered
  // key an uncertain one at the next start.
  recorded_ = !log_.nearlyFull() && write(b, at);
  if (!recorded_ && log_.nearlyFull()) ++unrecorded_;
}

void Journal::onSent(std::uint64_t run, const Earlier& where) { write(Sent{run, where}, where.sentAt); }
void Journal::onNeverRan(std::uint64_t run) { write(NeverRan{run}, lastAt_); }
void Journal::onEnded(std::uint64_t run, Time at, State to, const KeptAnswer& answer, const Earlier*) {
  // Danger: answers must not take what is left from the ends of others. Without its answer it is uncertain.
  const bool kept = to == State::answered && answer.body.size() <= log_.room() / 32;
  const State written = to == State::answered && !kept ? State::uncertain : to;
  unanswered_ += written != to;
  write(Ended{run, at, written, kept ? answer : KeptAnswer{}}, at);
}

void Journal::wait(Time now) {
  awaited_ = log_.appended();
  sync(now);
  // It broke behind that record: no sync will come that could end the waiting.
  if (log_.broken() && !syncing_ && onSynced) onSynced();
}

void Journal::tick(Time now) {
  const bool due = settings_.sync != SyncPolicy::never && now - syncedAt_ >= settings_.syncInterval;
  // Danger: all that a segment holds is forgotten only when what began last in it has ended, and been kept.
  while (!closed_.empty() && closed_.front().last + settings_.longest + settings_.keep <= now) {
    log_.dropThrough(closed_.front().segment);
    closed_.pop_front();
  }
  if (due || log_.wantsSync()) sync(now);
}

void Journal::sync(Time now) {
  if (syncing_) return;
  const auto begun = log_.beginSync();
  if (!begun) return;
  syncing_ = true;
  syncedAt_ = now;
  ++syncs_;
  runner_.run(*begun, [this, now, s = *begun](bool good) {
    syncing_ = false;
    log_.endSync(s, good);
    if (onSynced) onSynced();
    // Those that came while it ran are the next one's.
    if (awaited_ > log_.synced()) sync(now);
  });
}

}  // namespace finchstile::idempotency
