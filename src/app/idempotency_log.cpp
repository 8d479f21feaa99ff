#include "app/idempotency_log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace finchstile {
namespace {

constexpr Duration kMaxTickInterval = std::chrono::seconds(1);

std::unique_ptr<wal::LogDirectory> openDirectory(const std::string& path) {
  try {
    return wal::openLogDirectory(path);
  } catch (const wal::LogDirectoryError& error) {
    throw wal::LogDirectoryError(error.code(), std::string("idempotency.log.folder: ") + error.what());
  }
}

// Returns an empty string if the system provides no boot id.
std::string bootId() {
  std::string id;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
  return id;
}

idempotency::JournalSettings journalSettings(const idempotency::IdempotencySettings& settings,
                                             const load_balancing::Settings& balancerSettings) {
  idempotency::JournalSettings journal;
  journal.sync = settings.log.sync;
  journal.syncInterval = settings.log.syncInterval;
  journal.retention = settings.limits.retention;
  journal.maxRequestDuration = idempotency::maxRequestDuration(balancerSettings);
  return journal;
}

}  // namespace

IdempotencyLog::IdempotencyLog(boost::asio::io_context& io, const Clock& clock,
                               const idempotency::IdempotencySettings& settings,
                               const load_balancing::Settings& balancerSettings,
                               idempotency::IdempotencyFilter& filter)
    : clock_(clock),
      directory_(openDirectory(settings.log.directory)),
      names_(idempotency::TenantAndClassNames::of(balancerSettings)),
      log_(*directory_, settings.log.segments),
      syncThread_([&io](std::function<void()> call) { boost::asio::post(io, std::move(call)); }),
      journal_(log_, journalSettings(settings, balancerSettings), names_,
               idempotency::clockTimeBase(clock, bootId()), syncThread_),
      timer_(io),
      tickInterval_(std::min<Duration>(settings.log.syncInterval, kMaxTickInterval)) {
  const auto recovery = filter.recover(journal_);
  printRecovery(recovery, settings.log.directory, settings.limits.retention);
  scheduleTick();
}

// The event and field names of these lines are documented in docs/operators/idempotency.md and must not
// change.
void IdempotencyLog::printRecovery(const idempotency::JournalRecovery& recovery, const std::string& directory,
                                   Duration retention) const {
  const char* const path = directory.c_str();
  const wal::RecoveryReport& log = recovery.log;
  const idempotency::ReplaySummary& replay = recovery.replay;
  std::fprintf(stderr,
               "idempotency log=%s records=%zu segments=%zu answered=%zu uncertain=%zu running=%zu past=%zu "
               "no_room=%zu foreign=%zu cut_bytes=%zu%s%s\n",
               path, log.records, log.segments, replay.completed, replay.uncertain, replay.running,
               replay.expired, replay.evicted, replay.unreadable, log.truncatedBytes,
               log.description.empty() ? "" : ": ", log.description.c_str());
  if (recovery.uncertainUntil != Time{}) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retention).count();
    std::fprintf(stderr, "idempotency log=%s damaged: keys that it does not know are uncertain for %lld s\n",
                 path, static_cast<long long>(seconds));
  }
  if (!recovery.writable) std::fprintf(stderr, "idempotency log=%s can not be written\n", path);
}

void IdempotencyLog::scheduleTick() {
  timer_.expires_after(tickInterval_);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    journal_.tick(clock_.now());
    scheduleTick();
  });
}

}  // namespace finchstile
