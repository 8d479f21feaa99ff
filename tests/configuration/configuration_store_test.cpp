// Acceptance of updates by order, epoch, hash and content, and a comparison with a reference model in random
// order.
#include "configuration/configuration_store.hpp"

#include <map>
#include <random>

#include "configuration/documents.hpp"

namespace finchstile::configuration::testing {
namespace {

using fake_upstream::ControlLog;

// The text of an update with the given JSON entries.
std::string updateText(Version version, const std::string& hash, bool snapshot, const std::string& entries) {
  return "{\"epoch\":" + std::to_string(version.epoch) + ",\"index\":" + std::to_string(version.revision) +
         ",\"snapshot\":" + (snapshot ? "true" : "false") + ",\"hash\":\"" + hash + "\",\"entries\":[" +
         entries + "]}";
}

// The quotas by tenant name after the change.
std::map<std::string, double> quotasAfter(std::map<std::string, double> initialQuotas,
                                          const SettingsChange& settingsChange) {
  for (const TenantChange& change : settingsChange.tenants) {
    if (change.quotaPerSecond) initialQuotas[change.name] = *change.quotaPerSecond;
    else initialQuotas.erase(change.name);
  }
  return initialQuotas;
}

TEST(ConfigurationStore, FirstVersionReplacesInitialTenantsAndKeepsTheirIndexes) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("mill", 20), tenantChange("yard", 5), classChange("read", 3, 500)});
  const ApplyOutcome result = applyNextUpdate(log, store);
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

TEST(ConfigurationStore, RemovedClassReturnsToItsInitialSettings) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({classChange("read", 3, 500)});
  applyNextUpdate(log, store);
  log.publish({{"class/read", std::nullopt}});
  const ApplyOutcome result = applyNextUpdate(log, store);
  ASSERT_EQ(result.result, ApplyResult::accepted);
  ASSERT_EQ(result.change.classes.size(), 1u);
  EXPECT_EQ(result.change.classes[0].latencyObjective, std::chrono::milliseconds(400));
  EXPECT_EQ(result.change.classes[0].priorityWeight, 12);
}

TEST(ConfigurationStore, ReportsRepeatedStaleAndMissingRevisions) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("a", 1)});
  const Update first = *nextUpdate(log, store);
  store.apply(first);
  log.publish({tenantChange("b", 2)});
  const Update second = *nextUpdate(log, store);
  EXPECT_EQ(store.apply(second).result, ApplyResult::accepted);
  EXPECT_EQ(store.apply(second).result, ApplyResult::unchanged);
  EXPECT_EQ(store.apply(first).result, ApplyResult::stale);
  // After a skipped revision the changes do not result in the expected hash.
  ConfigurationStore other(initialSettings());
  other.apply(first);
  log.publish({tenantChange("c", 3)});
  const Update third = *nextUpdate(log, store);
  EXPECT_EQ(other.apply(third).result, ApplyResult::gap);
  EXPECT_EQ(other.versionState().version, first.version);
  EXPECT_EQ(other.tenantCount(), 1u);
  EXPECT_TRUE(other.versionState().needsSnapshot);
  EXPECT_EQ(applyNextUpdate(log, other).result, ApplyResult::accepted);
  EXPECT_EQ(other.tenantCount(), 3u);
}

TEST(ConfigurationStore, ChangesBeforeAnySnapshotRequestASnapshot) {
  ConfigurationStore store(initialSettings());
  const Update changes = parseUpdate(updateText({1, 4}, "0000000000000000", false, ""));
  EXPECT_EQ(store.apply(changes).result, ApplyResult::gap);
  EXPECT_TRUE(store.versionState().needsSnapshot);
}

