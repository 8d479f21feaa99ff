// The configuration in force at one gateway, and what becomes of it when an update comes. No I/O and no
// clock: the same updates in the same order lead to the same state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration/update.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

// What an update led to.
enum class Verdict {
  taken,      // in force now
  unchanged,  // the version that is in force already
  behind,     // of an older epoch, or an older revision of ours: whoever sent it lags, or was fenced off
  gap,        // changes to a set that we do not have: the whole is asked for next
  refused,    // something in it is wrong: the last good version stays in force
  conflict,   // the version in force, with other contents: the replicas differ; ours stays in force
};
const char* describe(Verdict verdict);

// What a tenant's place in the module means from now on. A place is never given to another name.
struct TenantChange {
  std::uint32_t index = 0;
  std::string name;
  std::optional<double> quotaPerSecond;  // none: the tenant is not listed any more
};

// What the gateway takes over in one step.
struct SettingsChange {
  Version version;
  std::vector<TenantChange> tenants;
  std::vector<load_balancing::DynamicSettings::ClassUpdate> classes;
};

struct Result {
  Verdict verdict = Verdict::unchanged;
  std::vector<Problem> problems;  // of one that was refused
  SettingsChange terms;           // of one that was taken
};

// What a poll tells: the version in force, and one that was turned down and is not to be sent again.
struct Position {
  Version version;
  std::uint64_t hash = 0;
  bool wantsWhole = true;
  struct TurnedDown {
    Version version;
    std::uint64_t hash = 0;
    std::string reason;
  };
  std::optional<TurnedDown> turnedDown;
};

class Store {
 public:
  // Begins with the tenants and classes of the start's configuration, before any version.
  explicit Store(const load_balancing::Settings& start);

  Result apply(const Update& update);
  const Position& position() const { return position_; }
  std::size_t tenants() const { return listed_; }
  // The set in force as an update: what is written to disk and read back at a start.
  std::string text() const;

 private:
  struct Tenant {
    std::uint32_t index = 0;
    double quotaPerSecond = 0;
    std::uint64_t hash = 0;   // of its document
    std::uint32_t whole = 0;  // the count of wholes when it was last named
    bool listed = false;      // else its place is kept, and it has no terms
  };
  struct Class {
    load_balancing::ClassSettings start;
    std::optional<ClassDocument> document;  // none: the terms of the start hold
  };

  bool isNewer(const Update& update, Result& result);
  void check(const Update& update, std::vector<Problem>& problems) const;
  std::uint64_t hashAfter(const Update& update) const;
  Result turnDown(const Update& update, Verdict verdict, std::vector<Problem> problems);
  void take(const Change& change, SettingsChange& terms);
  void setTenant(const TenantDocument& document, SettingsChange& terms);
  void removeTenant(const std::string& name, SettingsChange& terms);
  void setClass(std::uint32_t index, const std::optional<ClassDocument>& document, SettingsChange& terms);
  void removeUnnamed(const Update& whole, SettingsChange& terms);
  std::uint64_t hashOfKey(const std::string& key) const;
  const std::uint32_t* classIndex(const std::string& name) const;

  std::unordered_map<std::string, Tenant> tenants_;
  std::vector<Class> classes_;
  std::unordered_map<std::string, std::uint32_t> classIndex_;
  std::uint32_t places_ = 0;  // of tenants, given out so far
  std::size_t listed_ = 0;
  std::uint32_t wholes_ = 0;  // taken so far
  Position position_;
};

}  // namespace finchstile::configuration
