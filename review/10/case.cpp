// A host begins to drain, discovery goes down, and the gateway's process is replaced. See claim.txt.
#include "../support-2/live_discovery.hpp"
#include "../support-2/replacement.hpp"

using namespace review;

namespace {

constexpr double kGraceSeconds = 0.55;         // rules.drainGraceNs, and 50 ms on sockets
constexpr double kBindingSeconds = 2;          // after the new process's yes
constexpr double kSecondsAfterYes = 5.5;       // the outage ends with the test, within 8 s
constexpr const char* kDrainingHost = "s-b1";  // the first one

class Hosts {
 public:
  Hosts() {
    for (const char* name : {kDrainingHost, "s-b2", "s-b3"}) add(name, "brasov");
    add("s-c1", "cluj");
  }
  std::vector<const Host*> all() const {
    std::vector<const Host*> hosts;
    for (const auto& host : hosts_) hosts.push_back(host.get());
    return hosts;
  }
  const Host& draining() const { return *hosts_.front(); }
  // Times at which requests came to the draining host.
  std::vector<double> arrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }

 private:
  void add(const std::string& name, const std::string& zone) {
    hosts_.push_back(std::make_unique<Host>(name, zone, [this, name](const Message& request, Connection& c) {
      if (name == kDrainingHost) {
        const std::lock_guard<std::mutex> lock(mutex_);
        arrivals_.push_back(secondsNow());
        RECORD("%s gets %s", name.c_str(), request.path().c_str());
      }
      sleepMs(20);
      return c.write(answer(200, "plan for " + request.path()));
    }));
  }
  std::vector<std::unique_ptr<Host>> hosts_;
  std::mutex mutex_;
  std::vector<double> arrivals_;
};

// Asks for one cutting plan after another, each on a new connection, until `stop`.
void askForPlans(int port, const std::atomic<bool>& stop, std::map<int, int>& statuses) {
  for (int i = 0; !stop; ++i) {
    const auto connection = Connection::to(port);
    if (!connection) continue;
    connection->write("GET /cut-plan/" + std::to_string(i) +
                      " HTTP/1.1\r\nHost: gateway\r\nX-Correlation-Id: " + newId() +
                      "\r\nX-Time-Left-Ms: 1200\r\nConnection: close\r\n\r\n");
    const auto reply = connection->readMessage(2000);
    ++statuses[reply ? reply->status() : 0];
    sleepMs(10);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Test test(argc, argv, 60);
  Hosts hosts;
  LiveDiscovery discovery(hosts.all());
  const TemporaryFolder folder;
  GatewayInstallation installation(test, folder, discovery.port(), discovery.firstList());
  auto first = installation.start("first");
  if (!installation.awaitOpsReady(*first, 10)) finish(kCouldNotRun);
  std::atomic<bool> stop{false};
  std::map<int, int> statuses;
  std::thread client([&] { askForPlans(installation.port(), stop, statuses); });

  sleepMs(1500);
  RECORD("%s begins to drain", kDrainingHost);
  discovery.drain(hosts.draining());
  sleepMs(2500);
  const double toldAt = discovery.toldAt();
  if (test.trouble) {
    RECORD("discovery goes down");
    discovery.goDown();
  }
  sleepMs(200);
  auto second = installation.start("second");
  const bool ready = installation.awaitOpsReady(*second, 6);
  const double yesAt = secondsNow();
  RECORD("the second process %s", ready ? "says yes; SIGTERM to the first" : "is not ready");
  if (ready) {
    first->process.signal(SIGTERM);
    sleepMs(static_cast<int>(kSecondsAfterYes * 1000));
  }
  stop = true;
  client.join();
  if (!ready || toldAt == 0 || second->process.exitStatus()) finish(kCouldNotRun);

  int beforeReplacement = 0, late = 0;
  for (const double at : hosts.arrivals()) {
    if (at > toldAt + kGraceSeconds && at < yesAt - 0.2) ++beforeReplacement;
    if (at > yesAt + kBindingSeconds + kGraceSeconds) ++late;
  }
  for (const auto& [status, count] : statuses) RECORD("answers with status %d: %d", status, count);
  RECORD("requests to %s after the grace, from the first process: %d", kDrainingHost, beforeReplacement);
  RECORD("requests to %s over %.2f s after the second process's yes: %d", kDrainingHost,
         kBindingSeconds + kGraceSeconds, late);
  finish(beforeReplacement + late > 0 ? kBroken : kHeld);
}
