// The store on its log: what comes back after a restart, what a crash at every write leaves, and what the log
// does when it is full, broken or damaged.
#include "idempotency/journal.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

#include "support/faulty_folder.hpp"
#include "support/later_runner.hpp"
#include "support/process.hpp"

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::FaultyFolder;
using testing::LaterRunner;
using E = Store::End;

struct JournalTest : ::testing::Test {
  FaultyFolder folder{1};
  wal::Options files;
  StoreLimits limits;
  JournalSettings settings;
  Names names{{"acme", "zeta"}, {"read", "put"}};
  TimeBase base{"boot-1", 1'000'000'000'000, 1'700'000'000'000'000'000};
  Time now = std::chrono::hours(24);

  std::unique_ptr<LaterRunner> runner;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<Store> store;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;

  JournalTest() {
    limits.keep = seconds(60);
    settings.sync = SyncPolicy::never;
    settings.longest = seconds(3);
  }
  // A new process. Its clock shows `now`, `passed` after the last one ended; within the same boot.
  void start(Duration passed = milliseconds(100)) {
    stop();
    base.zeroSteady += passed.count() + (now - std::chrono::hours(24)).count();
    base.zeroUnix += passed.count() + (now - std::chrono::hours(24)).count();
    now = std::chrono::hours(24);
    settings.keep = limits.keep;
    runner = std::make_unique<LaterRunner>();
    log = std::make_unique<wal::Log>(folder, files);
    store = std::make_unique<Store>(limits, static_cast<std::uint32_t>(names.tenants.size() + 1),
                                    Seed{++seeds, 2});
    journal = std::make_unique<Journal>(*log, settings, names, base, *runner);
    recovery = journal->recover(now, *store);
  }
  void stop() { journal.reset(), store.reset(), log.reset(), runner.reset(); }
  Store::Result arrive(const std::string& key, std::uint32_t tenant = 0, std::uint64_t body = 1) {
    Store::Arrival a;
    a.tenant = tenant;
    a.classIndex = *names.classIndex("put");
    a.key = key;
    // As the stage does: under the store's seed.
    a.fingerprint = Hasher(store->seed()).add(std::to_string(body)).end();
    a.waiter = ++waiters;
    return store->arrive(now, a);
  }
  void serve(const std::string& key, const std::string& body = "ok") {
    const auto r = arrive(key);
    store->sent(r.entry, {"east", 1, now});
    store->settled(r.entry, true);
    store->end(now, r.entry, E::served, {201, "text/x", body});
  }
  std::uint64_t seeds = 0, waiters = 0;
};

TEST_F(JournalTest, WhatWasAnsweredIsAnsweredAfterARestart) {
  start();
  serve("k", "first");
  start();
  EXPECT_EQ(recovery.recalled.answered, 1u);
  EXPECT_FALSE(recovery.log.damaged);
  const auto r = arrive("k");
  ASSERT_EQ(r.admission, Admission::replay);
  EXPECT_EQ(r.answer->status, 201u);
  EXPECT_EQ(r.answer->contentType, "text/x");
  EXPECT_EQ(r.answer->body, "first");
  EXPECT_EQ(arrive("k", 0, 2).admission, Admission::mismatch);  // the seed came along too
  EXPECT_EQ(arrive("k", 1).admission, Admission::fresh);        // another tenant's
  EXPECT_EQ(arrive("other").admission, Admission::fresh);
}

TEST_F(JournalTest, WhatMayHaveRunSaysWhereAndWhen) {
  start();
  const auto r = arrive("k");
  store->sent(r.entry, {"east", 1, now});
  store->settled(r.entry, false);  // turned away unseen
  store->sent(r.entry, {"west", 2, now + milliseconds(5)});
  store->settled(r.entry, true);
  now += milliseconds(10);
  store->end(now, r.entry, E::mayHaveRun);
  const auto unrun = arrive("never");
  store->end(now, unrun.entry, E::neverRan);
  start(milliseconds(100));
  const auto again = arrive("k");
  ASSERT_EQ(again.admission, Admission::again);
  EXPECT_EQ(again.earlier->zone, "west");
  EXPECT_EQ(again.earlier->cell, 2);
  EXPECT_EQ(now - again.earlier->sentAt, milliseconds(105));
  EXPECT_EQ(arrive("never").admission, Admission::fresh);
}