// A writer that has been replaced continues to publish.
TEST(ConfigurationStore, IgnoresLaterRevisionsOfAnOlderEpoch) {
  ControlLog oldWriter, newWriter;
  oldWriter.publish({tenantChange("a", 1)});
  newWriter.publish({tenantChange("a", 1)});
  ConfigurationStore store(initialSettings());
  applyNextUpdate(oldWriter, store);
  newWriter.changeEpoch(2);
  newWriter.publish({tenantChange("a", 7)});
  EXPECT_EQ(applyNextUpdate(newWriter, store).result, ApplyResult::accepted);
  for (int i = 0; i < 5; ++i)
    oldWriter.publish({tenantChange("a", 100)});  // higher revisions of the old epoch
  const Update staleUpdate = parseUpdate(oldWriter.answer({"n0", {}, {}}, 0)->body);
  EXPECT_EQ(store.apply(staleUpdate).result, ApplyResult::stale);
  EXPECT_EQ(store.versionState().version, (Version{2, 2}));
}

// A new writer may have lost the last revisions of the old one, so its snapshot is accepted in spite of a
// lower revision.
TEST(ConfigurationStore, AcceptsSnapshotOfALaterEpochWithALowerRevision) {
  ControlLog oldWriter, newWriter;
  for (int i = 1; i <= 5; ++i) oldWriter.publish({tenantChange("a", i)});
  ConfigurationStore store(initialSettings());
  applyNextUpdate(oldWriter, store);
  newWriter.changeEpoch(2);
  newWriter.publish({tenantChange("a", 3)});
  EXPECT_EQ(applyNextUpdate(newWriter, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version, (Version{2, 1}));
  EXPECT_EQ(store.versionState().hash, newWriter.hash());
}

TEST(ConfigurationStore, RejectsInvalidRevisionOnceWithAllItsErrors) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("a", 1)});
  applyNextUpdate(log, store);
  log.publish({classChange("read", 1, 5000), classChange("write", 1, 100)});
  const ApplyOutcome rejection = applyNextUpdate(log, store);
  EXPECT_EQ(rejection.result, ApplyResult::rejected);
  ASSERT_EQ(rejection.errors.size(), 2u);
  EXPECT_EQ(describe(rejection.errors[0]),
            "class/read.aim_ms: must be at most 1000, the time after which its clients give up");
  EXPECT_EQ(describe(rejection.errors[1]), "class/write: is no class of this gateway's configuration");
  EXPECT_EQ(store.versionState().version, (Version{1, 1}));
  // The revision is not sent again, and if it is, its errors are not reported again.
  EXPECT_FALSE(nextUpdate(log, store));
  const Update again =
      parseUpdate(log.answer({"n0", {{1, 1}, store.versionState().hash, false, {}}, {}}, 0)->body);
  EXPECT_EQ(store.apply(again).result, ApplyResult::rejected);
  EXPECT_TRUE(store.apply(again).errors.empty());
  log.publish({{"class/write", std::nullopt}, classChange("read", 1, 500), tenantChange("b", 2)});
  // Removing a class that this gateway does not have is an error as well.
  EXPECT_EQ(applyNextUpdate(log, store).result, ApplyResult::rejected);
}

TEST(ConfigurationStore, AcceptsValidRevisionAfterARejectedOne) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("a", 1)});
  applyNextUpdate(log, store);
  log.publish({classChange("read", 1, 5000)});
  EXPECT_EQ(applyNextUpdate(log, store).result, ApplyResult::rejected);
  log.publish({classChange("read", 1, 300)});
  EXPECT_EQ(applyNextUpdate(log, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version, (Version{1, 3}));
  EXPECT_FALSE(store.versionState().rejected);
}

