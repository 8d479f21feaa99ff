// Terms of classes and tenants that change while the balancer runs: checked, then taken over in one step.
// Nothing is decided here.
#include <cmath>
#include <stdexcept>

#include "policy/state.hpp"

namespace finchstile::load_balancing {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("load balancer settings change: " + what);
}

void check(const Settings& settings, const DynamicSettings::ClassUpdate& terms) {
  require(terms.index < settings.classes.size(), "there is no class " + std::to_string(terms.index));
  const ClassSettings& c = settings.classes[terms.index];
  require(terms.latencyObjective > Duration::zero() && terms.latencyObjective <= c.clientTimeout,
          "class " + c.name + ": aim must be above 0, and not above giveUp");
  require(std::isfinite(terms.priorityWeight) && terms.priorityWeight >= 0,
          "class " + c.name + ": worth must be 0 or more");
  require(terms.lateValueFraction >= 0 && terms.lateValueFraction <= 1,
          "class " + c.name + ": lateShare must lie in [0, 1]");
}

void check(const DynamicSettings::TenantUpdate& terms) {
  const std::string name = "tenant " + std::to_string(terms.index);
  require(terms.index < kMaxTenants, name + " is beyond the " + std::to_string(kMaxTenants) + " that fit");
  require(std::isfinite(terms.quotaPerSecond) && terms.quotaPerSecond >= 0, name + ": bad quota");
}

}  // namespace

void applyDynamicSettings(State& state, const DynamicSettings& terms) {
  for (const auto& c : terms.classes) check(state.set, c);
  for (const auto& t : terms.tenants) check(t);
  for (const auto& c : terms.classes) {
    ClassSettings& set = state.classes[c.index].set;
    set.latencyObjective = c.latencyObjective;
    set.priorityWeight = c.priorityWeight;
    set.lateValueFraction = c.lateValueFraction;
    state.longestAim = std::max(state.longestAim, c.latencyObjective);
  }
  for (const auto& t : terms.tenants) {
    if (state.tenants.size() <= t.index) state.tenants.resize(t.index + 1);
    TenantState& tenant = state.tenants[t.index];
    // Without a quota nothing was taken from the bucket: it is full.
    if (tenant.quota <= 0) tenant.tokens = kQuotaBurst, tenant.filled = state.now;
    tenant.quota = t.quotaPerSecond;
  }
}

}  // namespace finchstile::load_balancing
