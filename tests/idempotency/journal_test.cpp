// What the journal restores after a restart, what a crash at each write leaves, and what the journal does
// when the log is full, failed or damaged.
#include "idempotency/journal.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

#include "support/faulty_directory.hpp"
#include "support/manual_sync_runner.hpp"
#include "support/process.hpp"

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::FaultyDirectory;
using testing::ManualSyncRunner;
using E = Store::RunOutcome;

struct JournalTest : ::testing::Test {
  FaultyDirectory folder{1};
  wal::LogOptions files;
  StoreLimits limits;
  JournalSettings settings;
  TenantAndClassNames names{{"acme", "zeta"}, {"read", "put"}};
  TimeBase base{"boot-1", 1'000'000'000'000, 1'700'000'000'000'000'000};
  Time now = std::chrono::hours(24);

  std::unique_ptr<ManualSyncRunner> runner;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Store> store;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;

  JournalTest() {
    limits.retention = seconds(60);
    settings.sync = SyncPolicy::never;
    settings.maxRequestDuration = seconds(3);
  }
  // Starts a new process within the same boot. Its clock shows `now`, `passed` after the end of the last one.
  void start(Duration passed = milliseconds(100)) {
    stop();
    base.steadyEpochNs += passed.count() + (now - std::chrono::hours(24)).count();
    base.unixEpochNs += passed.count() + (now - std::chrono::hours(24)).count();
    now = std::chrono::hours(24);
    settings.retention = limits.retention;
    runner = std::make_unique<ManualSyncRunner>();
    log = std::make_unique<wal::Log>(folder, files);
    store = std::make_unique<Store>(limits, static_cast<std::uint32_t>(names.tenants.size() + 1),
                                    Seed{++seeds, 2});
    journal = std::make_unique<Journal>(*log, settings, names, base, *runner);
    recovery = journal->recover(now, *store);
  }
  void stop() { journal.reset(), store.reset(), log.reset(), runner.reset(); }
  Store::AdmissionResult arrive(const std::string& key, std::uint32_t tenant = 0, std::uint64_t body = 1) {
    Store::KeyedRequest a;
    a.tenant = tenant;
    a.classIndex = *names.classIndex("put");
    a.key = key;
    // Like the filter, under the seed of the store.
    a.fingerprint = Hasher(store->seed()).add(std::to_string(body)).end();
    a.waiter = ++waiters;
    return store->admit(now, a);
  }
  void serve(const std::string& key, const std::string& body = "ok") {
    const auto r = arrive(key);
    store->onAttemptSent(r.entry, {"east", 1, now});
    store->onAttemptSettled(r.entry, true);
    store->finishRun(now, r.entry, E::responded, {201, "text/x", body});
  }
  std::uint64_t seeds = 0, waiters = 0;
};

TEST_F(JournalTest, ReplaysResponsesAfterRestart) {
  start();
  serve("k", "first");
  start();
  EXPECT_EQ(recovery.replay.completed, 1u);
  EXPECT_FALSE(recovery.log.damaged);
  const auto r = arrive("k");
  ASSERT_EQ(r.admission, Admission::replayResponse);
  EXPECT_EQ(r.response->status, 201u);
  EXPECT_EQ(r.response->contentType, "text/x");
  EXPECT_EQ(r.response->body, "first");
  EXPECT_EQ(arrive("k", 0, 2).admission, Admission::fingerprintMismatch);  // the seed is restored too
  EXPECT_EQ(arrive("k", 1).admission, Admission::firstRun);                // of another tenant
  EXPECT_EQ(arrive("other").admission, Admission::firstRun);
}

TEST_F(JournalTest, RestoresLocationAndTimeOfEarlierAttempt) {
  start();
  const auto r = arrive("k");
  store->onAttemptSent(r.entry, {"east", 1, now});
  store->onAttemptSettled(r.entry, false);  // rejected by the host
  store->onAttemptSent(r.entry, {"west", 2, now + milliseconds(5)});
  store->onAttemptSettled(r.entry, true);
  now += milliseconds(10);
  store->finishRun(now, r.entry, E::mayHaveExecuted);
  const auto unrun = arrive("never");
  store->finishRun(now, unrun.entry, E::notExecuted);
  start(milliseconds(100));
  const auto again = arrive("k");
  ASSERT_EQ(again.admission, Admission::retryUncertain);
  EXPECT_EQ(again.earlierAttempt->zone, "west");
  EXPECT_EQ(again.earlierAttempt->cell, 2);
  EXPECT_EQ(now - again.earlierAttempt->sentAt, milliseconds(105));
  EXPECT_EQ(arrive("never").admission, Admission::firstRun);
}

