#include "policy/dynamic_settings.hpp"

#include <cmath>
#include <stdexcept>
#include <string>

namespace finchstile::load_balancing {
namespace {

// Error messages use the setting names of the configuration file.
void require(bool isValid, const std::string& problem) {
  if (!isValid) throw std::invalid_argument("load balancer settings change: " + problem);
}

void validate(const Settings& settings, const DynamicSettings::ClassUpdate& update) {
  require(update.index < settings.classes.size(), "there is no class " + std::to_string(update.index));
  const ClassSettings& classSettings = settings.classes[update.index];
  require(
      update.latencyObjective > Duration::zero() && update.latencyObjective <= classSettings.clientTimeout,
      "class " + classSettings.name + ": aim must be above 0, and not above giveUp");
  require(std::isfinite(update.priorityWeight) && update.priorityWeight >= 0,
          "class " + classSettings.name + ": worth must be 0 or more");
  require(update.lateValueFraction >= 0 && update.lateValueFraction <= 1,
          "class " + classSettings.name + ": lateShare must lie in [0, 1]");
}

void validate(const DynamicSettings::TenantUpdate& update) {
  const std::string name = "tenant " + std::to_string(update.index);
  require(update.index < kMaxTenants, name + " is beyond the " + std::to_string(kMaxTenants) + " that fit");
  require(std::isfinite(update.quotaPerSecond) && update.quotaPerSecond >= 0, name + ": bad quota");
}

}  // namespace

void applyDynamicSettings(Time now, const Settings& settings, const DynamicSettings& update,
                          TrafficStatistics& traffic, AdmissionController& admission, LoadProbing& probing) {
  for (const DynamicSettings::ClassUpdate& classUpdate : update.classes) validate(settings, classUpdate);
  for (const DynamicSettings::TenantUpdate& tenantUpdate : update.tenants) validate(tenantUpdate);
  for (const DynamicSettings::ClassUpdate& classUpdate : update.classes) {
    ClassSettings& current = traffic.classes()[classUpdate.index].settings;
    current.latencyObjective = classUpdate.latencyObjective;
    current.priorityWeight = classUpdate.priorityWeight;
    current.lateValueFraction = classUpdate.lateValueFraction;
    probing.onLatencyObjective(classUpdate.latencyObjective);
  }
  for (const DynamicSettings::TenantUpdate& tenantUpdate : update.tenants)
    admission.setQuota(now, tenantUpdate.index, tenantUpdate.quotaPerSecond);
}

}  // namespace finchstile::load_balancing
