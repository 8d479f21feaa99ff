// What becomes of updates: order, epochs, hashes, what is wrong, against a reference in random orders.
#include "configuration/store.hpp"

#include <map>
#include <random>

#include "configuration/documents.hpp"

namespace finchstile::configuration::testing {
namespace {

using fake_upstream::ControlLog;

// The text of an update with entries as they are.
std::string raw(Version version, const std::string& hash, bool whole, const std::string& entries) {
  return "{\"epoch\":" + std::to_string(version.epoch) + ",\"index\":" + std::to_string(version.revision) +
         ",\"snapshot\":" + (whole ? "true" : "false") + ",\"hash\":\"" + hash + "\",\"entries\":[" +
         entries + "]}";
}

// What gateways know after taking terms, by name.
std::map<std::string, double> quotasOf(std::map<std::string, double> before, const SettingsChange& terms) {
  for (const TenantChange& change : terms.tenants) {
    if (change.quotaPerSecond) before[change.name] = *change.quotaPerSecond;
    else before.erase(change.name);
  }
  return before;
}

TEST(Store, TheFirstVersionReplacesTheStartsTenantsAndKeepsPlaces) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("mill", 20), tenant("yard", 5), classOf("read", 3, 500)});
  const Result result = sync(log, store);
  ASSERT_EQ(result.verdict, Verdict::taken);
  const auto quotas = quotasOf({{"acme", 10}, {"mill", 20}}, result.terms);
  EXPECT_EQ(quotas, (std::map<std::string, double>{{"mill", 20}, {"yard", 5}}));
  for (const TenantChange& change : result.terms.tenants) {
    if (change.name == "yard") EXPECT_EQ(change.index, 2u);
    if (change.name == "acme") EXPECT_EQ(change.index, 0u);
  }
  ASSERT_EQ(result.terms.classes.size(), 1u);
  EXPECT_EQ(result.terms.classes[0].latencyObjective, std::chrono::milliseconds(500));
  EXPECT_EQ(store.position().hash, log.hash());
  EXPECT_EQ(store.tenants(), 2u);
}

TEST(Store, AClassThatIsNotNamedAnyMoreHasTheTermsOfTheStart) {
  ControlLog log;
  Store store(startSettings());
  log.publish({classOf("read", 3, 500)});
  sync(log, store);
  log.publish({{"class/read", std::nullopt}});
  const Result result = sync(log, store);
  ASSERT_EQ(result.verdict, Verdict::taken);
  ASSERT_EQ(result.terms.classes.size(), 1u);
  EXPECT_EQ(result.terms.classes[0].latencyObjective, std::chrono::milliseconds(400));
  EXPECT_EQ(result.terms.classes[0].priorityWeight, 12);
}

// Hard case: revisions out of order, twice, and with a gap.
TEST(Store, RevisionsOutOfOrderTwiceAndWithAGap) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("a", 1)});
  const Update first = *answerTo(log, store);
  store.apply(first);
  log.publish({tenant("b", 2)});
  const Update second = *answerTo(log, store);
  EXPECT_EQ(store.apply(second).verdict, Verdict::taken);
  EXPECT_EQ(store.apply(second).verdict, Verdict::unchanged);
  EXPECT_EQ(store.apply(first).verdict, Verdict::behind);
  // Changes of a revision between which one is missing lead to another hash.
  Store other(startSettings());
  other.apply(first);
  log.publish({tenant("c", 3)});
  const Update third = *answerTo(log, store);
  EXPECT_EQ(other.apply(third).verdict, Verdict::gap);
  EXPECT_EQ(other.position().version, first.version);
  EXPECT_EQ(other.tenants(), 1u);
  EXPECT_TRUE(other.position().wantsWhole);
  EXPECT_EQ(sync(log, other).verdict, Verdict::taken);
  EXPECT_EQ(other.tenants(), 3u);
}

TEST(Store, ChangesWithNothingToChangeAskForTheWhole) {
  Store store(startSettings());
  const Update changes = parseUpdate(raw({1, 4}, "0000000000000000", false, ""));
  EXPECT_EQ(store.apply(changes).verdict, Verdict::gap);
  EXPECT_TRUE(store.position().wantsWhole);
}

// Hard case: a writer that was replaced goes on writing.
TEST(Store, AnOlderEpochIsFencedOff) {
  ControlLog old, next;
  old.publish({tenant("a", 1)});
  next.publish({tenant("a", 1)});
  Store store(startSettings());
  sync(old, store);
  next.takeOver(2);
  next.publish({tenant("a", 7)});
  EXPECT_EQ(sync(next, store).verdict, Verdict::taken);
  for (int i = 0; i < 5; ++i) old.publish({tenant("a", 100)});  // higher revisions of the old epoch
  const Update late = parseUpdate(old.answer({"n0", {}, {}}, 0)->body);
  EXPECT_EQ(store.apply(late).verdict, Verdict::behind);
  EXPECT_EQ(store.position().version, (Version{2, 2}));
}

