// Decides how much a request is worth and whether it is admitted: a request whose score lies below the
// cutoff is rejected unsent, with a Retry-After. Inputs are the class's priority weight, the tenant's quota
// and the cutoff (overload_estimator.hpp).
//
// The score, 1 to 100, is the request's rank in the recent traffic, so a cutoff of c rejects about c per
// cent. A draw spreads each priority level over a band of its own: equal weight shares the loss, and more
// weight is never rejected first.
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

  // The weight that a request can still earn: its class's, less what is lost by lateness and beyond the
  // tenant's quota. Takes a token of the tenant.
  double priorityWeight(Time now, const ActiveRequest& request, double classWeight,
                        std::uint32_t tenantIndex);
  // Counts a request of this weight and returns its score. Draws once.
  double score(double priorityWeight, RandomSource& random);
  static bool admits(double score, double cutoff) { return !(score < cutoff); }

  // What a rejected client is told to wait; zero: nothing. It grows as the score falls and is jittered, or
  // all would come back at once. Draws at most once.
  Duration retryAfter(const ActiveRequest& request, RandomSource& random) const;

  // The highest weight in the recent traffic, `own` among it.
  double highestPriorityWeight(double own) const;

  // A quota changes, or a tenant is new. The quota must have been checked.
  void setQuota(Time now, std::uint32_t tenantIndex, double quotaPerSecond);

  void sweep();  // fades the counts of the priority levels

  void capture(LearnedState& learned) const;
  void restore(const LearnedState& learned);

 private:
  // Requests of one weight.
  struct PriorityLevel {
    double weight = 0;
    double recentRequests = 0;  // decayed count
  };
  // A token bucket that is filled when it is used: filling all of them at each request would cost more than
  // the request.
  struct Tenant {
    double quotaPerSecond = 0;  // over all gateways; 0: none
    double tokens = 0;          // requests within the quota at once
    Time filledAt{};
  };

  const Settings& settings_;
  std::vector<Tenant> tenants_;
  std::vector<PriorityLevel> levels_;  // in the order of their weights
};

}  // namespace finchstile::load_balancing