TEST(ConfigurationStore, ReportsEveryErrorWithKeyFieldAndExpectation) {
  const Update update =
      parseUpdate(updateText({1, 1}, "0000000000000000", true,
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
  for (const ValidationError& error : update.errors) lines.push_back(describe(error));
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
  ConfigurationStore store(initialSettings());
  EXPECT_EQ(store.apply(update).result, ApplyResult::rejected);
  EXPECT_EQ(store.tenantCount(), 2u);
}

TEST(ConfigurationStore, TruncatedUpdateChangesNothing) {
  ControlLog log;
  log.publish({tenantChange("a", 1), tenantChange("b", 2), classChange("read", 3, 500)});
  ConfigurationStore store(initialSettings());
  const std::string text = log.answer({"n0", {}, {}}, 0)->body;
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(store.apply(parseUpdate(text.substr(0, length))), std::runtime_error) << length;
  }
  EXPECT_EQ(store.versionState().version, Version{});
  EXPECT_EQ(store.apply(parseUpdate(text)).result, ApplyResult::accepted);
}

TEST(ConfigurationStore, RejectsSnapshotWithAWrongHash) {
  ControlLog log;
  log.publish({tenantChange("a", 1)});
  log.corruptHash(1);
  ConfigurationStore store(initialSettings());
  const ApplyOutcome result = applyNextUpdate(log, store);
  EXPECT_EQ(result.result, ApplyResult::rejected);
  ASSERT_EQ(result.errors.size(), 1u);
  EXPECT_EQ(result.errors[0].key, "hash");
  EXPECT_EQ(store.tenantCount(), 2u);
}

TEST(ConfigurationStore, ReportsConflictOfReplicasUntilTheNextRevision) {
  ControlLog one, other;
  one.publish({tenantChange("a", 1)});
  other.publish({tenantChange("a", 2)});
  ConfigurationStore store(initialSettings());
  applyNextUpdate(one, store);
  const ApplyOutcome differs = applyNextUpdate(other, store);
  EXPECT_EQ(differs.result, ApplyResult::conflict);
  EXPECT_EQ(store.versionState().hash, one.hash());
  EXPECT_FALSE(nextUpdate(other, store));  // a conflict is reported only once
  other.publish({tenantChange("b", 5)});
  EXPECT_EQ(applyNextUpdate(other, store).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().hash, other.hash());
  EXPECT_EQ(other.snapshotsSent(), 2u);
}

TEST(ConfigurationStore, TenantAddedAgainKeepsItsIndex) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("acme", 10), tenantChange("mill", 20)});
  applyNextUpdate(log, store);
  log.publish({tenantRemoval("acme"), tenantChange("new", 1)});
  const ApplyOutcome removed = applyNextUpdate(log, store);
  log.publish({tenantChange("acme", 30)});
  const ApplyOutcome readded = applyNextUpdate(log, store);
  ASSERT_EQ(readded.change.tenants.size(), 1u);
  EXPECT_EQ(readded.change.tenants[0].index, 0u);
  for (const TenantChange& change : removed.change.tenants)
    if (change.name == "new")
      EXPECT_EQ(change.index, 2u);  // not the index of the removed tenant, which may have active requests
}

TEST(ConfigurationStore, RejectsTenantNamesBeyondTheLimit) {
  ControlLog log;
  std::vector<DocumentChange> allTenants;
  for (std::size_t i = 0; i < load_balancing::kMaxTenants; ++i)
    allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
  log.publish(allTenants);
  ConfigurationStore store(initialSettings());
  const ApplyOutcome result = applyNextUpdate(log, store);  // the two initial tenants use indexes as well
  EXPECT_EQ(result.result, ApplyResult::rejected);
  EXPECT_EQ(result.errors.size(), 2u);
  EXPECT_NE(describe(result.errors).find("is one more than the 131072 names that fit"), std::string::npos);
}

// After 70 changes, once with all of them in the log and once after the log was compacted.
TEST(ConfigurationStore, CatchesUpByChangesOrBySnapshot) {
  for (const std::size_t retainedRevisions : {std::size_t{1000}, std::size_t{10}}) {
    ControlLog log({1, retainedRevisions, 0});
    ConfigurationStore store(initialSettings());
    std::vector<DocumentChange> allTenants;
    for (int i = 0; i < 2000; ++i) allTenants.push_back(tenantChange("t" + std::to_string(i), 1));
    log.publish(allTenants);
    applyNextUpdate(log, store);
    const std::uint64_t snapshotsBefore = log.snapshotsSent();
    for (int i = 0; i < 70; ++i) log.publish({tenantChange("t" + std::to_string(i), 2)});
    const Update update = *nextUpdate(log, store);
    EXPECT_EQ(update.isSnapshot, retainedRevisions == 10);
    EXPECT_EQ(update.changes.size(), retainedRevisions == 10 ? 2000u : 70u);
    EXPECT_EQ(store.apply(update).result, ApplyResult::accepted);
    EXPECT_EQ(store.versionState().hash, log.hash());
    EXPECT_EQ(log.snapshotsSent() - snapshotsBefore, retainedRevisions == 10 ? 1u : 0u);
  }
}