// A new writer may have lost the last revisions of the old one: its whole counts, though its revision is
// lower.
TEST(Store, ALaterEpochWithALowerRevisionIsTakenAsAWhole) {
  ControlLog old, next;
  for (int i = 1; i <= 5; ++i) old.publish({tenant("a", i)});
  Store store(startSettings());
  sync(old, store);
  next.takeOver(2);
  next.publish({tenant("a", 3)});
  EXPECT_EQ(sync(next, store).verdict, Verdict::taken);
  EXPECT_EQ(store.position().version, (Version{2, 1}));
  EXPECT_EQ(store.position().hash, next.hash());
}

// Hard case: a bad revision among good ones.
TEST(Store, ABadRevisionIsToldWithAllItsErrorsAndTheNextGoodOneIsTaken) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  log.publish({classOf("read", 1, 5000), classOf("write", 1, 100)});
  const Result bad = sync(log, store);
  EXPECT_EQ(bad.verdict, Verdict::refused);
  ASSERT_EQ(bad.problems.size(), 2u);
  EXPECT_EQ(describe(bad.problems[0]),
            "class/read.aim_ms: must be at most 1000, the time after which its clients give up");
  EXPECT_EQ(describe(bad.problems[1]), "class/write: is no class of this gateway's configuration");
  EXPECT_EQ(store.position().version, (Version{1, 1}));
  // It is not sent again, nor taken or told again if it is.
  EXPECT_FALSE(answerTo(log, store));
  const Update again =
      parseUpdate(log.answer({"n0", {{1, 1}, store.position().hash, false, {}}, {}}, 0)->body);
  EXPECT_EQ(store.apply(again).verdict, Verdict::refused);
  EXPECT_TRUE(store.apply(again).problems.empty());
  log.publish({{"class/write", std::nullopt}, classOf("read", 1, 500), tenant("b", 2)});
  // The removal of a class that this gateway does not have is wrong too: the writer has to leave it out.
  EXPECT_EQ(sync(log, store).verdict, Verdict::refused);
}

TEST(Store, AGoodRevisionBehindABadOneIsTaken) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  log.publish({classOf("read", 1, 5000)});
  EXPECT_EQ(sync(log, store).verdict, Verdict::refused);
  log.publish({classOf("read", 1, 300)});
  EXPECT_EQ(sync(log, store).verdict, Verdict::taken);
  EXPECT_EQ(store.position().version, (Version{1, 3}));
  EXPECT_FALSE(store.position().turnedDown);
}

TEST(Store, EveryErrorOfAnUpdateIsNamedByKeyFieldAndWhatIsRight) {
  const Update update = parseUpdate(raw({1, 1}, "0000000000000000", true,
                                        R"({"key":"tenant/a","quota_per_second":-1},)"
                                        R"({"key":"tenant/b"},)"
                                        R"({"key":"tenant/c","quota_per_second":1,"qouta":2},)"
                                        R"({"key":"route/x"},)"
                                        R"({"key":"tenant/","quota_per_second":1},)"
                                        R"({"key":"tenant/d","quota_per_second":1},)"
                                        R"({"key":"tenant/d","quota_per_second":2},)"
                                        R"({"key":"class/read","worth":"x","aim_ms":0,"late_share":2},)"
                                        R"({"key":"tenant/e","removed":true},)"
                                        R"({"quota_per_second":1},)"
                                        R"(7)"));
  std::vector<std::string> lines;
  for (const Problem& problem : update.problems) lines.push_back(describe(problem));
  EXPECT_EQ(lines, (std::vector<std::string>{
                       "tenant/a.quota_per_second: must be a number from 0 to 1e+12, and is -1",
                       "tenant/b.quota_per_second: is missing",
                       "tenant/c.qouta: is no field of such an entry",
                       "entry 3.key: must be tenant/NAME or class/NAME, and is 'route/x'",
                       "tenant/.key: must have a name of 1 to 256 bytes",
                       "tenant/d: stands twice",
                       "class/read.worth: must be a number from 0 to 1e+12, and is \"x\"",
                       "class/read.aim_ms: must be a number from 0.001 to 8.64e+07, and is 0",
                       "class/read.late_share: must be a number from 0 to 1, and is 2",
                       "tenant/e.removed: must be true and alone, in changes",
                       "entry 9.key: must be a text",
                       "entry 10.key: must be a text",
                   }));
  Store store(startSettings());
  EXPECT_EQ(store.apply(update).verdict, Verdict::refused);
  EXPECT_EQ(store.tenants(), 2u);
}

