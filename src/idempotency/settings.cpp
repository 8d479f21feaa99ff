#include "idempotency/settings.hpp"

namespace finchstile::idempotency {
namespace {

void readLog(SettingReader& r, const std::string& folder, LogSettings& out) {
  r.require("folder", "where the log is kept, on a disk that lasts, as in \"/var/lib/finchstile/keys\"");
  if (r.text("folder", out.folder, 1024)) out.folder = resolvePath(folder, out.folder);
  std::string sync = "interval";
  r.choice("sync", sync, {"never", "interval", "before_send"});
  out.sync = sync == "never"      ? SyncPolicy::never
             : sync == "interval" ? SyncPolicy::interval
                                  : SyncPolicy::beforeSend;
  r.duration("sync_interval", out.syncInterval, std::chrono::milliseconds(10), std::chrono::minutes(1));
  constexpr std::size_t kMega = 1024 * 1024;
  r.size("segment_bytes", out.files.segmentBytes, 64 * 1024, 1024 * kMega);
  r.size("total_bytes", out.files.totalBytes, kMega, 65'536 * kMega);
  if (out.files.totalBytes / 4 < out.files.segmentBytes)
    r.error("total_bytes", "must hold four segments at least, which are " +
                               std::to_string(4 * out.files.segmentBytes) + " bytes");
  std::string failure = "pass";
  r.choice("on_failure", failure, {"pass", "refuse"});
  out.refuseUnrecorded = failure == "refuse";
}

void readOwners(SettingReader& r, OwnersSettings& out) {
  r.boolean("enabled", out.enabled);
  std::string ask = "repeats", silence = "fail";
  r.choice("ask", ask, {"repeats", "all"});
  out.all = ask == "all";
  OwnerSettings& o = out.owners;
  r.size("copies", o.copies, 1, 5);
  r.duration("patience", o.patience, std::chrono::milliseconds(1), std::chrono::milliseconds(30));
  r.duration("poll", o.poll, std::chrono::milliseconds(5), std::chrono::seconds(1));
  r.size("entries", o.entries, 16, 5'000'000);
  r.size("answer_most", o.answerMost, 0, 16 * 1024);
  r.size("answer_bytes", o.answerBytes, 0, std::size_t{1024} * 1024 * 1024);
  r.choice("on_silence", silence, {"fail", "run"});
  o.runWhenSilent = silence == "run";
}

}  // namespace

void readIdempotencySettings(SettingReader& root, const std::string& folder, IdempotencySettings& out) {
  root.table("idempotency", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    r.size("entries", out.limits.entries, 16, 5'000'000);
    r.size("bytes", out.limits.bytes, 64 * 1024, std::size_t{4} * 1024 * 1024 * 1024);
    r.size("answer_most", out.limits.answerMost, 0, 64 * 1024);
    r.number("tenant_share", out.limits.tenantShare, 0.01, 1);
    r.size("joined_most", out.limits.joinedMost, 1, 1024);
    r.duration("keep", out.limits.keep, std::chrono::seconds(1), std::chrono::hours(24));
    std::string full = "pass";
    r.choice("on_full", full, {"pass", "refuse"});
    out.refuseWhenFull = full == "refuse";
    out.limits.evict = !out.refuseWhenFull;
    r.table("owners", [&](SettingReader& owners) { readOwners(owners, out.owners); });
    r.table("log", [&](SettingReader& log) { readLog(log, folder, out.log); });
  });
}

}  // namespace finchstile::idempotency
