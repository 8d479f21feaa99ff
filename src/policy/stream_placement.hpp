// Chooses the host of a long-lived stream: one with few streams, within the limits on open streams per host
// and gateway and, if set, on the rate of new streams per host. Limits per host apply to the whole cluster:
// each gateway uses an equal share of them, reduced for a warming host in proportion to its capacity.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/host_registry.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class StreamPlacement {
 public:
  // `settings` must outlive this.
  explicit StreamPlacement(const Settings& settings) : settings_(settings) {}

  // Whether the gateway may open another stream.
  bool hasGatewayCapacity() const { return settings_.maxStreams == 0 || streamCount_ < settings_.maxStreams; }

  // Whether new streams have their own rate limit. If all traffic is streams, the slow-start budget, which is
  // derived from the rate of answers, would allow a warming host almost none.
  bool limitsRate() const { return settings_.hostStreamRate > 0; }

  // Whether the limits of the host allow another stream now. The rate limit spreads clients that reconnect
  // together because their streams ended together. Refills the host's token bucket. `capacityFraction` is
  // that of the host, `startedAt` the start of the load balancer.
  bool hasCapacity(Host& host, double capacityFraction, Time startedAt, Time now) const;

  // Draws one of the candidates, with a higher weight for fewer streams; kNone if there are none. Always
  // taking the host with the fewest streams would send every stream after a deploy to the emptiest one. Draws
  // one random number per candidate.
  HostId choose(const HostRegistry& hosts, const std::vector<HostId>& candidates, RandomSource& random) const;

  void begin(HostRegistry& hosts, Attempt& attempt) {
    HostStreams& streams = hosts[attempt.host].streams;
    attempt.isStream = true;
    ++streams.count;
    ++streamCount_;
    streams.tokens -= 1;
  }
  // Does nothing for an attempt that is not a stream, or that has already ended.
  void end(HostRegistry& hosts, Attempt& attempt) {
    if (!std::exchange(attempt.isStream, false)) return;
    --hosts[attempt.host].streams.count;
    --streamCount_;
  }

  std::size_t streamCount() const { return streamCount_; }  // open or being established

 private:
  const Settings& settings_;
  std::size_t streamCount_ = 0;
};

}  // namespace finchstile::load_balancing