// Hard case: lists cut at each byte.
TEST(Store, AnUpdateThatIsCutAnywhereChangesNothing) {
  ControlLog log;
  log.publish({tenant("a", 1), tenant("b", 2), classOf("read", 3, 500)});
  Store store(startSettings());
  const std::string text = log.answer({"n0", {}, {}}, 0)->body;
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(store.apply(parseUpdate(text.substr(0, length))), std::runtime_error) << length;
  }
  EXPECT_EQ(store.position().version, Version{});
  EXPECT_EQ(store.apply(parseUpdate(text)).verdict, Verdict::taken);
}

TEST(Store, AWholeWhoseHashIsNotItsOwnIsTurnedDown) {
  ControlLog log;
  log.publish({tenant("a", 1)});
  log.miscount(1);
  Store store(startSettings());
  const Result result = sync(log, store);
  EXPECT_EQ(result.verdict, Verdict::refused);
  ASSERT_EQ(result.problems.size(), 1u);
  EXPECT_EQ(result.problems[0].key, "hash");
  EXPECT_EQ(store.tenants(), 2u);
}

// Hard case: two control machines that disagree.
TEST(Store, ReplicasThatDifferAreSeenAndMendedByTheWholeOfTheNextRevision) {
  ControlLog one, other;
  one.publish({tenant("a", 1)});
  other.publish({tenant("a", 2)});
  Store store(startSettings());
  sync(one, store);
  const Result differs = sync(other, store);
  EXPECT_EQ(differs.verdict, Verdict::conflict);
  EXPECT_EQ(store.position().hash, one.hash());
  EXPECT_FALSE(answerTo(other, store));  // told once, not in a loop
  other.publish({tenant("b", 5)});
  EXPECT_EQ(sync(other, store).verdict, Verdict::taken);
  EXPECT_EQ(store.position().hash, other.hash());
  EXPECT_EQ(other.wholes(), 2u);
}

// Hard case: a tenant is removed, and added again.
TEST(Store, ATenantThatComesBackHasItsOldPlace) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("acme", 10), tenant("mill", 20)});
  sync(log, store);
  log.publish({noTenant("acme"), tenant("new", 1)});
  const Result removed = sync(log, store);
  log.publish({tenant("acme", 30)});
  const Result back = sync(log, store);
  ASSERT_EQ(back.terms.tenants.size(), 1u);
  EXPECT_EQ(back.terms.tenants[0].index, 0u);
  for (const TenantChange& change : removed.terms.tenants)
    if (change.name == "new")
      EXPECT_EQ(change.index, 2u);  // danger: not the place of another's open requests
}

TEST(Store, NamesBeyondTheBoundAreTurnedDown) {
  ControlLog log;
  std::vector<Change> all;
  for (std::size_t i = 0; i < load_balancing::kMaxTenants; ++i)
    all.push_back(tenant("t" + std::to_string(i), 1));
  log.publish(all);
  Store store(startSettings());
  const Result result = sync(log, store);  // and the two of the start have places too
  EXPECT_EQ(result.verdict, Verdict::refused);
  EXPECT_EQ(result.problems.size(), 2u);
  EXPECT_NE(describe(result.problems).find("is one more than the 131072 names that fit"), std::string::npos);
}