// The process ends while requests run.
TEST_F(JournalTest, InterruptedRunsAreUncertain) {
  start();
  arrive("unsent");
  const auto one = arrive("one");
  store->onAttemptSent(one.entry, {"east", 1, now});
  const auto two = arrive("two");
  store->onAttemptSent(two.entry, {"east", 1, now});
  store->onAttemptSettled(two.entry, false);
  store->onAttemptSent(two.entry, {"west", 1, now});
  start();
  EXPECT_EQ(recovery.replay.running, 3u);
  EXPECT_EQ(store->countInState(KeyState::uncertain), 3u);
  EXPECT_EQ(arrive("one").earlierAttempt->zone, "east");
  EXPECT_EQ(arrive("two").earlierAttempt->zone, "west");
  EXPECT_EQ(arrive("unsent").earlierAttempt->sentAt, Time{});  // no host recognizes a repeat
  // Restarted before any of them has expired: still uncertain.
  now += seconds(50);
  start();
  EXPECT_EQ(arrive("one").admission, Admission::retryUncertain);
}

// A truncated log may lack later attempts, so the locations of attempts are not relied on.
TEST_F(JournalTest, ForgetsAttemptLocationsAfterTornTail) {
  start();
  const auto r = arrive("k");
  store->onAttemptSent(r.entry, {"east", 1, now});
  const std::size_t before = folder.contents().begin()->second.size();
  arrive("cut");
  stop();
  const auto [name, bytes] = *folder.contents().begin();
  folder.create(name)->append(bytes.substr(0, before + 5));
  start();
  EXPECT_GT(recovery.log.truncatedBytes, 0u);
  EXPECT_FALSE(recovery.log.damaged);
  const auto again = arrive("k");
  ASSERT_EQ(again.admission, Admission::retryUncertain);
  EXPECT_EQ(again.earlierAttempt->sentAt, Time{});
}

// A process that restarts again and again must not keep the runs of the first for good.
TEST_F(JournalTest, RestartDoesNotProlongRetention) {
  start();
  arrive("k");
  start();
  now += seconds(30);
  start();
  EXPECT_EQ(recovery.replay.running, 0u);
  EXPECT_EQ(recovery.replay.uncertain, 1u);
  now += seconds(29);
  start();
  EXPECT_EQ(recovery.replay.uncertain, 1u);
  now += seconds(2);
  start();
  EXPECT_EQ(recovery.replay.uncertain, 0u);
  EXPECT_EQ(arrive("k").admission, Admission::firstRun);
}

