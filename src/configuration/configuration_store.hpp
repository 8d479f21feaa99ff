// The active configuration of a gateway, and the rules for accepting updates. No I/O and no clock: the same
// updates in the same order lead to the same state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/update.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

// Outcome of applying an update.
enum class ApplyResult {
  accepted,   // the update is active now
  unchanged,  // its version was active already
  stale,      // older epoch or revision: the control machine lags behind or was fenced off
  gap,        // changes to a configuration other than the active one: a snapshot is requested next
  rejected,   // the update has errors: the last accepted version stays active
  conflict,   // active version with different contents: replicas have diverged, the active one stays
};

// New setting of one tenant. An index is never reused for another name.
struct TenantChange {
  std::uint32_t index = 0;  // index of the tenant in the load balancer
  std::string name;
  std::optional<double> quotaPerSecond;  // empty: the tenant is no longer listed
};

// Changes that the gateway applies in one step.
struct SettingsChange {
  Version version;
  std::vector<TenantChange> tenants;
  std::vector<load_balancing::DynamicSettings::ClassUpdate> classes;
};

struct ApplyOutcome {
  ApplyResult result = ApplyResult::unchanged;
  std::vector<ValidationError> errors;  // of an update that is rejected or conflicting for the first time
  SettingsChange change;                // of an accepted update
};

class ConfigurationStore {
 public:
  // `initialSettings` contain the tenants and classes that are active until a version is accepted.
  explicit ConfigurationStore(const load_balancing::Settings& initialSettings);

  // Applies the whole update, or changes nothing but the version state. If a rejected version is received
  // again, the result is the same but without errors, because they have been reported already.
  ApplyOutcome apply(const Update& update);

  const VersionState& versionState() const { return versionState_; }
  std::size_t tenantCount() const { return listedTenants_; }
  // The active configuration as the text of a snapshot update, readable by `parseUpdate`.
  std::string serialize() const;

 private:
  struct Tenant {
    std::uint32_t index = 0;
    double quotaPerSecond = 0;
    std::uint64_t hash = 0;           // of its document; 0: it is from the initial settings
    std::uint32_t snapshotCount = 0;  // value of `acceptedSnapshots_` when the tenant was last set
    bool listed = false;              // false: removed, only the index is kept
  };
  struct Class {
    load_balancing::ClassSettings initialSettings;
    std::optional<ClassDocument> document;  // empty: the initial settings are active
  };

  std::optional<ApplyOutcome> decideByVersion(const Update& update);
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
  void removeOmitted(const Update& snapshot, SettingsChange& out);

  std::unordered_map<std::string, Tenant> tenants_;
  std::vector<Class> classes_;
  std::unordered_map<std::string, std::uint32_t> classIndex_;
  std::uint32_t usedTenantIndexes_ = 0;
  std::size_t listedTenants_ = 0;
  std::uint32_t acceptedSnapshots_ = 0;
  VersionState versionState_;
};

}  // namespace finchstile::configuration
