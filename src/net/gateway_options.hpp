// What an operator may set of the gateway's own sockets. The defaults are what service has shown to hold.
#pragma once

#include <chrono>
#include <cstddef>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

struct ClientConnectionOptions {
  // Longer than clients and fronts keep a connection unused.
  load_balancing::Duration idleTimeout = std::chrono::seconds(120);
  // For the head of a request to come in, and in all for its body beyond what a slow line takes for it.
  // Danger: a client that dribbles or says nothing holds a descriptor. A first request counts from the accept
  // on.
  load_balancing::Duration requestTimeout = std::chrono::milliseconds(2400);
  load_balancing::Duration writeTimeout =
      std::chrono::seconds(5);  // in which a client takes nothing of its answer
};

struct GatewayOptions {
  ClientConnectionOptions clients;
  double clientDescriptorFraction = 0.5;     // of the descriptors
  double upstreamDescriptorFraction = 0.45;  // the same; the two together at most 0.95
  // After SIGTERM open connections are served on for so long, at most for 0.1 s less than the longest
  // deadline (3 s of it at the most); then answers close them. Where no other gateway is near, whoever is
  // sent away at once finds none.
  load_balancing::Duration drainServeTime = std::chrono::hours(1);
  // Of the descriptors, for what is neither: the two above are shares of the rest.
  double reservedDescriptorFraction = 0;
  // Connections being opened to one host at once: each costs it as much as a small request.
  std::size_t maxConnectingPerHost = 4;
  // The least time for a connection's end to show before a last byte: what a busy machine needs to run the
  // other side, where the network needs none.
  load_balancing::Duration minConnectionCheck = std::chrono::milliseconds(1);
};

}  // namespace finchstile
