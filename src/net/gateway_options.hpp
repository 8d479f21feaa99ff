// Options of the gateway's sockets that operators can set.
#pragma once

#include <chrono>
#include <cstddef>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

/// Time limits of client connections.
struct ClientConnectionOptions {
  /// How long a connection may be idle. Longer than clients and front proxies keep an unused connection.
  load_balancing::Duration idleTimeout = std::chrono::seconds(120);
  /// Time limit for the head of a request, and for its body beyond the transfer time on a slow link. For the
  /// first request it counts from the accept. A slower client would hold a descriptor without being served.
  load_balancing::Duration requestTimeout = std::chrono::milliseconds(2400);
  /// Maximum time without progress while a response is written.
  load_balancing::Duration writeTimeout = std::chrono::seconds(5);
};

/// Options of a gateway; the defaults apply where the operator sets nothing.
struct GatewayOptions {
  ClientConnectionOptions clients;
  /// Fractions of the descriptors that are neither the gateway's own nor reserved. The sum must not exceed
  /// 0.95.
  double clientDescriptorFraction = 0.5;
  double upstreamDescriptorFraction = 0.45;
  /// How long after SIGTERM connections are kept open, limited by drain::DrainPlan; later responses close
  /// them. A client whose connection is closed early may find no other gateway nearby.
  load_balancing::Duration drainServeTime = std::chrono::hours(1);
  /// Fraction of the descriptors that is available to neither clients nor hosts.
  double reservedDescriptorFraction = 0;
  /// Maximum number of concurrent connects to one host. Each connect costs the host as much as a small
  /// request.
  std::size_t maxConnectingPerHost = 4;
  /// Minimum time for which the last byte of a request is held back while its connection is verified. On a
  /// busy machine the peer process may need this time to run, even if the network needs none.
  load_balancing::Duration minVerificationTime = std::chrono::milliseconds(1);
  /// Minimum time between a response and the next request on the same connection; see ReuseDelay. A busy
  /// machine delays a response that its host repeats at once.
  load_balancing::Duration minReuseDelay = std::chrono::milliseconds(25);
};

}  // namespace finchstile