// 1,600 changes of 40 tenants are sent in one response to the next poll.
TEST(ConfigurationStore, CoalescesManyChanges) {
  ControlLog log({1, 2000, 0});
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("a", 1)});
  applyNextUpdate(log, store);
  for (int i = 0; i < 1600; ++i) log.publish({tenantChange("t" + std::to_string(i % 40), i)});
  const Update update = *nextUpdate(log, store);
  EXPECT_EQ(update.changes.size(), 40u);
  EXPECT_EQ(store.apply(update).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version.revision, 1601u);
}

TEST(ConfigurationStore, SerializedConfigurationIsAnUpdateToAnEqualConfiguration) {
  ControlLog log;
  ConfigurationStore store(initialSettings());
  log.publish({tenantChange("a b/c\"\\", 0.1), tenantChange("x", 1e9), classChange("read", 0.3, 123, 0.25)});
  applyNextUpdate(log, store);
  ConfigurationStore again(initialSettings());
  EXPECT_EQ(again.apply(parseUpdate(store.serialize())).result, ApplyResult::accepted);
  EXPECT_EQ(again.versionState().hash, store.versionState().hash);
  EXPECT_EQ(again.versionState().version, store.versionState().version);
}

// Compares with a reference model, with replaced writers, stale replicas, and updates that are delayed,
// repeated and reordered. The active configuration is always a published version, its version never
// decreases, and in the end it is the one published by the last writer.
TEST(ConfigurationStoreModel, RandomOrderOfUpdatesLeadsToThePublishedConfiguration) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    const auto randomBelow = [&](std::uint32_t n) { return engine() % n; };
    ControlLog log({1, 1 + randomBelow(8), 0});
    std::map<Version, std::map<std::string, double>> published;
    std::map<std::string, double> reference;
    ConfigurationStore store(initialSettings());
    std::map<std::string, double> activeQuotas = {{"acme", 10}, {"mill", 20}};
    std::vector<Update> delayed;
    Version lastVersion;
    for (int step = 0; step < 120; ++step) {
      if (randomBelow(12) == 0) {
        log.changeEpoch(log.version().epoch + 1);
        published[log.version()] = reference;
      }
      if (randomBelow(2) == 0) {
        std::map<std::string, DocumentChange> changes;
        for (std::uint32_t i = 0; i <= randomBelow(3); ++i) {
          const std::string name = "t" + std::to_string(randomBelow(6));
          const bool removed = randomBelow(4) == 0;
          const double quota = randomBelow(5);
          changes["tenant/" + name] = removed ? tenantRemoval(name) : tenantChange(name, quota);
          if (removed) reference.erase(name);
          else reference[name] = quota;
        }
        std::vector<DocumentChange> changeList;
        for (const auto& [key, change] : changes) changeList.push_back(change);
        published[log.publish(changeList)] = reference;
      }
      if (const auto update = nextUpdate(log, store)) delayed.push_back(*update);
      if (delayed.empty()) continue;
      const std::size_t at = randomBelow(static_cast<std::uint32_t>(delayed.size()));
      const ApplyOutcome result = store.apply(delayed[at]);
      if (randomBelow(2) == 0) delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(at));
      EXPECT_NE(result.result, ApplyResult::rejected);
      if (result.result != ApplyResult::accepted) continue;
      activeQuotas = quotasAfter(activeQuotas, result.change);
      EXPECT_GT(store.versionState().version, lastVersion);
      lastVersion = store.versionState().version;
      EXPECT_EQ(activeQuotas, published.at(lastVersion));
    }
    for (int i = 0; i < 3 && nextUpdate(log, store); ++i) {
      const ApplyOutcome result = applyNextUpdate(log, store);
      activeQuotas = quotasAfter(activeQuotas, result.change);
    }
    EXPECT_EQ(activeQuotas, reference);
    EXPECT_EQ(store.versionState().hash, log.hash());
  }
}

}  // namespace
}  // namespace finchstile::configuration::testing
