// The log under failures: torn writes, lost writes, and a stop at each operation.
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

std::string numbered(std::uint64_t n) {  // of any size up to more than two blocks
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

constexpr std::size_t kKept = 20;  // the state consists of the last numbers

struct State {
  std::vector<std::uint64_t> last;
  void take(std::string_view record) {
    last.push_back(numberOf(record));
    if (last.size() > kKept) last.erase(last.begin());
  }
};

LogOptions small() {
  LogOptions o;
  o.maxSegmentBytes = 60'000;
  o.maxTotalBytes = 600'000;
  return o;
}

// Appends until a call fails or `most` records are in; returns how many were tried and synced. Syncs are run
// at once, or while more is appended, as another thread would. Old records are removed by snapshots or by
// segments.
struct Ran {
  std::uint64_t tried = 0, synced = 0;
};
Ran run(Log& log, State& state, std::uint64_t from, std::uint64_t most, std::mt19937& rng,
        bool snapshots = true) {
  Ran r{from, from};
  std::optional<Log::SyncTask> under;
  std::map<std::uint64_t, std::uint64_t> lastOf;  // the last number in each segment
  while (r.tried < most) {
    const std::string record = numbered(r.tried);
    ++r.tried;
    if (!log.append(record)) return r;
    lastOf[log.currentSegment()] = r.tried;
    state.take(record);
    if (under) {
      if (rng() % 3 != 0) continue;
      const bool good = under->run();
      if (!log.endSync(*under, good)) return r;
      r.synced = from + under->throughRecord;
      under.reset();
    } else if (rng() % 5 == 0) {
      if (!log.sync()) return r;
      r.synced = r.tried;
    } else if (rng() % 5 == 0) {
      under = log.beginSync();
    } else if (!snapshots) {
      while (!lastOf.empty() && lastOf.begin()->second + kKept < r.synced) {
        if (lastOf.begin()->first < log.currentSegment()) log.removeSegmentsThrough(lastOf.begin()->first);
        lastOf.erase(lastOf.begin());
      }
    } else if (log.needsSnapshot() || rng() % 200 == 0) {
      if (log.writeSnapshot([&](const auto& put) {
            for (const std::uint64_t n : state.last) put(numbered(n));
          }))
        r.synced = r.tried;
      else if (log.failed()) return r;
    }
  }
  return r;
}

// The process is killed at each operation of the log, restarted, and killed again.
TEST(Log, CrashAtEachOperationKeepsSyncedRecords) {
  std::size_t cut = 0, points = 0;
  for (std::uint64_t stop = 1; stop <= 1200; ++stop) {
    FaultyDirectory folder(static_cast<std::uint32_t>(stop));
    std::mt19937 rng(static_cast<std::uint32_t>(stop * 7));
    State state;
    std::uint64_t next = 0, synced = 0;
    bool loose = false;
    for (int life = 0; life < 3; ++life) {
      Log log(folder, small());
      RecoveryReport recovery;
      State back;
      folder.failFrom = folder.operations + (life == 0 ? stop : 1 + rng() % 200);
      const bool open = log.recover([&](std::string_view record) { back.take(record); }, recovery);
      ASSERT_FALSE(recovery.damaged) << "stop " << stop << " life " << life << ": " << recovery.description;
      cut += recovery.truncatedBytes > 0;
      // The recovered records are what had been appended up to some point no earlier than the last sync.
      const std::uint64_t count = back.last.empty() ? 0 : back.last.back() + 1;
      ASSERT_GE(count, synced) << "stop " << stop << " life " << life;
      ASSERT_LE(count, next) << "stop " << stop << " life " << life;
      for (std::size_t i = 0; i < back.last.size(); ++i)
        ASSERT_EQ(back.last[i] + back.last.size() - i, count);
      ASSERT_EQ(back.last.size(), std::min<std::uint64_t>(kKept, count));
      state = back;
      next = count;
      if (open) {
        const Ran r = run(log, state, next, next + 400, rng, stop % 2 == 0);
        next = r.tried;
        synced = std::max(count, r.synced);
      } else if (!loose) {
        synced = std::max(synced, count);  // recovered records are durable
      }
      loose = rng() % 4 == 0;  // a killed process' writes may still be lost
      if (loose) folder.kill();
      else folder.crash();
      ++points;
    }
  }
  EXPECT_EQ(points, 3600u);
  EXPECT_GT(cut, 200u);  // tails were torn
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
  std::vector<std::string> back;
  ASSERT_TRUE(log.recover([&](std::string_view s) { back.emplace_back(s); }, r));
  EXPECT_EQ(back, records);
  EXPECT_EQ(r.truncatedBytes, 0u);
}

// Damage in the middle is told from a torn tail, at each byte.
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
  std::size_t told = 0, tails = 0;
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
    told += r.damaged;
    tails += r.truncatedBytes > 0;
    if (at < bytes.size() - kBlockBytes) EXPECT_TRUE(r.damaged) << at;
  }
  EXPECT_GT(told, 100u);
  EXPECT_GT(tails, 0u);
}

