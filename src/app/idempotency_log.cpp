#include "app/idempotency_log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>

namespace finchstile {
namespace {

std::unique_ptr<wal::Env> opened(const std::string& path) {
  std::string why;
  auto folder = wal::openFolder(path, why);
  if (!folder) throw std::runtime_error("idempotency.log.folder: " + why);
  return folder;
}

std::string bootId() {
  std::string id;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
  return id;
}

idempotency::JournalSettings journalSettings(const idempotency::IdempotencySettings& settings,
                                             const load_balancing::Settings& known) {
  idempotency::JournalSettings j;
  j.sync = settings.log.sync;
  j.syncInterval = settings.log.syncInterval;
  j.keep = settings.limits.keep;
  j.longest = idempotency::longestRun(known);
  return j;
}

}  // namespace

IdempotencyLog::IdempotencyLog(boost::asio::io_context& io, const Clock& clock,
                               const idempotency::IdempotencySettings& settings,
                               const load_balancing::Settings& known, idempotency::IdempotencyFilter& stage)
    : clock_(clock),
      folder_(opened(settings.log.folder)),
      names_(idempotency::Names::of(known)),
      log_(*folder_, settings.log.files),
      thread_([&io](std::function<void()> call) { boost::asio::post(io, std::move(call)); }),
      journal_(log_, journalSettings(settings, known), names_, idempotency::timeBase(clock, bootId()),
               thread_),
      timer_(io),
      every_(std::min<Duration>(settings.log.syncInterval, std::chrono::seconds(1))) {
  const auto r = stage.recover(journal_);
  std::fprintf(stderr,
               "idempotency log=%s records=%zu segments=%zu answered=%zu uncertain=%zu running=%zu past=%zu "
               "no_room=%zu foreign=%zu cut_bytes=%zu%s%s\n",
               settings.log.folder.c_str(), r.log.records, r.log.segments, r.recalled.answered,
               r.recalled.uncertain, r.recalled.running, r.recalled.past, r.recalled.noRoom,
               r.recalled.foreign, r.log.cutBytes, r.log.what.empty() ? "" : ": ", r.log.what.c_str());
  if (r.uncertainUntil != Time{})
    std::fprintf(
        stderr, "idempotency log=%s damaged: keys that it does not know are uncertain for %lld s\n",
        settings.log.folder.c_str(),
        static_cast<long long>(std::chrono::ceil<std::chrono::seconds>(settings.limits.keep).count()));
  if (!r.usable) std::fprintf(stderr, "idempotency log=%s can not be written\n", settings.log.folder.c_str());
  waitToTick();
}

void IdempotencyLog::waitToTick() {
  timer_.expires_after(every_);
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    journal_.tick(clock_.now());
    waitToTick();
  });
}

}  // namespace finchstile