TEST_F(JournalTest, RetentionIsExactAcrossRestart) {
  start();
  serve("k");
  start(milliseconds(59'999));
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
  now += milliseconds(1);
  EXPECT_EQ(arrive("k").admission, Admission::firstRun);
}

// Steps of the calendar within a boot have no effect.
TEST_F(JournalTest, IgnoresCalendarStepWithinOneBoot) {
  for (const std::int64_t step : {-3'600'000'000'000, 3'600'000'000'000}) {
    folder = FaultyDirectory(1);
    start();
    serve("k");
    base.unixEpochNs += step;
    start(milliseconds(59'999));
    EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
    now += milliseconds(1);
    EXPECT_EQ(arrive("k").admission, Admission::firstRun);
  }
}

// Across boots only the calendar is known, and no repeat is sent by it, since the hosts' window may be over.
TEST_F(JournalTest, UsesCalendarAndForgetsLocationsAfterReboot) {
  start();
  serve("a");
  const auto u = arrive("u");
  store->onAttemptSent(u.entry, {"east", 1, now});
  store->onAttemptSettled(u.entry, true);
  store->finishRun(now, u.entry, E::mayHaveExecuted);
  stop();
  base.bootId = "boot-2";
  base.steadyEpochNs = 5;
  start(seconds(20));
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  const auto r = arrive("u");
  ASSERT_EQ(r.admission, Admission::retryUncertain);
  EXPECT_EQ(r.earlierAttempt->zone, "");
  EXPECT_EQ(r.earlierAttempt->sentAt, Time{});
  store->finishRun(now, r.entry, E::notExecuted);
  now += milliseconds(39'999);
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  now += milliseconds(1);
  EXPECT_EQ(arrive("a").admission, Admission::firstRun);
}

// If the calendar stepped back across a boot, nothing is kept for longer than the retention from the start
// on.
TEST_F(JournalTest, CalendarStepBackAcrossRebootDoesNotProlongRetention) {
  start();
  serve("k");
  stop();
  base.bootId = "boot-2";
  base.unixEpochNs -= 7'200'000'000'000;
  start(seconds(1));
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
  now += seconds(60);
  EXPECT_EQ(arrive("k").admission, Admission::firstRun);
}

// Tenants and classes are identified by name, since their indexes change with the settings.
TEST_F(JournalTest, RestoresEntriesOfRenumberedTenantsAndClasses) {
  start();
  serve("k");
  names = {{"new", "acme"}, {"put", "more"}};
  start();
  EXPECT_EQ(arrive("k", 1).admission, Admission::replayResponse);
  EXPECT_EQ(arrive("k", 0).admission, Admission::firstRun);
  names = {{"acme"}, {"put2"}};
  stop();
  names.classes.push_back("put");
  start();
  EXPECT_EQ(arrive("k", 0).admission, Admission::replayResponse);
}

TEST_F(JournalTest, SkipsEntriesOfRemovedClass) {
  start();
  serve("k");
  names.classes = {"read"};
  start();
  EXPECT_EQ(recovery.replay.expired, 1u);
  EXPECT_EQ(store->entries(), 0u);
}

TEST_F(JournalTest, ReportsEvictionsWhenStoreIsSmaller) {
  start();
  for (int i = 0; i < 40; ++i) {
    const auto r = arrive(std::to_string(i));
    store->onAttemptSent(r.entry, {"east", 1, now});
    store->onAttemptSettled(r.entry, true);
    store->finishRun(now, r.entry, E::mayHaveExecuted);
  }
  limits.maxEntries = 16;
  limits.maxTenantFraction = 1;
  start();
  EXPECT_EQ(recovery.replay.uncertain, 16u);
  EXPECT_EQ(recovery.replay.evicted, 24u);
}

// Records lost in the middle of the log may have been of any key, so every unknown key is uncertain.
TEST_F(JournalTest, DamageMakesUnknownKeysUncertain) {
  start();
  for (int i = 0; i < 2000; ++i) serve("k" + std::to_string(i));
  stop();
  folder.damage(folder.contents().begin()->first, 50'000);
  start();
  EXPECT_TRUE(recovery.log.damaged);
  EXPECT_EQ(recovery.uncertainUntil, now + limits.retention);
  EXPECT_GT(recovery.replay.completed, 1000u);
  EXPECT_LT(recovery.replay.completed, 2000u);
  EXPECT_NE(recovery.log.description.find("damaged"), std::string::npos);
}

// Two segments written by processes of the first format. The first process answered one key, left one
// uncertain and one unsent, and ended while one ran. The second answered another key 15 s into its life.
TEST_F(JournalTest, RecoversSegmentsOfTheFirstForm) {
  for (const char* const name : {"log-00000001", "log-00000002"})
    folder.create(name)->append(testing::readFile(std::string(FINCHSTILE_LOG_OF_FIRST_FORM) + "/" + name));
  // The second process' clock began 2,000 s into the machine's steady time; this one reads `now` at 2,020 s.
  base.steadyEpochNs = Duration(seconds(2020) - now).count();
  start(Duration{});
  EXPECT_FALSE(recovery.log.damaged);
  EXPECT_EQ(recovery.log.truncatedBytes, 0u);
  EXPECT_EQ(recovery.log.segments, 2u);
  EXPECT_EQ(recovery.replay.completed, 2u);
  EXPECT_EQ(recovery.replay.uncertain, 2u);
  EXPECT_EQ(recovery.replay.running, 0u);
  EXPECT_EQ(recovery.replay.unreadable, 0u);
  const auto replayed = arrive("answered-key");
  ASSERT_EQ(replayed.admission, Admission::replayResponse);
  EXPECT_EQ(replayed.response->status, 201u);
  EXPECT_EQ(replayed.response->contentType, "text/x");
  EXPECT_EQ(replayed.response->body, "kept");
  const auto later = arrive("later-key");
  ASSERT_EQ(later.admission, Admission::replayResponse);
  EXPECT_EQ(later.response->status, 200u);
  EXPECT_EQ(later.response->body, "later");
  const auto uncertain = arrive("uncertain-key");
  ASSERT_EQ(uncertain.admission, Admission::retryUncertain);
  EXPECT_EQ(uncertain.earlierAttempt->zone, "west");
  EXPECT_EQ(uncertain.earlierAttempt->cell, 2);
  EXPECT_EQ(uncertain.earlierAttempt->sentAt, now - seconds(10));
  const auto ran = arrive("running-key");
  ASSERT_EQ(ran.admission, Admission::retryUncertain);
  EXPECT_EQ(ran.earlierAttempt->zone, "east");
  EXPECT_EQ(ran.earlierAttempt->cell, 3);
  EXPECT_EQ(arrive("unsent-key").admission, Admission::firstRun);
  now += seconds(51);  // 61 s after the first answer, 56 s after the second
  EXPECT_EQ(arrive("answered-key").admission, Admission::firstRun);
  EXPECT_EQ(arrive("later-key").admission, Admission::replayResponse);
}

TEST_F(JournalTest, CountsUnreadableRecordsOfLaterVersionAsDamage) {
  start();
  serve("k");
  stop();
  {
    wal::Log other(folder, files);
    wal::RecoveryReport r;
    ASSERT_TRUE(other.recover([](std::string_view) {}, r));
    ASSERT_TRUE(other.append("\x09 of a later version"));
  }
  start();
  EXPECT_EQ(recovery.replay.unreadable, 1u);
  EXPECT_NE(recovery.uncertainUntil, Time{});
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
}

// A segment is removed once all its keys have expired, and not before.
TEST_F(JournalTest, RemovesSegmentsWhenAllTheirKeysHaveExpired) {
  files.maxSegmentBytes = 64 * 1024;
  start();
  std::size_t most = 0;
  for (int i = 0; i < 20'000; ++i) {
    serve("k" + std::to_string(i));
    now += milliseconds(20);
    if (i % 50 == 0) {
      journal->tick(now);
      runner->runJob();
      most = std::max(most, journal->bytes());
    }
  }
  // 63 s are 3,150 requests with about 250 bytes of records each.
  EXPECT_LT(most, 1'500'000u);
  EXPECT_EQ(journal->writeFailures(), 0u);
  const std::size_t known = store->entries();
  start();
  EXPECT_FALSE(recovery.log.damaged) << recovery.log.description;
  EXPECT_GE(recovery.replay.completed, known - 10);
  EXPECT_EQ(arrive("k19990").admission, Admission::replayResponse);
}

// In a nearly full log new runs are not recorded, and runs that are recorded still get their end.
TEST_F(JournalTest, NearlyFullLogRecordsEndsButNoNewRuns) {
  files.maxSegmentBytes = 64 * 1024;
  files.maxTotalBytes = 1024 * 1024;
  limits.maxEntries = 1'000'000;
  limits.maxBytes = std::size_t{1} << 30;
  start();
  std::vector<Store::EntryId> running;
  for (int i = 0; i < 100; ++i) running.push_back(arrive("r" + std::to_string(i)).entry);
  int i = 0;
  for (; journal->lastRunRecorded(); ++i) arrive("f" + std::to_string(i));
  EXPECT_GT(i, 5000);
  EXPECT_FALSE(journal->logFailed());
  const auto before = journal->writeFailures();
  EXPECT_GT(before, 0u);
  for (const auto id : running) {
    store->onAttemptSent(id, {"east", 1, now});
    store->onAttemptSettled(id, true);
    store->finishRun(now, id, E::responded, {200, "", id % 2 ? "kept" : std::string(10'000, 'k')});
  }
  // Not all responses fit, but the ends of all runs do.
  EXPECT_EQ(journal->writeFailures(), before);
  EXPECT_GT(journal->responsesOmitted(), 10u);
  EXPECT_LT(journal->responsesOmitted(), 51u);
  {
    FaultyDirectory copy = folder;
    Store other(limits, 3, Seed{5, 6});
    wal::Log read(copy, files);
    Journal second(read, settings, names, base, *runner);
    const auto r = second.recover(now, other);
    EXPECT_GT(r.replay.running, 5000u);  // the keys f...
    Store::KeyedRequest a;
    a.classIndex = 1;
    a.key = "r0";
    a.fingerprint = Hasher(other.seed()).add("1").end();
    EXPECT_NE(other.admit(now, a).admission, Admission::firstRun);
    EXPECT_EQ(r.replay.running,
              static_cast<std::size_t>(i) - 1);  // none of r...; the last one was not recorded
  }
  // New runs are recorded again once the oldest segments have been removed.
  now += seconds(64);
  journal->tick(now);
  runner->runJob();
  arrive("later");
  EXPECT_TRUE(journal->lastRunRecorded());
}

TEST_F(JournalTest, FailedLogIsReportedAndRecordsNothing) {
  start();
  serve("k");
  folder.failFrom = folder.operations + 1;
  arrive("lost");
  EXPECT_FALSE(journal->lastRunRecorded());
  EXPECT_TRUE(journal->logFailed());
  folder.failFrom = 0;
  arrive("lost too");
  EXPECT_FALSE(journal->lastRunRecorded());
  EXPECT_EQ(journal->writeFailures(), 2u);
  start();
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
}

TEST_F(JournalTest, SyncsFollowThePolicy) {
  settings.sync = SyncPolicy::never;
  start();
  serve("a");
  now += seconds(10);
  journal->tick(now);
  EXPECT_FALSE(runner->job);

  settings.sync = SyncPolicy::interval;
  start();
  serve("b");
  EXPECT_FALSE(journal->requiresSyncBeforeSend());
  now += milliseconds(999);
  journal->tick(now);
  EXPECT_FALSE(runner->job);
  now += milliseconds(1);
  journal->tick(now);
  ASSERT_TRUE(runner->job);
  runner->runJob();
  EXPECT_EQ(journal->syncedRecords(), journal->appendedRecords());
  now += seconds(1);
  journal->tick(now);
  EXPECT_FALSE(runner->job);  // nothing to sync

  settings.sync = SyncPolicy::beforeSend;
  start();
  EXPECT_TRUE(journal->requiresSyncBeforeSend());
  int told = 0;
  journal->onSynced = [&] { ++told; };
  arrive("c");
  journal->awaitSync(now);
  arrive("d");
  journal->awaitSync(now);  // the next sync covers it and all records until then
  arrive("e");
  journal->awaitSync(now);
  const auto position = journal->appendedRecords();
  EXPECT_LT(journal->syncedRecords(), position);
  EXPECT_TRUE(runner->runJob());
  EXPECT_LT(journal->syncedRecords(), position);
  EXPECT_TRUE(runner->runJob());
  EXPECT_EQ(journal->syncedRecords(), position);
  EXPECT_FALSE(runner->job);
  EXPECT_EQ(told, 2);
  EXPECT_EQ(journal->syncs(), 2u);
}

// The gateway, and the machine with it, is killed at each write of the log and restarted, with the store on
// top. A key that ran never counts as unused within its retention; a completed key may come back as
// uncertain, but never with another response; a key that did not run may come back as uncertain.
struct Killed : JournalTest {
  struct Item {
    bool ran = false;  // an attempt was sent and may have been executed
    bool out = false;  // an attempt is at a host
    std::string zone;  // of that attempt
    std::string answer;
    Time until{};  // by the machine's steady clock: expires then
  };
  std::map<std::string, Item> items;
  std::size_t replays = 0, bound = 0, unbound = 0;
  Time steady() const { return now + Time(base.steadyEpochNs); }

  // One process: random requests until the directory fails. What a failed call stands for did not happen,
  // since each call is made before its step.
  void live(std::mt19937& rng) {
    struct Running {
      Store::EntryId entry;
      std::uint64_t position;
      bool again, knownZone;
    };
    std::map<std::string, Running> running;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(rng() % 40);
      if (rng() % 3 == 0) runner->runJob();
      if (rng() % 20 == 0) journal->tick(now);
      if (journal->logFailed()) break;
      const std::string key = "k" + std::to_string(rng() % 60);
      Item& item = items[key];
      const auto it = running.find(key);
      if (it == running.end()) {
        const bool known = item.ran && steady() < item.until;
        const auto r = arrive(key);
        if (r.admission == Admission::replayResponse) {
          ASSERT_EQ(r.response->body, item.answer);
          ++replays;
          continue;
        }
        Running run{r.entry, journal->appendedRecords(), r.admission == Admission::retryUncertain, false};
        if (run.again) {
          // A known location is one where it was executed.
          run.knownZone = r.earlierAttempt->sentAt != Time{};
          if (run.knownZone && item.ran) ASSERT_EQ(r.earlierAttempt->zone, item.zone) << key;
          ++(run.knownZone ? bound : unbound);
        } else {
          ASSERT_EQ(r.admission, Admission::firstRun);
          ASSERT_FALSE(known) << key << " would run twice";
          item = {};
        }
        if (!journal->lastRunRecorded()) break;
        running[key] = run;
        if (journal->requiresSyncBeforeSend()) journal->awaitSync(now);
        continue;
      }
      Running& run = it->second;
      if (journal->requiresSyncBeforeSend() && journal->syncedRecords() < run.position)
        continue;                                                            // it joins the run
      if (!item.out && (rng() % 4 == 0 || (run.again && !run.knownZone))) {  // abandoned unsent
        store->finishRun(now, run.entry, E::notExecuted);
        if (journal->logFailed()) break;
        running.erase(it);
      } else if (!item.out) {
        const std::string zone = item.ran ? item.zone : rng() % 2 ? "east" : "west";
        store->onAttemptSent(run.entry, {zone, 0, now});
        if (journal->logFailed()) break;
        if (!item.ran) item.answer.clear();
        item.zone = zone;
        item.out = true;
      } else if (!item.ran && rng() % 3 == 0) {  // rejected by the host
        store->onAttemptSettled(run.entry, false);
        if (journal->logFailed()) item.ran = true, item.until = Time::max();  // it may count as executed
        if (journal->logFailed()) break;
        item.out = false;
      } else {
        item.ran = true;
        const bool served = rng() % 2;
        item.answer = served ? "answer " + std::to_string(rng()) : "";
        store->onAttemptSettled(run.entry, true);
        store->finishRun(now, run.entry, served ? E::responded : E::mayHaveExecuted, {200, "", item.answer});
        if (journal->logFailed()) break;
        item.out = false;
        item.until = steady() + limits.retention;
        running.erase(it);
      }
    }
    for (auto& [key, item] : items) {
      if (!item.out) continue;
      item.ran = true;  // it was executed, and no response was recorded
      item.out = false;
      item.until = steady() + limits.retention;
    }
  }

  void play(SyncPolicy policy, bool machineToo, std::uint64_t points) {
    settings.sync = policy;
    settings.syncInterval = milliseconds(200);
    limits.retention = seconds(5);
    files.maxSegmentBytes = 64 * 1024 / 16;
    std::size_t torn = 0;
    for (std::uint64_t point = 1; point <= points; ++point) {
      folder = FaultyDirectory(static_cast<std::uint32_t>(point));
      items.clear();
      std::mt19937 rng(static_cast<std::uint32_t>(point * 13));
      for (int life = 0; life < 3; ++life) {
        folder.failFrom = life == 0 ? folder.operations + point : folder.operations + 5 + rng() % 300;
        start(milliseconds(rng() % 500));
        ASSERT_FALSE(recovery.log.damaged) << recovery.log.description;
        ASSERT_EQ(recovery.replay.unreadable, 0u);
        torn += recovery.log.truncatedBytes > 0;
        if (recovery.writable) live(rng);
        if (HasFatalFailure()) {
          ADD_FAILURE() << "point " << point << " life " << life;
          return;
        }
        stop();
        if (machineToo && rng() % 2) {
          folder.crash();
          base.bootId = "boot-" + std::to_string(point) + "-" + std::to_string(life);
        } else {
          folder.kill();
        }
      }
    }
    EXPECT_GT(torn, points / 10);
    EXPECT_GT(replays, points);
    EXPECT_GT(unbound, 0u);
  }
};

TEST_F(Killed, AtEachWriteOfTheProcess) {
  play(SyncPolicy::never, false, 1500);
  EXPECT_GT(bound, 100u);
}
TEST_F(Killed, AtEachWriteOfTheMachineWithSyncBeforeSend) { play(SyncPolicy::beforeSend, true, 1500); }

}  // namespace
}  // namespace finchstile::idempotency
