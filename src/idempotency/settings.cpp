#include "idempotency/settings.hpp"

namespace finchstile::idempotency {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;
constexpr std::size_t kGibibyte = 1024 * kMebibyte;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxStoreEntries = 5'000'000;
constexpr std::size_t kMinSegments = 4;  // that a log can hold

SyncPolicy syncPolicy(const std::string& name) {
  if (name == "never") return SyncPolicy::never;
  if (name == "interval") return SyncPolicy::interval;
  return SyncPolicy::beforeSend;
}

void readLog(SettingReader& reader, const std::string& directory, LogSettings& out) {
  reader.require("folder",
                 "the directory of the log on persistent storage, as in \"/var/lib/finchstile/keys\"");
  if (reader.text("folder", out.directory, kMaxPathBytes))
    out.directory = resolvePath(directory, out.directory);
  std::string sync = "interval";
  reader.choice("sync", sync, {"never", "interval", "before_send"});
  out.sync = syncPolicy(sync);
  reader.duration("sync_interval", out.syncInterval, milliseconds(10), minutes(1));
  reader.size("segment_bytes", out.segments.maxSegmentBytes, 64 * kKibibyte, kGibibyte);
  reader.size("total_bytes", out.segments.maxTotalBytes, kMebibyte, 64 * kGibibyte);
  if (out.segments.maxTotalBytes / kMinSegments < out.segments.maxSegmentBytes)
    reader.error("total_bytes", "must hold at least four segments, which take " +
                                    std::to_string(kMinSegments * out.segments.maxSegmentBytes) + " bytes");
  std::string onFailure = "pass";
  reader.choice("on_failure", onFailure, {"pass", "refuse"});
  out.rejectUnrecorded = onFailure == "refuse";
}

void readOwners(SettingReader& reader, PeerOwnershipSettings& out) {
  reader.boolean("enabled", out.enabled);
  std::string awaitedRequests = "repeats";
  reader.choice("ask", awaitedRequests, {"repeats", "all"});
  out.awaitOwnersForEveryKey = awaitedRequests == "all";
  OwnershipSettings& ownership = out.ownership;
  reader.size("copies", ownership.ownersPerKey, 1, 5);
  reader.duration("patience", ownership.retransmitAfter, milliseconds(1), milliseconds(30));
  reader.duration("poll", ownership.pollInterval, milliseconds(5), seconds(1));
  reader.size("entries", ownership.maxEntries, 16, kMaxStoreEntries);
  reader.size("answer_most", ownership.maxResponseBytes, 0, 16 * kKibibyte);
  reader.size("answer_bytes", ownership.maxCacheBytes, 0, kGibibyte);
  std::string onSilence = "fail";
  reader.choice("on_silence", onSilence, {"fail", "run"});
  ownership.runWithoutMajority = onSilence == "run";
}

}  // namespace

void readIdempotencySettings(SettingReader& root, const std::string& directory, IdempotencySettings& out) {
  root.table("idempotency", [&](SettingReader& reader) {
    reader.boolean("enabled", out.enabled);
    reader.size("entries", out.limits.maxEntries, 16, kMaxStoreEntries);
    reader.size("bytes", out.limits.maxBytes, 64 * kKibibyte, 4 * kGibibyte);
    reader.size("answer_most", out.limits.maxResponseBytes, 0, 64 * kKibibyte);
    reader.number("tenant_share", out.limits.maxTenantFraction, 0.01, 1);
    reader.size("joined_most", out.limits.maxWaiters, 1, 1024);
    reader.duration("keep", out.limits.retention, seconds(1), hours(24));
    std::string onFull = "pass";
    reader.choice("on_full", onFull, {"pass", "refuse"});
    out.rejectWhenFull = onFull == "refuse";
    out.limits.evictCompleted = !out.rejectWhenFull;
    reader.table("owners", [&](SettingReader& owners) { readOwners(owners, out.peerOwnership); });
    reader.table("log", [&](SettingReader& log) { readLog(log, directory, out.log); });
  });
}

}  // namespace finchstile::idempotency
