// Terms of classes and tenants that change while the balancer runs: checked, then taken over in one step.
// Nothing is decided here.
#include <cmath>
#include <stdexcept>

#include "policy/state.hpp"

namespace ridgeshift {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("ridgeshift terms: " + what);
}

void check(const Settings& settings, const Terms::ClassTerms& terms) {
  require(terms.index < settings.classes.size(), "there is no class " + std::to_string(terms.index));
  const ClassSettings& c = settings.classes[terms.index];
  require(terms.aim > Duration::zero() && terms.aim <= c.giveUp,
          "class " + c.name + ": aim must be above 0, and not above giveUp");
  require(std::isfinite(terms.worth) && terms.worth >= 0, "class " + c.name + ": worth must be 0 or more");
  require(terms.lateShare >= 0 && terms.lateShare <= 1, "class " + c.name + ": lateShare must lie in [0, 1]");
}

void check(const Terms::TenantTerms& terms) {
  const std::string name = "tenant " + std::to_string(terms.index);
  require(terms.index < kTenantsMost, name + " is beyond the " + std::to_string(kTenantsMost) + " that fit");
  require(std::isfinite(terms.quotaPerSecond) && terms.quotaPerSecond >= 0, name + ": bad quota");
}

}  // namespace

void takeTerms(State& state, const Terms& terms) {
  for (const auto& c : terms.classes) check(state.set, c);
  for (const auto& t : terms.tenants) check(t);
  for (const auto& c : terms.classes) {
    ClassSettings& set = state.classes[c.index].set;
    set.aim = c.aim;
    set.worth = c.worth;
    set.lateShare = c.lateShare;
    state.longestAim = std::max(state.longestAim, c.aim);
  }
  for (const auto& t : terms.tenants) {
    if (state.tenants.size() <= t.index) state.tenants.resize(t.index + 1);
    TenantState& tenant = state.tenants[t.index];
    // Without a quota nothing was taken from the bucket: it is full.
    if (tenant.quota <= 0) tenant.tokens = kQuotaBurst, tenant.filled = state.now;
    tenant.quota = t.quotaPerSecond;
  }
}

}  // namespace ridgeshift
