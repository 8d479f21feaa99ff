// What the journal restores after a restart and after a crash at any write, and how it behaves when the log
// is full, failed or damaged.
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
using Outcome = Store::RunOutcome;

struct JournalTest : ::testing::Test {
  FaultyDirectory folder{1};
  wal::LogOptions files;
  StoreLimits limits;
  JournalSettings settings;
  TenantAndClassNames names{{"acme", "zeta"}, {"read", "put"}};
  TimeBase timeBase{"boot-1", 1'000'000'000'000, 1'700'000'000'000'000'000};
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
  // Starts a new process within the same boot, `passed` after the end of the last one. Its clock starts at
  // 24 h.
  void start(Duration passed = milliseconds(100)) {
    stop();
    timeBase.steadyEpochNs += passed.count() + (now - std::chrono::hours(24)).count();
    timeBase.unixEpochNs += passed.count() + (now - std::chrono::hours(24)).count();
    now = std::chrono::hours(24);
    settings.retention = limits.retention;
    runner = std::make_unique<ManualSyncRunner>();
    log = std::make_unique<wal::Log>(folder, files);
    store = std::make_unique<Store>(limits, static_cast<std::uint32_t>(names.tenants.size() + 1),
                                    Seed{++lastSeed, 2});
    journal = std::make_unique<Journal>(*log, settings, names, timeBase, *runner);
    recovery = journal->recover(now, *store);
  }
  void stop() { journal.reset(), store.reset(), log.reset(), runner.reset(); }
  Store::AdmissionResult arrive(const std::string& key, std::uint32_t tenant = 0, std::uint64_t body = 1) {
    Store::KeyedRequest a;
    a.tenant = tenant;
    a.classIndex = *names.classIndex("put");
    a.key = key;
    // As in the filter, with the seed of the store.
    a.fingerprint = Hasher(store->seed()).add(std::to_string(body)).finalize();
    a.waiter = ++lastWaiter;
    return store->admit(now, a);
  }
  void serve(const std::string& key, const std::string& body = "ok") {
    const auto r = arrive(key);
    store->onAttemptSent(r.entry, {"east", 1, now});
    store->onAttemptSettled(r.entry, true);
    store->finishRun(now, r.entry, Outcome::responded, {201, "text/x", body});
  }
  std::uint64_t lastSeed = 0, lastWaiter = 0;
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
  store->finishRun(now, r.entry, Outcome::mayHaveExecuted);
  const auto rejectedRun = arrive("never");
  store->finishRun(now, rejectedRun.entry, Outcome::notExecuted);
  start(milliseconds(100));
  const auto retried = arrive("k");
  ASSERT_EQ(retried.admission, Admission::retryUncertain);
  EXPECT_EQ(retried.earlierAttempt->zone, "west");
  EXPECT_EQ(retried.earlierAttempt->cell, 2);
  EXPECT_EQ(now - retried.earlierAttempt->sentAt, milliseconds(105));
  EXPECT_EQ(arrive("never").admission, Admission::firstRun);
}

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
  EXPECT_EQ(arrive("unsent").earlierAttempt->sentAt, Time{});  // unknown, so no repeat is sent
  // After another restart within the retention they are still uncertain.
  now += seconds(50);
  start();
  EXPECT_EQ(arrive("one").admission, Admission::retryUncertain);
}

// A truncated log may lack records of later attempts, so the recorded locations are not used.
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
  const auto retried = arrive("k");
  ASSERT_EQ(retried.admission, Admission::retryUncertain);
  EXPECT_EQ(retried.earlierAttempt->sentAt, Time{});
}

// Runs interrupted in the first process must not have their retention renewed by each restart.
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

