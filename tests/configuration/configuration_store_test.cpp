// Acceptance of updates by order, epoch, hash and contents, and a reference model in random orders.
#include "configuration/configuration_store.hpp"

#include <map>
#include <random>

#include "configuration/documents.hpp"

namespace finchstile::configuration::testing {
namespace {

using fake_upstream::ControlLog;

// The text of an update with the given JSON entries.
std::string raw(Version version, const std::string& hash, bool whole, const std::string& entries) {
  return "{\"epoch\":" + std::to_string(version.epoch) + ",\"index\":" + std::to_string(version.revision) +
         ",\"snapshot\":" + (whole ? "true" : "false") + ",\"hash\":\"" + hash + "\",\"entries\":[" +
         entries + "]}";
}

// The quotas by tenant name after a change.
std::map<std::string, double> quotasAfter(std::map<std::string, double> before, const SettingsChange& terms) {
  for (const TenantChange& change : terms.tenants) {
    if (change.quotaPerSecond) before[change.name] = *change.quotaPerSecond;
    else before.erase(change.name);
  }
  return before;
}

TEST(ConfigurationStore, FirstVersionReplacesTenantsOfTheStartAndKeepsTheirIndexes) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("mill", 20), tenant("yard", 5), classOf("read", 3, 500)});
  const ApplyOutcome result = sync(log, store);
  ASSERT_EQ(result.result, ApplyResult::accepted);
  const auto quotas = quotasAfter({{"acme", 10}, {"mill", 20}}, result.change);
  EXPECT_EQ(quotas, (std::map<std::string, double>{{"mill", 20}, {"yard", 5}}));
  for (const TenantChange& change : result.change.tenants) {
    if (change.name == "yard") EXPECT_EQ(change.index, 2u);
    if (change.name == "acme") EXPECT_EQ(change.index, 0u);
  }
  ASSERT_EQ(result.change.classes.size(), 1u);
  EXPECT_EQ(result.change.classes[0].latencyObjective, std::chrono::milliseconds(500));
  EXPECT_EQ(store.versionState().hash, log.hash());
  EXPECT_EQ(store.tenantCount(), 2u);
}

TEST(ConfigurationStore, RemovedClassReturnsToTheSettingsOfTheStart) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({classOf("read", 3, 500)});
  sync(log, store);
  log.publish({{"class/read", std::nullopt}});
  const ApplyOutcome result = sync(log, store);
  ASSERT_EQ(result.result, ApplyResult::accepted);
  ASSERT_EQ(result.change.classes.size(), 1u);
  EXPECT_EQ(result.change.classes[0].latencyObjective, std::chrono::milliseconds(400));
  EXPECT_EQ(result.change.classes[0].priorityWeight, 12);
}

TEST(ConfigurationStore, ReportsRepeatedStaleAndMissingRevisions) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("a", 1)});
  const Update first = *nextUpdate(log, store);
  store.apply(first);
  log.publish({tenant("b", 2)});
  const Update second = *nextUpdate(log, store);
  EXPECT_EQ(store.apply(second).result, ApplyResult::accepted);
  EXPECT_EQ(store.apply(second).result, ApplyResult::unchanged);
  EXPECT_EQ(store.apply(first).result, ApplyResult::stale);
  // Changes that skip a revision lead to a hash other than theirs.
  ConfigurationStore other(startSettings());
  other.apply(first);
  log.publish({tenant("c", 3)});
  const Update third = *nextUpdate(log, store);
  EXPECT_EQ(other.apply(third).result, ApplyResult::gap);
  EXPECT_EQ(other.versionState().version, first.version);
  EXPECT_EQ(other.tenantCount(), 1u);
  EXPECT_TRUE(other.versionState().needsSnapshot);
  EXPECT_EQ(sync(log, other).result, ApplyResult::accepted);
  EXPECT_EQ(other.tenantCount(), 3u);
}

