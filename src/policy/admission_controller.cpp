#include "policy/admission_controller.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "policy/duration_math.hpp"
#include "policy/learned_value.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kMinQuotaBurst = 4;  // requests; one second of a small quota is less than one token
// Weights within these factors or this distance of each other belong to the same level.
constexpr double kSameLevelMinFactor = 0.999;
constexpr double kSameLevelMaxFactor = 1.001;
constexpr double kSameLevelDistance = 1e-12;
constexpr double kMinRecentRequests = 0.01;

}  // namespace

AdmissionController::AdmissionController(const Settings& settings, Time now) : settings_(settings) {
  for (const TenantSettings& tenant : settings.tenants)
    tenants_.push_back({tenant.quotaPerSecond, kMinQuotaBurst, now});
}

double AdmissionController::priorityWeight(Time now, const ActiveRequest& request, double classWeight,
                                           std::uint32_t tenantIndex) {
  double weight = classWeight * (now >= request.objectiveAt ? request.lateValueFraction : 1);
  if (tenantIndex >= tenants_.size() || tenants_[tenantIndex].quotaPerSecond <= 0) return weight;
  Tenant& tenant = tenants_[tenantIndex];
  const double ownQuota = tenant.quotaPerSecond / settings_.gatewayCount;
  tenant.tokens = std::min(tenant.tokens + toSeconds(now - tenant.filledAt) * ownQuota,
                           std::max(ownQuota, kMinQuotaBurst));
  tenant.filledAt = now;
  if (tenant.tokens >= 1) tenant.tokens -= 1;
  else weight *= settings_.overQuotaWeightFactor;
  return weight;
}

double AdmissionController::score(double priorityWeight, RandomSource& random) {
  std::size_t level = 0;
  while (level < levels_.size() && levels_[level].weight < priorityWeight * kSameLevelMinFactor) ++level;
  if (level == levels_.size() ||
      levels_[level].weight > priorityWeight * kSameLevelMaxFactor + kSameLevelDistance)
    levels_.insert(levels_.begin() + static_cast<std::ptrdiff_t>(level), PriorityLevel{priorityWeight, 0});
  levels_[level].recentRequests += 1;
  double below = 0;
  double all = 0;
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    all += levels_[i].recentRequests;
    if (i < level) below += levels_[i].recentRequests;
  }
  return 1 + 99 * (below + random.unit() * levels_[level].recentRequests) / all;
}

Duration AdmissionController::retryAfter(const ActiveRequest& request, RandomSource& random) const {
  if (request.isStream && settings_.streamRetrySpread > Duration{})
    return scaled(settings_.streamRetrySpread, 0.1 + 0.9 * random.unit());
  if (!settings_.retryAfterEnabled) return {};
  return scaled(settings_.maxRetryAfter, (1 - request.score / 100) * (0.5 + 0.5 * random.unit()));
}

double AdmissionController::highestPriorityWeight(double own) const {
  return levels_.empty() ? own : std::max(levels_.back().weight, own);
}

void AdmissionController::setQuota(Time now, std::uint32_t tenantIndex, double quotaPerSecond) {
  if (tenants_.size() <= tenantIndex) tenants_.resize(tenantIndex + 1);
  Tenant& tenant = tenants_[tenantIndex];
  // Without a quota no tokens were taken: the bucket starts full.
  if (tenant.quotaPerSecond <= 0) {
    tenant.tokens = kMinQuotaBurst;
    tenant.filledAt = now;
  }
  tenant.quotaPerSecond = quotaPerSecond;
}

void AdmissionController::sweep() {
  for (PriorityLevel& level : levels_) level.recentRequests *= 1 - kSlowGain;
  levels_.erase(
      std::remove_if(levels_.begin(), levels_.end(),
                     [](const PriorityLevel& level) { return level.recentRequests < kMinRecentRequests; }),
      levels_.end());
}

void AdmissionController::capture(LearnedState& learned) const {
  for (const PriorityLevel& level : levels_)
    learned.priorityLevels.push_back({level.weight, level.recentRequests});
}

void AdmissionController::restore(const LearnedState& learned) {
  std::vector<PriorityLevel> levels;
  for (const LearnedState::PriorityLevel& from : learned.priorityLevels) {
    const double recentRequests = valueWithin(from.recentRequests, 0, 1e12, -1);
    const bool isOrdered = levels.empty() || from.priorityWeight > levels.back().weight;
    if (recentRequests < 0 || !std::isfinite(from.priorityWeight) || !isOrdered) return;
    levels.push_back({from.priorityWeight, recentRequests});
  }
  if (!levels.empty()) levels_ = std::move(levels);
}

}  // namespace finchstile::load_balancing
