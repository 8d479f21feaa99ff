// The example of the README, kept the same by .ci/run.
#include <cstdio>
#include <ridgeshift/ridgeshift.hpp>

int main() {
  using namespace std::chrono_literals;
  ridgeshift::Settings settings;
  settings.seed = 42;
  ridgeshift::ClassSettings reads;
  reads.name = "read";
  reads.effect = ridgeshift::Effect::retryable;
  reads.aim = 200ms;
  reads.giveUp = 1s;
  settings.classes = {reads};

  ridgeshift::Balancer balancer(settings, 0ns);  // throws std::invalid_argument on nonsense
  ridgeshift::HostEntry host;
  host.address = "10.0.0.1:8080";
  balancer.onHosts(0ns, ridgeshift::ListKind::replace, {host});

  ridgeshift::Request request;
  request.id = 1;
  request.classIndex = 0;
  request.left = 1s;
  balancer.onRequest(1ms, request);
  for (const ridgeshift::Action& action : balancer.actions())
    if (action.kind == ridgeshift::ActionKind::send)
      std::printf("send %llu to %s\n", static_cast<unsigned long long>(action.request),
                  balancer.address(action.host).c_str());
  balancer.actions().clear();
}
