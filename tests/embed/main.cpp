// The example of the README; .ci/run checks that both are the same.
#include <cstdio>
#include <finchstile/load_balancer.hpp>

int main() {
  using namespace std::chrono_literals;
  using namespace finchstile::load_balancing;
  Settings settings;
  settings.seed = 42;
  ClassSettings reads;
  reads.name = "read";
  reads.idempotency = Idempotency::idempotent;
  reads.latencyObjective = 200ms;
  reads.clientTimeout = 1s;
  settings.classes = {reads};

  LoadBalancer balancer(settings, 0ns);  // throws std::invalid_argument on invalid settings
  HostEntry host;
  host.address = "10.0.0.1:8080";
  balancer.onHostListUpdate(0ns, HostListUpdate::complete, {host});

  Request request;
  request.id = 1;
  request.classIndex = 0;
  request.timeLeft = 1s;
  balancer.onRequest(1ms, request);
  for (const Action& action : balancer.actions())
    if (action.kind == ActionKind::sendAttempt)
      std::printf("send %llu to %s\n", static_cast<unsigned long long>(action.request),
                  balancer.hostAddress(action.host).c_str());
  balancer.actions().clear();
}