// Hard case: the process ends while requests run.
TEST_F(JournalTest, WhatRanWhenTheProcessEndedIsUncertain) {
  start();
  arrive("unsent");
  const auto one = arrive("one");
  store->sent(one.entry, {"east", 1, now});
  const auto two = arrive("two");
  store->sent(two.entry, {"east", 1, now});
  store->settled(two.entry, false);
  store->sent(two.entry, {"west", 1, now});
  start();
  EXPECT_EQ(recovery.recalled.running, 3u);
  EXPECT_EQ(store->count(State::uncertain), 3u);
  EXPECT_EQ(arrive("one").earlier->zone, "east");
  EXPECT_EQ(arrive("two").earlier->zone, "west");
  EXPECT_EQ(arrive("unsent").earlier->sentAt, Time{});  // no host's window holds it
  // Started anew before any is over: uncertain still.
  now += seconds(50);
  start();
  EXPECT_EQ(arrive("one").admission, Admission::again);
}

// A log that was cut may miss what came behind: where an attempt went is no longer relied on.
TEST_F(JournalTest, BehindACutTailNoZoneIsRelied) {
  start();
  const auto r = arrive("k");
  store->sent(r.entry, {"east", 1, now});
  const std::size_t before = folder.contents().begin()->second.size();
  arrive("cut");
  stop();
  const auto [name, bytes] = *folder.contents().begin();
  folder.create(name)->append(bytes.substr(0, before + 5));
  start();
  EXPECT_GT(recovery.log.cutBytes, 0u);
  EXPECT_FALSE(recovery.log.damaged);
  const auto again = arrive("k");
  ASSERT_EQ(again.admission, Admission::again);
  EXPECT_EQ(again.earlier->sentAt, Time{});
}

// A process that is started over and over must not keep what ran in the first for ever.
TEST_F(JournalTest, StartingAnewDoesNotLengthenTheWindow) {
  start();
  arrive("k");
  start();
  now += seconds(30);
  start();
  EXPECT_EQ(recovery.recalled.running, 0u);
  EXPECT_EQ(recovery.recalled.uncertain, 1u);
  now += seconds(29);
  start();
  EXPECT_EQ(recovery.recalled.uncertain, 1u);
  now += seconds(2);
  start();
  EXPECT_EQ(recovery.recalled.uncertain, 0u);
  EXPECT_EQ(arrive("k").admission, Admission::fresh);
}

