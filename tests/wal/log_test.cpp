// The log under faults: torn writes, lost writes, damage, and a stop at each operation.
#include "wal/log.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "support/faulty_directory.hpp"
#include "support/process.hpp"

namespace finchstile::wal {
namespace {

using testing::FaultyDirectory;

std::string numbered(std::uint64_t n) {  // records of different sizes, up to more than two blocks
  std::string s = std::to_string(n) + ":";
  const std::size_t size = n % 97 == 0 ? 70'000 : n % 13 == 0 ? 3000 : n % 40;
  s.append(size, static_cast<char>('a' + n % 26));
  return s;
}
std::uint64_t numberOf(std::string_view record) {
  const std::uint64_t n = std::stoull(std::string(record));
  EXPECT_EQ(record, numbered(n));
  return n;
}

constexpr std::size_t kKeptNumbers = 20;  // the state consists of this many last numbers

struct State {
  std::vector<std::uint64_t> last;
  void push(std::string_view record) {
    last.push_back(numberOf(record));
    if (last.size() > kKeptNumbers) last.erase(last.begin());
  }
};

LogOptions small() {
  LogOptions o;
  o.maxSegmentBytes = 60'000;
  o.maxTotalBytes = 600'000;
  return o;
}

// Appends the records with numbers from `from` to before `endNumber`, until a call fails. Returns the
// numbers that follow the last record attempted and the last one synced. Syncs run immediately or, as on
// another thread, while more records are appended. Old records are removed by snapshots, or segment by
// segment.
struct AppendResult {
  std::uint64_t attempted = 0, synced = 0;
};
AppendResult run(Log& log, State& state, std::uint64_t from, std::uint64_t endNumber, std::mt19937& rng,
                 bool snapshots = true) {
  AppendResult r{from, from};
  std::optional<Log::SyncTask> pendingSync;
  std::map<std::uint64_t, std::uint64_t> lastInSegment;  // the last number in each segment
  while (r.attempted < endNumber) {
    const std::string record = numbered(r.attempted);
    ++r.attempted;
    if (!log.append(record)) return r;
    lastInSegment[log.currentSegment()] = r.attempted;
    state.push(record);
    if (pendingSync) {
      if (rng() % 3 != 0) continue;
      const bool succeeded = pendingSync->run();
      if (!log.endSync(*pendingSync, succeeded)) return r;
      r.synced = from + pendingSync->throughRecord;
      pendingSync.reset();
    } else if (rng() % 5 == 0) {
      if (!log.sync()) return r;
      r.synced = r.attempted;
    } else if (rng() % 5 == 0) {
      pendingSync = log.beginSync();
    } else if (!snapshots) {
      while (!lastInSegment.empty() && lastInSegment.begin()->second + kKeptNumbers < r.synced) {
        if (lastInSegment.begin()->first < log.currentSegment())
          log.removeSegmentsThrough(lastInSegment.begin()->first);
        lastInSegment.erase(lastInSegment.begin());
      }
    } else if (log.needsSnapshot() || rng() % 200 == 0) {
      if (log.writeSnapshot([&](const auto& put) {
            for (const std::uint64_t n : state.last) put(numbered(n));
          }))
        r.synced = r.attempted;
      else if (log.failed()) return r;
    }
  }
  return r;
}

// Each operation of the log fails in turn; then the process or the machine crashes and the log is recovered,
// three times.
TEST(Log, CrashAtEachOperationKeepsSyncedRecords) {
  std::size_t tornTails = 0, crashes = 0;
  for (std::uint64_t failAt = 1; failAt <= 1200; ++failAt) {
    FaultyDirectory folder(static_cast<std::uint32_t>(failAt));
    std::mt19937 rng(static_cast<std::uint32_t>(failAt * 7));
    State state;
    std::uint64_t next = 0, synced = 0;
    bool keepsUnsynced = false;
    for (int processIndex = 0; processIndex < 3; ++processIndex) {
      Log log(folder, small());
      RecoveryReport recovery;
      State recovered;
      folder.failFrom = folder.operations + (processIndex == 0 ? failAt : 1 + rng() % 200);
      const bool writable = log.recover([&](std::string_view record) { recovered.push(record); }, recovery);
      ASSERT_FALSE(recovery.damaged) << "failure at operation " << failAt << ", process " << processIndex
                                     << ": " << recovery.description;
      tornTails += recovery.truncatedBytes > 0;
      // The recovered records are all that were appended up to some point, which is not before the last
      // sync.
      const std::uint64_t count = recovered.last.empty() ? 0 : recovered.last.back() + 1;
      ASSERT_GE(count, synced) << "failure at operation " << failAt << ", process " << processIndex;
      ASSERT_LE(count, next) << "failure at operation " << failAt << ", process " << processIndex;
      for (std::size_t i = 0; i < recovered.last.size(); ++i)
        ASSERT_EQ(recovered.last[i] + recovered.last.size() - i, count);
      ASSERT_EQ(recovered.last.size(), std::min<std::uint64_t>(kKeptNumbers, count));
      state = recovered;
      next = count;
      if (writable) {
        const AppendResult r = run(log, state, next, next + 400, rng, failAt % 2 == 0);
        next = r.attempted;
        synced = std::max(count, r.synced);
      } else if (!keepsUnsynced) {
        synced = std::max(synced, count);  // recovered records are durable
      }
      // A killed process leaves its writes in the page cache, from which they may still be lost.
      keepsUnsynced = rng() % 4 == 0;
      if (keepsUnsynced) folder.kill();
      else folder.crash();
      ++crashes;
    }
  }
  EXPECT_EQ(crashes, 3600u);
  EXPECT_GT(tornTails, 200u);
}

TEST(Log, RecoversRecordsOfAnySizeInOrder) {
  FaultyDirectory folder(1);
  std::vector<std::string> records = {"",
                                      "a",
                                      std::string(kBlockBytes - 7, 'b'),
                                      std::string(kBlockBytes - 8, 'c'),
                                      std::string(kBlockBytes, 'd'),
                                      std::string(kMaxRecordBytes, 'e'),
                                      "f"};
  {
    Log log(folder, {});
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (const auto& s : records) ASSERT_TRUE(log.append(s));
    EXPECT_FALSE(log.append(std::string(kMaxRecordBytes + 1, 'x')));
    EXPECT_FALSE(log.failed());
  }
  Log log(folder, {});
  RecoveryReport r;
  std::vector<std::string> recovered;
  ASSERT_TRUE(log.recover([&](std::string_view s) { recovered.emplace_back(s); }, r));
  EXPECT_EQ(recovered, records);
  EXPECT_EQ(r.truncatedBytes, 0u);
}

// Damage in the middle of a log, at positions throughout, is distinguished from a torn tail.
TEST(Log, ReportsDamageAndReadsTheRest) {
  FaultyDirectory folder(1);
  std::size_t appended = 0;
  {
    Log log(folder, {});
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (; appended < 300; ++appended)
      ASSERT_TRUE(log.append(std::string(500, static_cast<char>('a' + appended % 26))));
  }
  const auto [name, bytes] = *folder.contents().begin();
  ASSERT_GT(bytes.size(), 3 * kBlockBytes);
  std::size_t damagedRuns = 0, tornRuns = 0;
  for (std::size_t at = 40; at < bytes.size(); at += 997) {
    FaultyDirectory copy(1);
    auto file = copy.create(name);
    file->append(bytes);
    copy.damage(name, at);
    Log log(copy, {});
    RecoveryReport r;
    std::size_t records = 0;
    ASSERT_TRUE(log.recover([&](std::string_view) { ++records; }, r));
    EXPECT_LT(records, appended);
    EXPECT_TRUE(r.damaged || r.truncatedBytes > 0) << at;
    damagedRuns += r.damaged;
    tornRuns += r.truncatedBytes > 0;
    if (at < bytes.size() - kBlockBytes) EXPECT_TRUE(r.damaged) << at;
  }
  EXPECT_GT(damagedRuns, 100u);
  EXPECT_GT(tornRuns, 0u);
}

// An older segment that was never synced may have a torn tail as well: the segments after it are removed,
// and no damage is reported. Once a sync mark shows that it was synced, an unreadable part is damage.
TEST(Log, UnsyncedOlderSegmentIsTornTailUntilMarked) {
  for (const bool synced : {false, true}) {
    FaultyDirectory folder(1);
    std::uint64_t first = 0;
    {
      Log log(folder, small());
      RecoveryReport r;
      ASSERT_TRUE(log.recover([](std::string_view) {}, r));
      first = log.currentSegment();
      for (int i = 0; i < 100; ++i) ASSERT_TRUE(log.append(std::string(1000, 'a')));
      EXPECT_EQ(log.currentSegment(), first + 1);
      EXPECT_TRUE(log.hasUnsyncedClosedSegment());
      if (synced) ASSERT_TRUE(log.sync());
      EXPECT_EQ(log.hasUnsyncedClosedSegment(), !synced);
      EXPECT_EQ(log.syncedRecords(), synced ? 100u : 0u);
    }
    const auto name = folder.contents().begin()->first;
    folder.damage(name, folder.contents().begin()->second.size() - 1);
    Log log(folder, small());
    RecoveryReport r;
    std::size_t n = 0;
    ASSERT_TRUE(log.recover([&](std::string_view) { ++n; }, r));
    EXPECT_EQ(r.damaged, synced) << r.description;
    EXPECT_EQ(r.truncatedBytes > 0, !synced);
    EXPECT_EQ(n, synced ? 99u : 59u);
  }
}

// A sync mark can be read at any position in its block.
TEST(Log, SyncMarkFitsAtEndOfBlock) {
  for (std::size_t left = 0; left <= 40; ++left) {
    FaultyDirectory folder(1);
    LogOptions o;
    o.maxSegmentBytes = 100;
    {
      Log log(folder, o);
      RecoveryReport r;
      ASSERT_TRUE(log.recover([](std::string_view) {}, r));
      ASSERT_TRUE(log.append(std::string(200, 'a')));
      // After the header of the new segment (21 bytes) and the fragment header (7), `left` bytes of the
      // block remain.
      ASSERT_TRUE(log.append(std::string(kBlockBytes - 28 - left, 'b')));
      ASSERT_TRUE(log.sync());
      o.maxSegmentBytes = 1 << 20;
      ASSERT_FALSE(log.hasUnsyncedClosedSegment());
    }
    {
      Log log(folder, o);
      RecoveryReport r;
      std::size_t n = 0;
      ASSERT_TRUE(log.recover([&](std::string_view) { ++n; }, r));
      EXPECT_EQ(n, 2u);
      EXPECT_FALSE(r.damaged) << left << ": " << r.description;
      EXPECT_EQ(r.truncatedBytes, 0u) << left << ": " << r.description;
    }
    folder.damage(folder.contents().begin()->first, 150);
    Log log(folder, o);
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    EXPECT_TRUE(r.damaged) << left;  // since the mark was read
  }
}

// A file system may reorder removals and creations.
TEST(Log, SyncsRemovalsBeforeNewSegment) {
  struct RecordingDirectory : FaultyDirectory {
    RecordingDirectory() : FaultyDirectory(1) {}
    std::string operationOrder;
    bool remove(const std::string& name) override {
      return operationOrder += 'r', FaultyDirectory::remove(name);
    }
    bool syncDirectory() override { return operationOrder += 's', FaultyDirectory::syncDirectory(); }
    std::unique_ptr<LogFile> create(const std::string& name) override {
      return operationOrder += 'c', FaultyDirectory::create(name);
    }
  } folder;
  {
    Log log(folder, small());
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (int i = 0; i < 150; ++i) ASSERT_TRUE(log.append(std::string(1000, 'a')));
  }
  folder.damage(folder.contents().begin()->first, folder.contents().begin()->second.size() - 1);
  folder.operationOrder.clear();
  Log log(folder, small());
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  EXPECT_EQ(folder.operationOrder, "rrscs");
}

TEST(Log, ReportsMissingSegmentAsDamage) {
  FaultyDirectory folder(1);
  {
    Log log(folder, small());
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (int i = 0; i < 250; ++i) ASSERT_TRUE(log.append(std::string(1000, 'a')));
    ASSERT_TRUE(log.sync());
  }
  auto it = folder.contents();
  ASSERT_GT(it.size(), 3u);
  folder.remove(std::next(it.begin(), 1)->first);
  Log log(folder, small());
  RecoveryReport r;
  std::size_t n = 0;
  ASSERT_TRUE(log.recover([&](std::string_view) { ++n; }, r));
  EXPECT_TRUE(r.damaged);
  EXPECT_NE(r.description.find("next segment missing: number 2"), std::string::npos) << r.description;
  EXPECT_GT(n, 150u);
}

TEST(Log, RemovingOldSegmentsMakesRoomWithoutDamage) {
  FaultyDirectory folder(1);
  {
    Log log(folder, small());
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (int i = 0; i < 5000; ++i) {
      ASSERT_TRUE(log.append(std::string(1000, 'x')));
      if (log.currentSegment() > 3) log.removeSegmentsThrough(log.currentSegment() - 3);
      if (i % 50 == 0) ASSERT_TRUE(log.sync());
    }
    std::size_t totalBytes = 0;
    for (const auto& [name, bytes] : folder.contents()) totalBytes += bytes.size();
    EXPECT_EQ(totalBytes, log.bytes());
    EXPECT_LT(totalBytes, 300'000u);
  }
  Log log(folder, small());
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  EXPECT_FALSE(r.damaged) << r.description;
}

// Older segments may have been removed, so each segment needs its own preamble.
TEST(Log, BeginsEachSegmentWithPreamble) {
  FaultyDirectory folder(1);
  {
    Log log(folder, small());
    log.setPreamble([] { return std::string("how to read it"); });
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (int i = 0; i < 250; ++i) ASSERT_TRUE(log.append(std::string(1000, 'a')));
    log.removeSegmentsThrough(2);
  }
  Log log(folder, small());
  RecoveryReport r;
  std::vector<std::string> recovered;
  ASSERT_TRUE(log.recover([&](std::string_view s) { recovered.emplace_back(s); }, r));
  ASSERT_FALSE(recovered.empty());
  EXPECT_EQ(recovered[0], "how to read it");
  EXPECT_GT(std::count(recovered.begin(), recovered.end(), recovered[0]), 1);
}

TEST(Log, BoundsSizeAndSnapshotMakesRoom) {
  FaultyDirectory folder(1);
  Log log(folder, small());
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  std::size_t n = 0;
  while (log.append(std::string(1000, 'x'))) ++n;
  EXPECT_FALSE(log.failed());  // a full log has not failed
  EXPECT_LT(n, 700u);
  EXPECT_TRUE(log.needsSnapshot());
  ASSERT_TRUE(log.writeSnapshot([](const auto& put) { put("all"); }));
  EXPECT_TRUE(log.append("more"));
  std::size_t totalBytes = 0;
  for (const auto& [name, bytes] : folder.contents()) totalBytes += bytes.size();
  EXPECT_LT(totalBytes, 1000u);
}

TEST(Log, DoesNotRetryFailedSync) {
  FaultyDirectory folder(1);
  Log log(folder, {});
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  ASSERT_TRUE(log.append("a"));
  folder.failFrom = folder.operations + 1;
  EXPECT_FALSE(log.sync());
  folder.failFrom = 0;
  EXPECT_TRUE(log.failed());
  EXPECT_FALSE(log.append("b"));
  EXPECT_FALSE(log.sync());
}

TEST(Log, RecoversOnDisk) {
  finchstile::testing::TemporaryDirectory folder;
  for (int processIndex = 0; processIndex < 3; ++processIndex) {
    const auto directory = openLogDirectory(folder / "state");
    Log log(*directory, small());
    RecoveryReport r;
    State recovered;
    ASSERT_TRUE(log.recover([&](std::string_view s) { recovered.push(s); }, r));
    EXPECT_FALSE(r.damaged);
    const std::uint64_t count = recovered.last.empty() ? 0 : recovered.last.back() + 1;
    EXPECT_EQ(count, static_cast<std::uint64_t>(processIndex) * 300);
    std::mt19937 rng(static_cast<std::uint32_t>(processIndex));
    run(log, recovered, count, count + 300, rng);
  }
}

}  // namespace
}  // namespace finchstile::wal