// An older segment that was never synced may be a torn tail as well: the segments after it are removed, and
// nothing is damaged. Once it is known to be synced, an unreadable part is damage.
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
      EXPECT_TRUE(log.needsSync());
      if (synced) ASSERT_TRUE(log.sync());
      EXPECT_EQ(log.needsSync(), !synced);
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

// Wherever a mark stands in its block, the records after it are read.
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
      // After the new segment's header of 21 bytes and its fragment header of 7, this many bytes are left of
      // the block.
      ASSERT_TRUE(log.append(std::string(kBlockBytes - 28 - left, 'b')));
      ASSERT_TRUE(log.sync());
      o.maxSegmentBytes = 1 << 20;
      ASSERT_FALSE(log.needsSync());
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
    EXPECT_TRUE(r.damaged) << left;  // the mark is read
  }
}

// A file system need not keep the order of removals and creations.
TEST(Log, SyncsRemovalsBeforeNewSegment) {
  struct Told : FaultyDirectory {
    Told() : FaultyDirectory(1) {}
    std::string order;
    bool remove(const std::string& name) override { return order += 'r', FaultyDirectory::remove(name); }
    bool syncDirectory() override { return order += 's', FaultyDirectory::syncDirectory(); }
    std::unique_ptr<LogFile> create(const std::string& name) override {
      return order += 'c', FaultyDirectory::create(name);
    }
  } folder;
  {
    Log log(folder, small());
    RecoveryReport r;
    ASSERT_TRUE(log.recover([](std::string_view) {}, r));
    for (int i = 0; i < 150; ++i) ASSERT_TRUE(log.append(std::string(1000, 'a')));
  }
  folder.damage(folder.contents().begin()->first, folder.contents().begin()->second.size() - 1);
  folder.order.clear();
  Log log(folder, small());
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  EXPECT_EQ(folder.order, "rrscs");
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
  EXPECT_NE(r.description.find("missing is 2"), std::string::npos) << r.description;
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
    std::size_t held = 0;
    for (const auto& [name, bytes] : folder.contents()) held += bytes.size();
    EXPECT_EQ(held, log.bytes());
    EXPECT_LT(held, 300'000u);
  }
  Log log(folder, small());
  RecoveryReport r;
  ASSERT_TRUE(log.recover([](std::string_view) {}, r));
  EXPECT_FALSE(r.damaged) << r.description;
}

// Each segment has what its records need to be read, since older segments may have been removed.
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
  std::vector<std::string> back;
  ASSERT_TRUE(log.recover([&](std::string_view s) { back.emplace_back(s); }, r));
  ASSERT_FALSE(back.empty());
  EXPECT_EQ(back[0], "how to read it");
  EXPECT_GT(std::count(back.begin(), back.end(), back[0]), 1);
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
  std::size_t held = 0;
  for (const auto& [name, bytes] : folder.contents()) held += bytes.size();
  EXPECT_LT(held, 1000u);
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
  for (int life = 0; life < 3; ++life) {
    const auto directory = openLogDirectory(folder / "state");
    Log log(*directory, small());
    RecoveryReport r;
    State back;
    ASSERT_TRUE(log.recover([&](std::string_view s) { back.take(s); }, r));
    EXPECT_FALSE(r.damaged);
    const std::uint64_t count = back.last.empty() ? 0 : back.last.back() + 1;
    EXPECT_EQ(count, static_cast<std::uint64_t>(life) * 300);
    std::mt19937 rng(static_cast<std::uint32_t>(life));
    run(log, back, count, count + 300, rng);
  }
}

}  // namespace
}  // namespace finchstile::wal