TEST_F(JournalTest, TheWindowIsExactAcrossARestart) {
  start();
  serve("k");
  start(milliseconds(59'999));
  EXPECT_EQ(arrive("k").admission, Admission::replay);
  now += milliseconds(1);
  EXPECT_EQ(arrive("k").admission, Admission::fresh);
}

// Hard case: clock steps. Within a boot the calendar's clock counts for nothing.
TEST_F(JournalTest, ACalendarThatStepsWithinABootChangesNothing) {
  for (const std::int64_t step : {-3'600'000'000'000, 3'600'000'000'000}) {
    folder = FaultyFolder(1);
    start();
    serve("k");
    base.zeroUnix += step;
    start(milliseconds(59'999));
    EXPECT_EQ(arrive("k").admission, Admission::replay);
    now += milliseconds(1);
    EXPECT_EQ(arrive("k").admission, Admission::fresh);
  }
}

// Across boots only the calendar tells, and nothing is sent by it: hosts' windows are over, or may be.
TEST_F(JournalTest, AfterABootTheCalendarTellsTheTimeAndNoRepeatIsSent) {
  start();
  serve("a");
  const auto u = arrive("u");
  store->sent(u.entry, {"east", 1, now});
  store->settled(u.entry, true);
  store->end(now, u.entry, E::mayHaveRun);
  stop();
  base.boot = "boot-2";
  base.zeroSteady = 5;
  start(seconds(20));
  EXPECT_EQ(arrive("a").admission, Admission::replay);
  const auto r = arrive("u");
  ASSERT_EQ(r.admission, Admission::again);
  EXPECT_EQ(r.earlier->zone, "");
  EXPECT_EQ(r.earlier->sentAt, Time{});
  store->end(now, r.entry, E::neverRan);
  now += milliseconds(39'999);
  EXPECT_EQ(arrive("a").admission, Admission::replay);
  now += milliseconds(1);
  EXPECT_EQ(arrive("a").admission, Admission::fresh);
}

// A calendar that stepped back over a boot: nothing is kept for longer than `keep` from the start on.
TEST_F(JournalTest, ACalendarThatStepsBackOverABootKeepsNothingForLonger) {
  start();
  serve("k");
  stop();
  base.boot = "boot-2";
  base.zeroUnix -= 7'200'000'000'000;
  start(seconds(1));
  EXPECT_EQ(arrive("k").admission, Admission::replay);
  now += seconds(60);
  EXPECT_EQ(arrive("k").admission, Admission::fresh);
}

// Tenants and classes are known by name: their numbers change with the settings.
TEST_F(JournalTest, RenumberedTenantsAndClassesAreTheSame) {
  start();
  serve("k");
  names = {{"new", "acme"}, {"put", "more"}};
  start();
  EXPECT_EQ(arrive("k", 1).admission, Admission::replay);
  EXPECT_EQ(arrive("k", 0).admission, Admission::fresh);
  names = {{"acme"}, {"put2"}};
  stop();
  names.classes.push_back("put");
  start();
  EXPECT_EQ(arrive("k", 0).admission, Admission::replay);
}

TEST_F(JournalTest, AClassThatIsNoMoreIsPassedOver) {
  start();
  serve("k");
  names.classes = {"read"};
  start();
  EXPECT_EQ(recovery.recalled.past, 1u);
  EXPECT_EQ(store->entries(), 0u);
}

TEST_F(JournalTest, AStoreThatIsSmallerNowSaysWhatItForgot) {
  start();
  for (int i = 0; i < 40; ++i) {
    const auto r = arrive(std::to_string(i));
    store->sent(r.entry, {"east", 1, now});
    store->settled(r.entry, true);
    store->end(now, r.entry, E::mayHaveRun);
  }
  limits.entries = 16;
  limits.tenantShare = 1;
  start();
  EXPECT_EQ(recovery.recalled.uncertain, 16u);
  EXPECT_EQ(recovery.recalled.noRoom, 24u);
}

// A damaged middle: what it told is unknown, and so is every key that nothing else is known of.
TEST_F(JournalTest, DamageLeavesEveryUnknownKeyUncertainForItsWindow) {
  start();
  for (int i = 0; i < 2000; ++i) serve("k" + std::to_string(i));
  stop();
  folder.damage(folder.contents().begin()->first, 50'000);
  start();
  EXPECT_TRUE(recovery.log.damaged);
  EXPECT_EQ(recovery.uncertainUntil, now + limits.keep);
  EXPECT_GT(recovery.recalled.answered, 1000u);
  EXPECT_LT(recovery.recalled.answered, 2000u);
  EXPECT_NE(recovery.log.what.find("damaged"), std::string::npos);
}

// Two segments that processes of the first form wrote, the last 15 s into its life: the first answered one
// key, left one uncertain and one unsent, and ended while one ran; the second answered another.
TEST_F(JournalTest, RecoversSegmentsOfTheFirstForm) {
  for (const char* const name : {"log-00000001", "log-00000002"})
    folder.create(name)->append(testing::readFile(std::string(FINCHSTILE_LOG_OF_FIRST_FORM) + "/" + name));
  // The second process' clock began 2,000 s into the machine's steady time; this one reads `now` at 2,020 s.
  base.zeroSteady = Duration(seconds(2020) - now).count();
  start(Duration{});
  EXPECT_FALSE(recovery.log.damaged);
  EXPECT_EQ(recovery.log.cutBytes, 0u);
  EXPECT_EQ(recovery.log.segments, 2u);
  EXPECT_EQ(recovery.recalled.answered, 2u);
  EXPECT_EQ(recovery.recalled.uncertain, 2u);
  EXPECT_EQ(recovery.recalled.running, 0u);
  EXPECT_EQ(recovery.recalled.foreign, 0u);
  const auto replayed = arrive("answered-key");
  ASSERT_EQ(replayed.admission, Admission::replay);
  EXPECT_EQ(replayed.answer->status, 201u);
  EXPECT_EQ(replayed.answer->contentType, "text/x");
  EXPECT_EQ(replayed.answer->body, "kept");
  const auto later = arrive("later-key");
  ASSERT_EQ(later.admission, Admission::replay);
  EXPECT_EQ(later.answer->status, 200u);
  EXPECT_EQ(later.answer->body, "later");
  const auto uncertain = arrive("uncertain-key");
  ASSERT_EQ(uncertain.admission, Admission::again);
  EXPECT_EQ(uncertain.earlier->zone, "west");
  EXPECT_EQ(uncertain.earlier->cell, 2);
  EXPECT_EQ(uncertain.earlier->sentAt, now - seconds(10));
  const auto ran = arrive("running-key");
  ASSERT_EQ(ran.admission, Admission::again);
  EXPECT_EQ(ran.earlier->zone, "east");
  EXPECT_EQ(ran.earlier->cell, 3);
  EXPECT_EQ(arrive("unsent-key").admission, Admission::fresh);
  now += seconds(51);  // 61 s after the first answer, 56 s after the second
  EXPECT_EQ(arrive("answered-key").admission, Admission::fresh);
  EXPECT_EQ(arrive("later-key").admission, Admission::replay);
}

TEST_F(JournalTest, RecordsOfALaterVersionAreDamage) {
  start();
  serve("k");
  stop();
  {
    wal::Log other(folder, files);
    wal::Recovery r;
    ASSERT_TRUE(other.recover([](std::string_view) {}, r));
    ASSERT_TRUE(other.append("\x09 of a later version"));
  }
  start();
  EXPECT_EQ(recovery.recalled.foreign, 1u);
  EXPECT_NE(recovery.uncertainUntil, Time{});
  EXPECT_EQ(arrive("k").admission, Admission::replay);
}

// Segments go when all in them is forgotten, and not before.
TEST_F(JournalTest, OldSegmentsAreDroppedWhenAllInThemIsForgotten) {
  files.segmentBytes = 64 * 1024;
  start();
  std::size_t most = 0;
  for (int i = 0; i < 20'000; ++i) {
    serve("k" + std::to_string(i));
    now += milliseconds(20);
    if (i % 50 == 0) {
      journal->tick(now);
      runner->carryOut();
      most = std::max(most, journal->bytes());
    }
  }
  // 63 s are 3,150 requests of about 250 bytes each in all their records.
  EXPECT_LT(most, 1'500'000u);
  EXPECT_EQ(journal->unrecorded(), 0u);
  const std::size_t known = store->entries();
  start();
  EXPECT_FALSE(recovery.log.damaged) << recovery.log.what;
  EXPECT_GE(recovery.recalled.answered, known - 10);
  EXPECT_EQ(arrive("k19990").admission, Admission::replay);
}

// Hard case: full. What begins is not recorded any more; what runs still gets its end.
TEST_F(JournalTest, AFullLogTakesEndsButNoBeginnings) {
  files.segmentBytes = 64 * 1024;
  files.totalBytes = 1024 * 1024;
  limits.entries = 1'000'000;
  limits.bytes = std::size_t{1} << 30;
  start();
  std::vector<Store::EntryId> running;
  for (int i = 0; i < 100; ++i) running.push_back(arrive("r" + std::to_string(i)).entry);
  int i = 0;
  for (; journal->recorded(); ++i) arrive("f" + std::to_string(i));
  EXPECT_GT(i, 5000);
  EXPECT_FALSE(journal->broken());
  const auto before = journal->unrecorded();
  EXPECT_GT(before, 0u);
  for (const auto id : running) {
    store->sent(id, {"east", 1, now});
    store->settled(id, true);
    store->end(now, id, E::served, {200, "", id % 2 ? "kept" : std::string(10'000, 'k')});
  }
  // Not all answers fit, but that they are over does.
  EXPECT_EQ(journal->unrecorded(), before);
  EXPECT_GT(journal->unanswered(), 10u);
  EXPECT_LT(journal->unanswered(), 51u);
  {
    FaultyFolder copy = folder;
    Store other(limits, 3, Seed{5, 6});
    wal::Log read(copy, files);
    Journal second(read, settings, names, base, *runner);
    const auto r = second.recover(now, other);
    EXPECT_GT(r.recalled.running, 5000u);  // f...
    Store::Arrival a;
    a.classIndex = 1;
    a.key = "r0";
    a.fingerprint = Hasher(other.seed()).add("1").end();
    EXPECT_NE(other.arrive(now, a).admission, Admission::fresh);
    EXPECT_EQ(r.recalled.running, static_cast<std::size_t>(i) - 1);  // none of r...; the last was not taken
  }
  // And takes them again when the oldest segments have gone.
  now += seconds(64);
  journal->tick(now);
  runner->carryOut();
  arrive("later");
  EXPECT_TRUE(journal->recorded());
}

TEST_F(JournalTest, ABrokenLogIsToldAndTakesNothing) {
  start();
  serve("k");
  folder.stopAt = folder.operations + 1;
  arrive("lost");
  EXPECT_FALSE(journal->recorded());
  EXPECT_TRUE(journal->broken());
  folder.stopAt = 0;
  arrive("lost too");
  EXPECT_FALSE(journal->recorded());
  EXPECT_EQ(journal->unrecorded(), 2u);
  start();
  EXPECT_EQ(arrive("k").admission, Admission::replay);
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
  EXPECT_FALSE(journal->mustWait());
  now += milliseconds(999);
  journal->tick(now);
  EXPECT_FALSE(runner->job);
  now += milliseconds(1);
  journal->tick(now);
  ASSERT_TRUE(runner->job);
  runner->carryOut();
  EXPECT_EQ(journal->durable(), journal->position());
  now += seconds(1);
  journal->tick(now);
  EXPECT_FALSE(runner->job);  // nothing new

  settings.sync = SyncPolicy::beforeSend;
  start();
  EXPECT_TRUE(journal->mustWait());
  int told = 0;
  journal->onSynced = [&] { ++told; };
  arrive("c");
  journal->wait(now);
  arrive("d");
  journal->wait(now);  // the next sync is for it and all that come by then
  arrive("e");
  journal->wait(now);
  const auto position = journal->position();
  EXPECT_LT(journal->durable(), position);
  EXPECT_TRUE(runner->carryOut());
  EXPECT_LT(journal->durable(), position);
  EXPECT_TRUE(runner->carryOut());
  EXPECT_EQ(journal->durable(), position);
  EXPECT_FALSE(runner->job);
  EXPECT_EQ(told, 2);
  EXPECT_EQ(journal->syncs(), 2u);
}

// Hard case: the gateway is killed at every write of the log, and the machine with it, and started anew, and
// killed again, with the store on top. What ran must never be taken for new within its window; what was
// answered may come back as uncertain, never as another answer; what did not run may come back uncertain.
struct Killed : JournalTest {
  struct Item {
    bool ran = false;  // an attempt went out that nothing proved not to have run
    bool out = false;  // one is with a host
    std::string zone;  // of that one
    std::string answer;
    Time until{};  // of the machine's steady clock: forgotten then
  };
  std::map<std::string, Item> items;
  std::size_t replays = 0, bound = 0, unbound = 0;
  Time steady() const { return now + Time(base.zeroSteady); }

  // One life: random requests until the disk stops it. What a call that was stopped stands for did not
  // happen: each is made before the thing it tells of.
  void live(std::mt19937& dice) {
    struct Running {
      Store::EntryId entry;
      std::uint64_t position;
      bool again, knownZone;
    };
    std::map<std::string, Running> running;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(dice() % 40);
      if (dice() % 3 == 0) runner->carryOut();
      if (dice() % 20 == 0) journal->tick(now);
      if (journal->broken()) break;
      const std::string key = "k" + std::to_string(dice() % 60);
      Item& item = items[key];
      const auto it = running.find(key);
      if (it == running.end()) {
        const bool known = item.ran && steady() < item.until;
        const auto r = arrive(key);
        if (r.admission == Admission::replay) {
          ASSERT_EQ(r.answer->body, item.answer);
          ++replays;
          continue;
        }
        Running run{r.entry, journal->position(), r.admission == Admission::again, false};
        if (run.again) {
          // Where it is said to have run it did, or nothing is said.
          run.knownZone = r.earlier->sentAt != Time{};
          if (run.knownZone && item.ran) ASSERT_EQ(r.earlier->zone, item.zone) << key;
          ++(run.knownZone ? bound : unbound);
        } else {
          ASSERT_EQ(r.admission, Admission::fresh);
          ASSERT_FALSE(known) << key << " would run twice";
          item = {};
        }
        if (!journal->recorded()) break;
        running[key] = run;
        if (journal->mustWait()) journal->wait(now);
        continue;
      }
      Running& run = it->second;
      if (journal->mustWait() && journal->durable() < run.position) continue;  // it has to wait
      if (!item.out && (dice() % 4 == 0 || (run.again && !run.knownZone))) {   // given up unsent
        store->end(now, run.entry, E::neverRan);
        if (journal->broken()) break;
        running.erase(it);
      } else if (!item.out) {
        const std::string zone = item.ran ? item.zone : dice() % 2 ? "east" : "west";
        store->sent(run.entry, {zone, 0, now});
        if (journal->broken()) break;
        if (!item.ran) item.answer.clear();
        item.zone = zone;
        item.out = true;
      } else if (!item.ran && dice() % 3 == 0) {  // turned away unseen
        store->settled(run.entry, false);
        if (journal->broken()) item.ran = true, item.until = Time::max();  // it may be believed to have run
        if (journal->broken()) break;
        item.out = false;
      } else {
        item.ran = true;
        const bool served = dice() % 2;
        item.answer = served ? "answer " + std::to_string(dice()) : "";
        store->settled(run.entry, true);
        store->end(now, run.entry, served ? E::served : E::mayHaveRun, {200, "", item.answer});
        if (journal->broken()) break;
        item.out = false;
        item.until = steady() + limits.keep;
        running.erase(it);
      }
    }
    for (auto& [key, item] : items) {
      if (!item.out) continue;
      item.ran = true;  // it went on, and nobody heard of it
      item.out = false;
      item.until = steady() + limits.keep;
    }
  }

  void play(SyncPolicy policy, bool machineToo, std::uint64_t points) {
    settings.sync = policy;
    settings.syncInterval = milliseconds(200);
    limits.keep = seconds(5);
    files.segmentBytes = 64 * 1024 / 16;
    std::size_t torn = 0;
    for (std::uint64_t point = 1; point <= points; ++point) {
      folder = FaultyFolder(static_cast<std::uint32_t>(point));
      items.clear();
      std::mt19937 dice(static_cast<std::uint32_t>(point * 13));
      for (int life = 0; life < 3; ++life) {
        folder.stopAt = life == 0 ? folder.operations + point : folder.operations + 5 + dice() % 300;
        start(milliseconds(dice() % 500));
        ASSERT_FALSE(recovery.log.damaged) << recovery.log.what;
        ASSERT_EQ(recovery.recalled.foreign, 0u);
        torn += recovery.log.cutBytes > 0;
        if (recovery.usable) live(dice);
        if (HasFatalFailure()) {
          ADD_FAILURE() << "point " << point << " life " << life;
          return;
        }
        stop();
        if (machineToo && dice() % 2) {
          folder.crash();
          base.boot = "boot-" + std::to_string(point) + "-" + std::to_string(life);
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

TEST_F(Killed, AtEveryWriteWithTheProcessAlone) {
  play(SyncPolicy::never, false, 1500);
  EXPECT_GT(bound, 100u);
}
TEST_F(Killed, AtEveryWriteWithTheMachineAndASyncBeforeEachSend) { play(SyncPolicy::beforeSend, true, 1500); }

}  // namespace
}  // namespace finchstile::idempotency