TEST(ConfigurationStore, ChangesBeforeAnySnapshotRequestASnapshot) {
  ConfigurationStore store(startSettings());
  const Update changes = parseUpdate(raw({1, 4}, "0000000000000000", false, ""));
  EXPECT_EQ(store.apply(changes).result, ApplyResult::gap);
  EXPECT_TRUE(store.versionState().needsSnapshot);
}

// A writer that was replaced continues to write.
TEST(ConfigurationStore, IgnoresLaterRevisionsOfAnOlderEpoch) {
  ControlLog old, next;
  old.publish({tenant("a", 1)});
  next.publish({tenant("a", 1)});
  ConfigurationStore store(startSettings());
  sync(old, store);
  next.takeOver(2);
  next.publish({tenant("a", 7)});
  EXPECT_EQ(sync(next, store).result, ApplyResult::accepted);
  for (int i = 0; i < 5; ++i) old.publish({tenant("a", 100)});  // higher revisions of the old epoch
  const Update late = parseUpdate(old.answer({"n0", {}, {}}, 0)->body);
  EXPECT_EQ(store.apply(late).result, ApplyResult::stale);
  EXPECT_EQ(store.versionState().version, (Version{2, 2}));
}

// A new writer may have lost the last revisions of the old one, so its snapshot counts in spite of a lower
// revision.
TEST(ConfigurationStore, AcceptsSnapshotOfALaterEpochWithALowerRevision) {
  ControlLog old, next;
  for (int i = 1; i <= 5; ++i) old.publish({tenant("a", i)});
  ConfigurationStore store(startSettings());
  sync(old, store);
  next.takeOver(2);
  next.publish({tenant("a", 3)});
  EXPECT_EQ(sync(next, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version, (Version{2, 1}));
  EXPECT_EQ(store.versionState().hash, next.hash());
}

TEST(ConfigurationStore, RejectsInvalidRevisionOnceWithAllItsErrors) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  log.publish({classOf("read", 1, 5000), classOf("write", 1, 100)});
  const ApplyOutcome bad = sync(log, store);
  EXPECT_EQ(bad.result, ApplyResult::rejected);
  ASSERT_EQ(bad.errors.size(), 2u);
  EXPECT_EQ(describe(bad.errors[0]),
            "class/read.aim_ms: must be at most 1000, the time after which its clients give up");
  EXPECT_EQ(describe(bad.errors[1]), "class/write: is no class of this gateway's configuration");
  EXPECT_EQ(store.versionState().version, (Version{1, 1}));
  // It is not sent again, and if it is, its errors are not reported again.
  EXPECT_FALSE(nextUpdate(log, store));
  const Update again =
      parseUpdate(log.answer({"n0", {{1, 1}, store.versionState().hash, false, {}}, {}}, 0)->body);
  EXPECT_EQ(store.apply(again).result, ApplyResult::rejected);
  EXPECT_TRUE(store.apply(again).errors.empty());
  log.publish({{"class/write", std::nullopt}, classOf("read", 1, 500), tenant("b", 2)});
  // Removing a class that this gateway does not have is an error too.
  EXPECT_EQ(sync(log, store).result, ApplyResult::rejected);
}

TEST(ConfigurationStore, AcceptsValidRevisionAfterARejectedOne) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  log.publish({classOf("read", 1, 5000)});
  EXPECT_EQ(sync(log, store).result, ApplyResult::rejected);
  log.publish({classOf("read", 1, 300)});
  EXPECT_EQ(sync(log, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version, (Version{1, 3}));
  EXPECT_FALSE(store.versionState().rejected);
}

TEST(ConfigurationStore, ReportsEveryErrorWithKeyFieldAndExpectation) {
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
  for (const ValidationError& problem : update.errors) lines.push_back(describe(problem));
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
  ConfigurationStore store(startSettings());
  EXPECT_EQ(store.apply(update).result, ApplyResult::rejected);
  EXPECT_EQ(store.tenantCount(), 2u);
}

