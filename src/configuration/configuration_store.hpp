// The configuration that is active at one gateway, and the rules by which an update is accepted. No I/O and
// no clock: equal updates in equal order lead to equal states.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/update.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

// What became of an update.
enum class ApplyResult {
  accepted,   // it is active now
  unchanged,  // its version is active already
  stale,      // of an older epoch or revision: its sender lags behind, or was fenced off
  gap,        // changes to a set that is not the active one: a snapshot is requested next
  rejected,   // it has errors: the last accepted version stays active
  conflict,   // the active version with other contents: replicas differ, ours stays active
};

// The setting of one tenant from now on. An index is never reused for another name.
struct TenantChange {
  std::uint32_t index = 0;  // into the load balancer's tenants
  std::string name;
  std::optional<double> quotaPerSecond;  // empty: the tenant is no longer listed
};

// What the gateway applies in one step.
struct SettingsChange {
  Version version;
  std::vector<TenantChange> tenants;
  std::vector<load_balancing::DynamicSettings::ClassUpdate> classes;
};

struct ApplyOutcome {
  ApplyResult result = ApplyResult::unchanged;
  std::vector<ValidationError> errors;  // of an update that is rejected or in conflict for the first time
  SettingsChange change;                // of an accepted update
};

class ConfigurationStore {
 public:
  // Starts with the tenants and classes of the gateway's own configuration, before any version.
  explicit ConfigurationStore(const load_balancing::Settings& start);

  // Accepts the update as a whole or changes nothing but the version state. A rejected version that comes
  // again gives the same result without errors: they were reported before.
  ApplyOutcome apply(const Update& update);

  const VersionState& versionState() const { return versionState_; }
  std::size_t tenantCount() const { return listedTenants_; }
  // The active set as the text of a snapshot update, which `parseUpdate` reads.
  std::string serialize() const;

 private:
  struct Tenant {
    std::uint32_t index = 0;
    double quotaPerSecond = 0;
    std::uint64_t hash = 0;           // of its document; 0: it comes from the gateway's own configuration
    std::uint32_t snapshotCount = 0;  // `acceptedSnapshots_` when it was last set
    bool listed = false;              // otherwise only its index is kept
  };
  struct Class {
    load_balancing::ClassSettings start;
    std::optional<ClassDocument> document;  // empty: the settings of the start are active
  };

  std::optional<ApplyOutcome> settleByVersion(const Update& update);
  ApplyOutcome reject(const Update& update, ApplyResult result, std::vector<ValidationError> errors);
  std::vector<ValidationError> validate(const Update& update) const;
  void validateClass(const DocumentChange& change, std::vector<ValidationError>& errors) const;
  std::uint64_t hashAfter(const Update& update) const;
  std::uint64_t activeHash(const std::string& key) const;
  const std::uint32_t* findClass(const std::string& name) const;

  void applyChange(const DocumentChange& change, SettingsChange& out);
  void setTenant(const TenantDocument& document, SettingsChange& out);
  void removeTenant(const std::string& name, SettingsChange& out);
  void setClass(std::uint32_t index, const std::optional<ClassDocument>& document, SettingsChange& out);
  void removeUnnamed(const Update& snapshot, SettingsChange& out);

  std::unordered_map<std::string, Tenant> tenants_;
  std::vector<Class> classes_;
  std::unordered_map<std::string, std::uint32_t> classIndex_;
  std::uint32_t usedTenantIndexes_ = 0;
  std::size_t listedTenants_ = 0;
  std::uint32_t acceptedSnapshots_ = 0;
  VersionState versionState_;
};

}  // namespace finchstile::configuration