// Within one boot times are converted by the steady clock.
TEST_F(JournalTest, IgnoresCalendarStepWithinOneBoot) {
  for (const std::int64_t step : {-3'600'000'000'000, 3'600'000'000'000}) {
    folder = FaultyDirectory(1);
    start();
    serve("k");
    timeBase.unixEpochNs += step;
    start(milliseconds(59'999));
    EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
    now += milliseconds(1);
    EXPECT_EQ(arrive("k").admission, Admission::firstRun);
  }
}

// Across boots only the calendar is available. Repeats are not sent by it, since the hosts' window may be
// over.
TEST_F(JournalTest, UsesCalendarAndForgetsLocationsAfterReboot) {
  start();
  serve("a");
  const auto u = arrive("u");
  store->onAttemptSent(u.entry, {"east", 1, now});
  store->onAttemptSettled(u.entry, true);
  store->finishRun(now, u.entry, Outcome::mayHaveExecuted);
  stop();
  timeBase.bootId = "boot-2";
  timeBase.steadyEpochNs = 5;
  start(seconds(20));
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  const auto r = arrive("u");
  ASSERT_EQ(r.admission, Admission::retryUncertain);
  EXPECT_EQ(r.earlierAttempt->zone, "");
  EXPECT_EQ(r.earlierAttempt->sentAt, Time{});
  store->finishRun(now, r.entry, Outcome::notExecuted);
  now += milliseconds(39'999);
  EXPECT_EQ(arrive("a").admission, Admission::replayResponse);
  now += milliseconds(1);
  EXPECT_EQ(arrive("a").admission, Admission::firstRun);
}

// A calendar step back between two boots must not retain a key for longer than the retention after the
// start.
TEST_F(JournalTest, CalendarStepBackAcrossRebootDoesNotProlongRetention) {
  start();
  serve("k");
  stop();
  timeBase.bootId = "boot-2";
  timeBase.unixEpochNs -= 7'200'000'000'000;
  start(seconds(1));
  EXPECT_EQ(arrive("k").admission, Admission::replayResponse);
  now += seconds(60);
  EXPECT_EQ(arrive("k").admission, Admission::firstRun);
}

// The log identifies tenants and classes by name, since their indexes change with the settings.
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
    store->finishRun(now, r.entry, Outcome::mayHaveExecuted);
  }
  limits.maxEntries = 16;
  limits.maxTenantFraction = 1;
  start();
  EXPECT_EQ(recovery.replay.uncertain, 16u);
  EXPECT_EQ(recovery.replay.evicted, 24u);
}

// Records lost in the middle of the log may have been of any key, so each key without a record is uncertain.
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

// Two segments in the first version of the format. The first process answered one key, left one uncertain
// and one unsent, and ended while one ran. The second answered another key 15 s after its start.
TEST_F(JournalTest, RecoversSegmentsOfFirstFormatVersion) {
  for (const char* const name : {"log-00000001", "log-00000002"})
    folder.create(name)->append(testing::readFile(std::string(FINCHSTILE_LOG_OF_FIRST_FORM) + "/" + name));
  // The clock of the second process started at 2,000 s of the machine's steady clock, at whose 2,020 s the
  // clock of this process shows `now`.
  timeBase.steadyEpochNs = Duration(seconds(2020) - now).count();
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
  const auto executed = arrive("running-key");
  ASSERT_EQ(executed.admission, Admission::retryUncertain);
  EXPECT_EQ(executed.earlierAttempt->zone, "east");
  EXPECT_EQ(executed.earlierAttempt->cell, 3);
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

TEST_F(JournalTest, RemovesSegmentsWhenAllTheirKeysHaveExpired) {
  files.maxSegmentBytes = 64 * 1024;
  start();
  std::size_t peakBytes = 0;
  for (int i = 0; i < 20'000; ++i) {
    serve("k" + std::to_string(i));
    now += milliseconds(20);
    if (i % 50 == 0) {
      journal->tick(now);
      runner->runJob();
      peakBytes = std::max(peakBytes, journal->bytes());
    }
  }
  // The log retains 63 s: 3,150 requests with about 250 bytes of records each.
  EXPECT_LT(peakBytes, 1'500'000u);
  EXPECT_EQ(journal->writeFailures(), 0u);
  const std::size_t known = store->entries();
  start();
  EXPECT_FALSE(recovery.log.damaged) << recovery.log.description;
  EXPECT_GE(recovery.replay.completed, known - 10);
  EXPECT_EQ(arrive("k19990").admission, Admission::replayResponse);
}

// The last part of the log is reserved for the ends of runs whose start is recorded.
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
    store->finishRun(now, id, Outcome::responded, {200, "", id % 2 ? "kept" : std::string(10'000, 'k')});
  }
  // Some responses are omitted, but the ends of all runs are recorded.
  EXPECT_EQ(journal->writeFailures(), before);
  EXPECT_GT(journal->responsesOmitted(), 10u);
  EXPECT_LT(journal->responsesOmitted(), 51u);
  {
    FaultyDirectory copy = folder;
    Store other(limits, 3, Seed{5, 6});
    wal::Log read(copy, files);
    Journal second(read, settings, names, timeBase, *runner);
    const auto r = second.recover(now, other);
    EXPECT_GT(r.replay.running, 5000u);  // the keys f0, f1, ...
    Store::KeyedRequest a;
    a.classIndex = 1;
    a.key = "r0";
    a.fingerprint = Hasher(other.seed()).add("1").finalize();
    EXPECT_NE(other.admit(now, a).admission, Admission::firstRun);
    EXPECT_EQ(r.replay.running,
              static_cast<std::size_t>(i) - 1);  // no key r0, r1, ...; the last f was not recorded
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

TEST_F(JournalTest, SyncsAccordingToPolicy) {
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
  EXPECT_FALSE(runner->job);  // there is nothing to sync

  settings.sync = SyncPolicy::beforeSend;
  start();
  EXPECT_TRUE(journal->requiresSyncBeforeSend());
  int syncNotifications = 0;
  journal->onSynced = [&] { ++syncNotifications; };
  arrive("c");
  journal->awaitSync(now);
  arrive("d");
  journal->awaitSync(now);  // covered by the next sync, with all records until its start
  arrive("e");
  journal->awaitSync(now);
  const auto position = journal->appendedRecords();
  EXPECT_LT(journal->syncedRecords(), position);
  EXPECT_TRUE(runner->runJob());
  EXPECT_LT(journal->syncedRecords(), position);
  EXPECT_TRUE(runner->runJob());
  EXPECT_EQ(journal->syncedRecords(), position);
  EXPECT_FALSE(runner->job);
  EXPECT_EQ(syncNotifications, 2);
  EXPECT_EQ(journal->syncs(), 2u);
}

// A process, or the machine, stops at each write of the log and is restarted; the store is rebuilt from the
// log. Within its retention a key that ran never counts as unused. A completed key may be restored as
// uncertain, but never with another response, and a key that did not run may be restored as uncertain.
struct JournalCrashTest : JournalTest {
  struct KeyHistory {
    bool executed = false;  // an attempt that was sent may have been executed
    bool inFlight = false;  // an attempt is in flight
    std::string zone;       // of that attempt
    std::string servedBody;
    Time until{};  // the expiry, by the machine's steady clock
  };
  std::map<std::string, KeyHistory> histories;
  std::size_t replays = 0, boundRetries = 0, unboundRetries = 0;
  Time steadyNow() const { return now + Time(timeBase.steadyEpochNs); }

  // Runs one process: random requests until the directory fails. A step whose call fails did not happen,
  // since each call precedes its step.
  void runProcess(std::mt19937& rng) {
    struct Running {
      Store::EntryId entry;
      std::uint64_t position;
      bool retried, hasZone;
    };
    std::map<std::string, Running> running;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(rng() % 40);
      if (rng() % 3 == 0) runner->runJob();
      if (rng() % 20 == 0) journal->tick(now);
      if (journal->logFailed()) break;
      const std::string key = "k" + std::to_string(rng() % 60);
      KeyHistory& history = histories[key];
      const auto it = running.find(key);
      if (it == running.end()) {
        const bool known = history.executed && steadyNow() < history.until;
        const auto r = arrive(key);
        if (r.admission == Admission::replayResponse) {
          ASSERT_EQ(r.response->body, history.servedBody);
          ++replays;
          continue;
        }
        Running run{r.entry, journal->appendedRecords(), r.admission == Admission::retryUncertain, false};
        if (run.retried) {
          // A known location is that of the executed attempt.
          run.hasZone = r.earlierAttempt->sentAt != Time{};
          if (run.hasZone && history.executed) ASSERT_EQ(r.earlierAttempt->zone, history.zone) << key;
          ++(run.hasZone ? boundRetries : unboundRetries);
        } else {
          ASSERT_EQ(r.admission, Admission::firstRun);
          ASSERT_FALSE(known) << key << " would run twice";
          history = {};
        }
        if (!journal->lastRunRecorded()) break;
        running[key] = run;
        if (journal->requiresSyncBeforeSend()) journal->awaitSync(now);
        continue;
      }
      Running& run = it->second;
      if (journal->requiresSyncBeforeSend() && journal->syncedRecords() < run.position)
        continue;  // the repeat waits for the run
      if (!history.inFlight && (rng() % 4 == 0 || (run.retried && !run.hasZone))) {  // the run ends unsent
        store->finishRun(now, run.entry, Outcome::notExecuted);
        if (journal->logFailed()) break;
        running.erase(it);
      } else if (!history.inFlight) {
        const std::string zone = history.executed ? history.zone : rng() % 2 ? "east" : "west";
        store->onAttemptSent(run.entry, {zone, 0, now});
        if (journal->logFailed()) break;
        if (!history.executed) history.servedBody.clear();
        history.zone = zone;
        history.inFlight = true;
      } else if (!history.executed && rng() % 3 == 0) {  // rejected by the host
        store->onAttemptSettled(run.entry, false);
        // The record of the rejection is lost, so the run may be restored as executed.
        if (journal->logFailed()) history.executed = true, history.until = Time::max();
        if (journal->logFailed()) break;
        history.inFlight = false;
      } else {
        history.executed = true;
        const bool served = rng() % 2;
        history.servedBody = served ? "answer " + std::to_string(rng()) : "";
        store->onAttemptSettled(run.entry, true);
        store->finishRun(now, run.entry, served ? Outcome::responded : Outcome::mayHaveExecuted,
                         {200, "", history.servedBody});
        if (journal->logFailed()) break;
        history.inFlight = false;
        history.until = steadyNow() + limits.retention;
        running.erase(it);
      }
    }
    for (auto& [key, history] : histories) {
      if (!history.inFlight) continue;
      history.executed = true;  // executed, without a recorded response
      history.inFlight = false;
      history.until = steadyNow() + limits.retention;
    }
  }

  void runCrashes(SyncPolicy policy, bool crashMachine, std::uint64_t crashPoints) {
    settings.sync = policy;
    settings.syncInterval = milliseconds(200);
    limits.retention = seconds(5);
    files.maxSegmentBytes = 64 * 1024 / 16;
    std::size_t tornTails = 0;
    for (std::uint64_t crashPoint = 1; crashPoint <= crashPoints; ++crashPoint) {
      folder = FaultyDirectory(static_cast<std::uint32_t>(crashPoint));
      histories.clear();
      std::mt19937 rng(static_cast<std::uint32_t>(crashPoint * 13));
      for (int processIndex = 0; processIndex < 3; ++processIndex) {
        folder.failFrom =
            processIndex == 0 ? folder.operations + crashPoint : folder.operations + 5 + rng() % 300;
        start(milliseconds(rng() % 500));
        ASSERT_FALSE(recovery.log.damaged) << recovery.log.description;
        ASSERT_EQ(recovery.replay.unreadable, 0u);
        tornTails += recovery.log.truncatedBytes > 0;
        if (recovery.writable) runProcess(rng);
        if (HasFatalFailure()) {
          ADD_FAILURE() << "point " << crashPoint << " life " << processIndex;
          return;
        }
        stop();
        if (crashMachine && rng() % 2) {
          folder.crash();
          timeBase.bootId = "boot-" + std::to_string(crashPoint) + "-" + std::to_string(processIndex);
        } else {
          folder.kill();
        }
      }
    }
    EXPECT_GT(tornTails, crashPoints / 10);
    EXPECT_GT(replays, crashPoints);
    EXPECT_GT(unboundRetries, 0u);
  }
};

TEST_F(JournalCrashTest, KeepsRunsWhenProcessIsKilledAtAnyWrite) {
  runCrashes(SyncPolicy::never, false, 1500);
  EXPECT_GT(boundRetries, 100u);
}
TEST_F(JournalCrashTest, KeepsRunsSyncedBeforeSendWhenMachineCrashesAtAnyWrite) {
  runCrashes(SyncPolicy::beforeSend, true, 1500);
}

}  // namespace
}  // namespace finchstile::idempotency