TEST(ConfigurationStore, TruncatedUpdateChangesNothing) {
  ControlLog log;
  log.publish({tenant("a", 1), tenant("b", 2), classOf("read", 3, 500)});
  ConfigurationStore store(startSettings());
  const std::string text = log.answer({"n0", {}, {}}, 0)->body;
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(store.apply(parseUpdate(text.substr(0, length))), std::runtime_error) << length;
  }
  EXPECT_EQ(store.versionState().version, Version{});
  EXPECT_EQ(store.apply(parseUpdate(text)).result, ApplyResult::accepted);
}

TEST(ConfigurationStore, RejectsSnapshotWithAWrongHash) {
  ControlLog log;
  log.publish({tenant("a", 1)});
  log.miscount(1);
  ConfigurationStore store(startSettings());
  const ApplyOutcome result = sync(log, store);
  EXPECT_EQ(result.result, ApplyResult::rejected);
  ASSERT_EQ(result.errors.size(), 1u);
  EXPECT_EQ(result.errors[0].key, "hash");
  EXPECT_EQ(store.tenantCount(), 2u);
}

TEST(ConfigurationStore, ReportsConflictOfReplicasUntilTheNextRevision) {
  ControlLog one, other;
  one.publish({tenant("a", 1)});
  other.publish({tenant("a", 2)});
  ConfigurationStore store(startSettings());
  sync(one, store);
  const ApplyOutcome differs = sync(other, store);
  EXPECT_EQ(differs.result, ApplyResult::conflict);
  EXPECT_EQ(store.versionState().hash, one.hash());
  EXPECT_FALSE(nextUpdate(other, store));  // reported once
  other.publish({tenant("b", 5)});
  EXPECT_EQ(sync(other, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().hash, other.hash());
  EXPECT_EQ(other.wholes(), 2u);
}

TEST(ConfigurationStore, TenantAddedAgainKeepsItsIndex) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("acme", 10), tenant("mill", 20)});
  sync(log, store);
  log.publish({noTenant("acme"), tenant("new", 1)});
  const ApplyOutcome removed = sync(log, store);
  log.publish({tenant("acme", 30)});
  const ApplyOutcome back = sync(log, store);
  ASSERT_EQ(back.change.tenants.size(), 1u);
  EXPECT_EQ(back.change.tenants[0].index, 0u);
  for (const TenantChange& change : removed.change.tenants)
    if (change.name == "new")
      EXPECT_EQ(change.index, 2u);  // not that of the removed tenant, which may have active requests
}

TEST(ConfigurationStore, RejectsMoreTenantNamesThanFit) {
  ControlLog log;
  std::vector<DocumentChange> all;
  for (std::size_t i = 0; i < load_balancing::kMaxTenants; ++i)
    all.push_back(tenant("t" + std::to_string(i), 1));
  log.publish(all);
  ConfigurationStore store(startSettings());
  const ApplyOutcome result = sync(log, store);  // the two tenants of the start have indexes too
  EXPECT_EQ(result.result, ApplyResult::rejected);
  EXPECT_EQ(result.errors.size(), 2u);
  EXPECT_NE(describe(result.errors).find("is one more than the 131072 names that fit"), std::string::npos);
}

// After an hour with 70 changes, and after one in which the log was compacted.
TEST(ConfigurationStore, CatchesUpByChangesOrBySnapshot) {
  for (const std::size_t kept : {std::size_t{1000}, std::size_t{10}}) {
    ControlLog log({1, kept, 0});
    ConfigurationStore store(startSettings());
    std::vector<DocumentChange> all;
    for (int i = 0; i < 2000; ++i) all.push_back(tenant("t" + std::to_string(i), 1));
    log.publish(all);
    sync(log, store);
    const std::uint64_t wholes = log.wholes();
    for (int i = 0; i < 70; ++i) log.publish({tenant("t" + std::to_string(i), 2)});
    const Update update = *nextUpdate(log, store);
    EXPECT_EQ(update.isSnapshot, kept == 10);
    EXPECT_EQ(update.changes.size(), kept == 10 ? 2000u : 70u);
    EXPECT_EQ(store.apply(update).result, ApplyResult::accepted);
    EXPECT_EQ(store.versionState().hash, log.hash());
    EXPECT_EQ(log.wholes() - wholes, kept == 10 ? 1u : 0u);
  }
}

