// Decides where a long-lived stream goes: to a host with few streams, within what each host and this gateway
// may hold and, where a rate is set, begin. Inputs are the streams held and the rates of the settings. Bounds
// of a host hold for the bank; each gateway keeps to its part, for a warming host to its capacity's part.
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

  // The gateway may hold another stream.
  bool hasGatewayCapacity() const { return settings_.maxStreams == 0 || streamCount_ < settings_.maxStreams; }

  // Streams have a rate of their own. Where they are all the traffic there is, a budget that is measured by
  // requests would allow a warming host next to none.
  bool limitsRate() const { return settings_.hostStreamRate > 0; }

  // The host may hold another stream, and its rate allows one now: clients whose streams ended together come
  // back together. Fills the host's token bucket. `startedAt` is the load balancer's start,
  // `capacityFraction` that of the host.
  bool hasCapacity(Host& host, double capacityFraction, Time startedAt, Time now) const;

  // Draws one of the candidates, those with fewer streams with a higher weight; kNone if there are none. All
  // of them are drawn from: after a deploy every stream would go to the emptiest host at once. Draws once for
  // each candidate.
  HostId choose(const HostRegistry& hosts, const std::vector<HostId>& candidates, RandomSource& random) const;

  void begin(HostRegistry& hosts, Attempt& attempt) {
    HostStreams& streams = hosts[attempt.host].streams;
    attempt.isStream = true;
    ++streams.count;
    ++streamCount_;
    streams.tokens -= 1;
  }
  // A call for an attempt that is no stream, or a second one, does nothing.
  void end(HostRegistry& hosts, Attempt& attempt) {
    if (!std::exchange(attempt.isStream, false)) return;
    --hosts[attempt.host].streams.count;
    --streamCount_;
  }

  std::size_t streamCount() const { return streamCount_; }  // that this gateway holds or is placing

 private:
  const Settings& settings_;
  std::size_t streamCount_ = 0;
};

}  // namespace finchstile::load_balancing