// Hard case: an hour apart with 70 changes, caught up by changes; and by the whole where the log was
// compacted.
TEST(Store, AnHourApartIsCaughtUpByChangesOrByTheWhole) {
  for (const std::size_t kept : {std::size_t{1000}, std::size_t{10}}) {
    ControlLog log({1, kept, 0});
    Store store(startSettings());
    std::vector<Change> all;
    for (int i = 0; i < 2000; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
    log.publish(all);
    sync(log, store);
    const std::uint64_t wholes = log.wholes();
    for (int i = 0; i < 70; ++i) log.publish({tenant("t" + std::to_string(i), 2)});
    const Update update = *answerTo(log, store);
    EXPECT_EQ(update.whole, kept == 10);
    EXPECT_EQ(update.changes.size(), kept == 10 ? 2000u : 70u);
    EXPECT_EQ(store.apply(update).verdict, Verdict::taken);
    EXPECT_EQ(store.position().hash, log.hash());
    EXPECT_EQ(log.wholes() - wholes, kept == 10 ? 1u : 0u);
  }
}

// Hard case: 1,600 changes in a minute are one answer to whoever asks after them.
TEST(Store, ManyChangesAreCoalesced) {
  ControlLog log({1, 2000, 0});
  Store store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  for (int i = 0; i < 1600; ++i) log.publish({tenant("t" + std::to_string(i % 40), i)});
  const Update update = *answerTo(log, store);
  EXPECT_EQ(update.changes.size(), 40u);
  EXPECT_EQ(store.apply(update).verdict, Verdict::taken);
  EXPECT_EQ(store.position().version.revision, 1601u);
}

TEST(Store, ItsTextIsAnUpdateThatLeadsToTheSameSet) {
  ControlLog log;
  Store store(startSettings());
  log.publish({tenant("a b/c\"\\", 0.1), tenant("x", 1e9), classOf("read", 0.3, 123, 0.25)});
  sync(log, store);
  Store again(startSettings());
  EXPECT_EQ(again.apply(parseUpdate(store.text())).verdict, Verdict::taken);
  EXPECT_EQ(again.position().hash, store.position().hash);
  EXPECT_EQ(again.position().version, store.position().version);
}

TEST(Poll, WhatIsToldIsReadBack) {
  Poll poll;
  poll.gateway = "n 1&x=%+";
  poll.position = {{3, 41}, 0xabc, false, Position::TurnedDown{{3, 42}, 7, "tenant/a&b: bad = 100%"}};
  poll.wait = std::chrono::seconds(1);
  const auto read = parsePollTarget(pollTarget(poll));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->gateway, poll.gateway);
  EXPECT_EQ(read->position.version, poll.position.version);
  EXPECT_EQ(read->position.hash, poll.position.hash);
  EXPECT_FALSE(read->position.wantsWhole);
  EXPECT_EQ(read->wait, poll.wait);
  ASSERT_TRUE(read->position.turnedDown);
  EXPECT_EQ(read->position.turnedDown->version, (Version{3, 42}));
  EXPECT_EQ(read->position.turnedDown->reason, "tenant/a&b: bad = 100%");
  poll.position.wantsWhole = true;
  EXPECT_TRUE(parsePollTarget(pollTarget(poll))->position.wantsWhole);
}

TEST(Poll, OtherCallsAreNone) {
  for (const char* target : {"/configuration", "/other?gateway=a", "/configuration?gateway=a&epoch=1",
                             "/configuration?gateway=a&epoch=x&hash=0&timeout_ms=1&since=1",
                             "/configuration?gateway=a&epoch=1&hash=0&timeout_ms=1&since=1&in_force=1",
                             "/configuration?gateway=a&epoch=1&hash=0&timeout_ms=1&since=1&refused=1.2",
                             "/configuration?gateway=%&epoch=1&hash=0&timeout_ms=1&since=1"})
    EXPECT_FALSE(parsePollTarget(target)) << target;
}

// Model test: replicas with writers that are replaced, updates that come late, twice and in any order,
// machines that lag. What is in force is at each moment a version that was published, whole; it never goes
// back; and in the end all gateways have what the last writer published.
TEST(StoreModel, RandomOrdersLeadToWhatWasPublished) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    const auto below = [&](std::uint32_t n) { return engine() % n; };
    ControlLog log({1, 1 + below(8), 0});
    std::map<Version, std::map<std::string, double>> published;
    std::map<std::string, double> reference;
    Store store(startSettings());
    std::map<std::string, double> inForce = {{"acme", 10}, {"mill", 20}};
    std::vector<Update> late;
    Version last;
    for (int step = 0; step < 120; ++step) {
      if (below(12) == 0) {
        log.takeOver(log.version().epoch + 1);
        published[log.version()] = reference;
      }
      if (below(2) == 0) {
        std::map<std::string, Change> changes;
        for (std::uint32_t i = 0; i <= below(3); ++i) {
          const std::string name = "t" + std::to_string(below(6));
          const bool removed = below(4) == 0;
          const double quota = below(5);
          changes["tenant/" + name] = removed ? noTenant(name) : tenant(name, quota);
          if (removed) reference.erase(name);
          else reference[name] = quota;
        }
        std::vector<Change> list;
        for (const auto& [key, change] : changes) list.push_back(change);
        published[log.publish(list)] = reference;
      }
      if (const auto update = answerTo(log, store)) late.push_back(*update);
      if (late.empty()) continue;
      const std::size_t at = below(static_cast<std::uint32_t>(late.size()));
      const Result result = store.apply(late[at]);
      if (below(2) == 0) late.erase(late.begin() + static_cast<std::ptrdiff_t>(at));
      EXPECT_NE(result.verdict, Verdict::refused);
      if (result.verdict != Verdict::taken) continue;
      inForce = quotasOf(inForce, result.terms);
      EXPECT_GT(store.position().version, last);
      last = store.position().version;
      EXPECT_EQ(inForce, published.at(last));
    }
    for (int i = 0; i < 3 && answerTo(log, store); ++i) {
      const Result result = sync(log, store);
      inForce = quotasOf(inForce, result.terms);
    }
    EXPECT_EQ(inForce, reference);
    EXPECT_EQ(store.position().hash, log.hash());
  }
}

}  // namespace
}  // namespace finchstile::configuration::testing