// 1,600 changes of 40 tenants are one response to the poll after them.
TEST(ConfigurationStore, CoalescesManyChanges) {
  ControlLog log({1, 2000, 0});
  ConfigurationStore store(startSettings());
  log.publish({tenant("a", 1)});
  sync(log, store);
  for (int i = 0; i < 1600; ++i) log.publish({tenant("t" + std::to_string(i % 40), i)});
  const Update update = *nextUpdate(log, store);
  EXPECT_EQ(update.changes.size(), 40u);
  EXPECT_EQ(store.apply(update).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version.revision, 1601u);
}

TEST(ConfigurationStore, SerializedSetIsAnUpdateThatLeadsToAnEqualSet) {
  ControlLog log;
  ConfigurationStore store(startSettings());
  log.publish({tenant("a b/c\"\\", 0.1), tenant("x", 1e9), classOf("read", 0.3, 123, 0.25)});
  sync(log, store);
  ConfigurationStore again(startSettings());
  EXPECT_EQ(again.apply(parseUpdate(store.serialize())).result, ApplyResult::accepted);
  EXPECT_EQ(again.versionState().hash, store.versionState().hash);
  EXPECT_EQ(again.versionState().version, store.versionState().version);
}

// Reference model with replaced writers, stale replicas, and updates that are late, repeated and reordered.
// The active set is always a published version, it never goes back, and in the end it is what the last writer
// published.
TEST(ConfigurationStoreModel, AnyOrderOfUpdatesLeadsToThePublishedSet) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    const auto below = [&](std::uint32_t n) { return engine() % n; };
    ControlLog log({1, 1 + below(8), 0});
    std::map<Version, std::map<std::string, double>> published;
    std::map<std::string, double> reference;
    ConfigurationStore store(startSettings());
    std::map<std::string, double> inForce = {{"acme", 10}, {"mill", 20}};
    std::vector<Update> delayed;
    Version last;
    for (int step = 0; step < 120; ++step) {
      if (below(12) == 0) {
        log.takeOver(log.version().epoch + 1);
        published[log.version()] = reference;
      }
      if (below(2) == 0) {
        std::map<std::string, DocumentChange> changes;
        for (std::uint32_t i = 0; i <= below(3); ++i) {
          const std::string name = "t" + std::to_string(below(6));
          const bool removed = below(4) == 0;
          const double quota = below(5);
          changes["tenant/" + name] = removed ? noTenant(name) : tenant(name, quota);
          if (removed) reference.erase(name);
          else reference[name] = quota;
        }
        std::vector<DocumentChange> list;
        for (const auto& [key, change] : changes) list.push_back(change);
        published[log.publish(list)] = reference;
      }
      if (const auto update = nextUpdate(log, store)) delayed.push_back(*update);
      if (delayed.empty()) continue;
      const std::size_t at = below(static_cast<std::uint32_t>(delayed.size()));
      const ApplyOutcome result = store.apply(delayed[at]);
      if (below(2) == 0) delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(at));
      EXPECT_NE(result.result, ApplyResult::rejected);
      if (result.result != ApplyResult::accepted) continue;
      inForce = quotasAfter(inForce, result.change);
      EXPECT_GT(store.versionState().version, last);
      last = store.versionState().version;
      EXPECT_EQ(inForce, published.at(last));
    }
    for (int i = 0; i < 3 && nextUpdate(log, store); ++i) {
      const ApplyOutcome result = sync(log, store);
      inForce = quotasAfter(inForce, result.change);
    }
    EXPECT_EQ(inForce, reference);
    EXPECT_EQ(store.versionState().hash, log.hash());
  }
}

}  // namespace
}  // namespace finchstile::configuration::testing
