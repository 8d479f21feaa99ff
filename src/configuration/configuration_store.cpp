#include "configuration/configuration_store.hpp"

#include <unordered_set>

namespace finchstile::configuration {

ConfigurationStore::ConfigurationStore(const load_balancing::Settings& initialSettings) {
  for (const auto& tenant : initialSettings.tenants) {
    tenants_.try_emplace(tenant.name, Tenant{usedTenantIndexes_, tenant.quotaPerSecond, 0, 0, true});
    ++usedTenantIndexes_;
  }
  listedTenants_ = tenants_.size();
  for (const auto& cls : initialSettings.classes) {
    classIndex_.emplace(cls.name, static_cast<std::uint32_t>(classes_.size()));
    classes_.push_back({cls, std::nullopt});
  }
}

// --- Acceptance

ApplyOutcome ConfigurationStore::apply(const Update& update) {
  if (auto decided = decideByVersion(update)) return std::move(*decided);
  auto errors = validate(update);
  if (!errors.empty()) return reject(update, ApplyResult::rejected, std::move(errors));

  const std::uint64_t hash = hashAfter(update);
  // Changes that are applied to a configuration other than the one they refer to would lead to a
  // configuration that was never published.
  if (!update.isSnapshot && (versionState_.version == Version{} || hash != update.hash)) {
    versionState_.needsSnapshot = true;
    ApplyOutcome outcome;
    outcome.result = ApplyResult::gap;
    return outcome;
  }
  if (hash != update.hash) {
    const std::string message =
        "is " + formatHash(update.hash) + ", and the entries have " + formatHash(hash);
    return reject(update, ApplyResult::rejected, {{"hash", "", message}});
  }

  // Nothing below can fail, so the update becomes active as a whole.
  ApplyOutcome outcome;
  outcome.result = ApplyResult::accepted;
  outcome.change.version = update.version;
  if (update.isSnapshot) ++acceptedSnapshots_;
  for (const DocumentChange& change : update.changes) applyChange(change, outcome.change);
  if (update.isSnapshot) removeOmitted(update, outcome.change);
  versionState_ = VersionState{update.version, update.hash, false, std::nullopt};
  return outcome;
}

// Returns the outcome if the version alone decides it; empty if the update is newer and has to be validated.
std::optional<ApplyOutcome> ConfigurationStore::decideByVersion(const Update& update) {
  const VersionState& state = versionState_;
  ApplyOutcome outcome;
  if (update.version < state.version) {
    outcome.result = ApplyResult::stale;
    return outcome;
  }
  const bool isActiveVersion = update.version == state.version && state.version != Version{};
  const bool wasRejected =
      state.rejected && state.rejected->version == update.version && state.rejected->hash == update.hash;
  if (wasRejected) {
    outcome.result = isActiveVersion ? ApplyResult::conflict : ApplyResult::rejected;
    return outcome;
  }
  if (!isActiveVersion) return std::nullopt;
  if (update.hash != state.hash)
    return reject(update, ApplyResult::conflict, {{"hash", "", "is not that of the version in force"}});
  versionState_.needsSnapshot = false;
  outcome.result = ApplyResult::unchanged;
  return outcome;
}

ApplyOutcome ConfigurationStore::reject(const Update& update, ApplyResult result,
                                        std::vector<ValidationError> errors) {
  if (result == ApplyResult::conflict) versionState_.needsSnapshot = false;
  versionState_.rejected = {update.version, update.hash, describe(errors)};
  ApplyOutcome outcome;
  outcome.result = result;
  outcome.errors = std::move(errors);
  return outcome;
}

// Returns all errors: those found while parsing, and those of entries that this gateway cannot apply.
std::vector<ValidationError> ConfigurationStore::validate(const Update& update) const {
  std::vector<ValidationError> errors = update.errors;
  std::size_t tenantIndexes = usedTenantIndexes_;
  for (const DocumentChange& change : update.changes) {
    if (!isTenantKey(change.key)) {
      validateClass(change, errors);
      continue;
    }
    const bool needsIndex = change.document && tenants_.count(nameInKey(change.key)) == 0;
    if (needsIndex && ++tenantIndexes > load_balancing::kMaxTenants)
      errors.push_back({change.key, "",
                        "is one more than the " + std::to_string(load_balancing::kMaxTenants) +
                            " names that fit; a restart forgets those removed"});
  }
  return errors;
}

void ConfigurationStore::validateClass(const DocumentChange& change,
                                       std::vector<ValidationError>& errors) const {
  const std::uint32_t* index = findClass(nameInKey(change.key));
  if (!index) {
    errors.push_back({change.key, "", "is no class of this gateway's configuration"});
    return;
  }
  if (!change.document) return;
  const auto clientTimeout = classes_[*index].initialSettings.clientTimeout;
  if (std::get<ClassDocument>(*change.document).latencyObjective <= clientTimeout) return;
  const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(clientTimeout).count();
  errors.push_back(
      {change.key, "aim_ms",
       "must be at most " + std::to_string(timeoutMs) + ", the time after which its clients give up"});
}

// --- Hashes

std::uint64_t ConfigurationStore::hashAfter(const Update& update) const {
  std::uint64_t hash = update.isSnapshot ? 0 : versionState_.hash;
  for (const DocumentChange& change : update.changes) {
    if (!update.isSnapshot) hash -= activeHash(change.key);
    if (change.document) hash += documentHash(*change.document);
  }
  return hash;
}

// Returns the hash of the active document under the key; 0 if there is none.
std::uint64_t ConfigurationStore::activeHash(const std::string& key) const {
  const std::string name = nameInKey(key);
  if (isTenantKey(key)) {
    const auto at = tenants_.find(name);
    return at != tenants_.end() && at->second.listed ? at->second.hash : 0;
  }
  const std::uint32_t* index = findClass(name);
  if (!index || !classes_[*index].document) return 0;
  return documentHash(*classes_[*index].document);
}

const std::uint32_t* ConfigurationStore::findClass(const std::string& name) const {
  const auto at = classIndex_.find(name);
  return at == classIndex_.end() ? nullptr : &at->second;
}

// --- Changes to the active configuration

void ConfigurationStore::applyChange(const DocumentChange& change, SettingsChange& out) {
  if (!isTenantKey(change.key)) {
    std::optional<ClassDocument> document;
    if (change.document) document = std::get<ClassDocument>(*change.document);
    setClass(*findClass(nameInKey(change.key)), document, out);
  } else if (change.document) {
    setTenant(std::get<TenantDocument>(*change.document), out);
  } else {
    removeTenant(nameInKey(change.key), out);
  }
}

void ConfigurationStore::setTenant(const TenantDocument& document, SettingsChange& out) {
  const auto [at, isNew] = tenants_.try_emplace(document.name, Tenant{usedTenantIndexes_});
  if (isNew) ++usedTenantIndexes_;
  Tenant& tenant = at->second;
  const bool unchanged = tenant.listed && tenant.quotaPerSecond == document.quotaPerSecond;
  if (!tenant.listed) ++listedTenants_;
  tenant.listed = true;
  tenant.quotaPerSecond = document.quotaPerSecond;
  tenant.hash = documentHash(document);
  tenant.snapshotCount = acceptedSnapshots_;
  if (!unchanged) out.tenants.push_back({tenant.index, document.name, document.quotaPerSecond});
}

// Keeps the index of the tenant, because active requests may still refer to it.
void ConfigurationStore::removeTenant(const std::string& name, SettingsChange& out) {
  const auto at = tenants_.find(name);
  if (at == tenants_.end() || !at->second.listed) return;
  at->second.listed = false;
  --listedTenants_;
  out.tenants.push_back({at->second.index, name, std::nullopt});
}

void ConfigurationStore::setClass(std::uint32_t index, const std::optional<ClassDocument>& document,
                                  SettingsChange& out) {
  Class& cls = classes_[index];
  cls.document = document;
  if (document) {
    out.classes.push_back(
        {index, document->latencyObjective, document->priorityWeight, document->lateValueFraction});
  } else {
    out.classes.push_back({index, cls.initialSettings.latencyObjective, cls.initialSettings.priorityWeight,
                           cls.initialSettings.lateValueFraction});
  }
}

// Handles the documents that a snapshot omits: their tenants are no longer listed, and their classes return
// to the initial settings.
void ConfigurationStore::removeOmitted(const Update& snapshot, SettingsChange& out) {
  std::unordered_set<std::string> includedClasses;
  for (const DocumentChange& change : snapshot.changes)
    if (!isTenantKey(change.key)) includedClasses.insert(nameInKey(change.key));
  for (std::uint32_t i = 0; i < classes_.size(); ++i) {
    const bool isIncluded = includedClasses.count(classes_[i].initialSettings.name) > 0;
    if (classes_[i].document && !isIncluded) setClass(i, std::nullopt, out);
  }
  for (const auto& [name, tenant] : tenants_)
    if (tenant.snapshotCount != acceptedSnapshots_) removeTenant(name, out);
}

std::string ConfigurationStore::serialize() const {
  std::vector<std::string> entries;
  entries.reserve(listedTenants_ + classes_.size());
  for (const auto& [name, tenant] : tenants_) {
    if (!tenant.listed) continue;
    const TenantDocument document{name, tenant.quotaPerSecond};
    entries.push_back(serializeEntry({std::string(kTenantPrefix) + name, document}));
  }
  for (const Class& cls : classes_) {
    if (!cls.document) continue;
    entries.push_back(serializeEntry({std::string(kClassPrefix) + cls.initialSettings.name, *cls.document}));
  }
  return serializeUpdate(versionState_.version, versionState_.hash, true, entries);
}

}  // namespace finchstile::configuration
