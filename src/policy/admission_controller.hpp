// Admission control by priority: scores each request, and rejects those whose score is below the cutoff
// before they are sent, with a Retry-After. Inputs are the priority weight of the class, the quota of the
// tenant and the cutoff (overload_estimator.hpp).
//
// The score, 1 to 100, is the request's rank by priority weight in the recent traffic, so a cutoff of c
// rejects about c percent of it. Within the band of its priority level the score is random: requests of equal
// weight share the rejections evenly, and a higher weight is never rejected before a lower one.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class AdmissionController {
 public:
  // `settings` must outlive this.
  AdmissionController(const Settings& settings, Time now);

  // The weight of the class, reduced if the request is already late and if its tenant exceeds its quota.
  // Takes a token from the tenant's bucket.
  double priorityWeight(Time now, const ActiveRequest& request, double classWeight,
                        std::uint32_t tenantIndex);
  // Counts a request of this weight and returns its score. Draws one random number.
  double score(double priorityWeight, RandomSource& random);
  static bool admits(double score, double cutoff) { return !(score < cutoff); }

  // Retry-After of a rejection; zero: none. It increases as the score decreases, with jitter, so that
  // rejected clients do not return all at once. Draws at most one random number.
  Duration retryAfter(const ActiveRequest& request, RandomSource& random) const;

  // The highest weight in the recent traffic, including `own`.
  double highestPriorityWeight(double own) const;

  // Changes a quota or adds a tenant. The caller has validated the quota.
  void setQuota(Time now, std::uint32_t tenantIndex, double quotaPerSecond);

  void sweep();  // decays the counts of the priority levels

  void capture(LearnedState& learned) const;
  void restore(const LearnedState& learned);

 private:
  // Recent requests of one weight.
  struct PriorityLevel {
    double weight = 0;
    double recentRequests = 0;  // decayed count
  };
  // A token bucket, refilled lazily on use: refilling the buckets of all tenants for each request would cost
  // more than the request itself.
  struct Tenant {
    double quotaPerSecond = 0;  // over all gateways; 0: none
    double tokens = 0;          // available requests within the quota
    Time filledAt{};
  };

  const Settings& settings_;
  std::vector<Tenant> tenants_;
  std::vector<PriorityLevel> levels_;  // in ascending order of weight
};

}  // namespace finchstile::load_balancing
