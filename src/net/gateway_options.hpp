// What an operator may set of the gateway's own sockets.
#pragma once

#include <chrono>
#include <cstddef>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

struct ClientConnectionOptions {
  /// Longer than clients and fronts keep a connection unused.
  load_balancing::Duration idleTimeout = std::chrono::seconds(120);
  /// For the head of a request, and for its body beyond the time that a slow line takes for it. The time of a
  /// first request counts from the accept. A client that is slower than that holds a descriptor for nothing.
  load_balancing::Duration requestTimeout = std::chrono::milliseconds(2400);
  /// In which a client takes nothing of its response.
  load_balancing::Duration writeTimeout = std::chrono::seconds(5);
};

struct GatewayOptions {
  ClientConnectionOptions clients;
  /// Fractions of the descriptors that are neither the gateway's own nor reserved; together at most 0.95.
  double clientDescriptorFraction = 0.5;
  double upstreamDescriptorFraction = 0.45;
  /// For so long after SIGTERM open connections are served on, limited by drain::DrainPlan; then responses
  /// close them. Where no other gateway is near, a client that is sent away at once finds none.
  load_balancing::Duration drainServeTime = std::chrono::hours(1);
  /// Of the descriptors, for neither clients nor hosts.
  double reservedDescriptorFraction = 0;
  /// Connections that are being opened to one host at once. Each costs the host as much as a small request.
  std::size_t maxConnectingPerHost = 4;
  /// The least time in which a connection's end has to show before a last byte. A busy machine needs it to
  /// run the other side, where the network needs none.
  load_balancing::Duration minVerificationTime = std::chrono::milliseconds(1);
};

}  // namespace finchstile
