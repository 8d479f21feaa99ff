// Clients send long bodies while one of four hosts hangs. See claim.txt.
#include "../support-2/stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t kBodyBytes = 6 << 20;
constexpr int kReceiveBufferBytes = 64 * 1024;  // of a host's connections
constexpr int kClients = 4;
constexpr int kTimeLeftMs = 2000;         // of the class stock-out
constexpr double kAllowedSeconds = 2.55;  // its time, half a second, and 50 ms on sockets
constexpr double kHangsAt = 2, kEnd = 22;

// A host that reads bodies piece by piece, so that it can hang in the midst of one.
class BodyHost {
 public:
  BodyHost(std::string name, const std::atomic<bool>& hangs)
      : name_(std::move(name)),
        hangs_(hangs),
        server_(
            [this](Connection& c) {
              while (const auto head = c.readHead()) {
                const std::size_t bytes = std::strtoull(head->header("content-length").c_str(), nullptr, 10);
                while (c.buffer().size() < bytes) {
                  // A process that hangs reads nothing more; its system keeps the connection.
                  while (hangs_) sleepMs(100);
                  if (c.readOnce(65536, 100) == 0 || c.error() != 0) return;
                }
                c.buffer().erase(0, bytes);
                RECORD("%s runs %s", name_.c_str(), head->path().c_str());
                if (!c.write(answer(200, "booked " + head->path()))) return;
              }
            },
            kReceiveBufferBytes) {}
  std::string json() const {
    return R"({"name":")" + name_ + R"(","address":")" + textOf(server_.port()) +
           R"(","zone":"brasov","type":"std-4c","group":0,"status":"active","weight":1.0,"since_ms":0})";
  }

 private:
  std::string name_;
  const std::atomic<bool>& hangs_;
  Server server_;
};

struct Counts {
  std::atomic<int> sent{0}, served{0}, late{0};
};

void book(int port, int client, Counts& counts) {
  for (int i = 0; secondsNow() < kEnd; ++i) {
    const auto connection = Connection::to(port);
    if (!connection) continue;
    const std::string path = "/stock-out/" + std::to_string(client) + "-" + std::to_string(i);
    const double beganAt = secondsNow();
    if (!connection->write("POST " + path + " HTTP/1.1\r\nHost: gateway\r\nX-Correlation-Id: " + newId() +
                           "\r\nX-Time-Left-Ms: " + std::to_string(kTimeLeftMs) + "\r\nContent-Length: " +
                           std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'b'))) {
      RECORD("client: %s could not be written whole", path.c_str());
      continue;
    }
    const double sentAt = secondsNow();
    const auto reply = connection->readMessage(12000);
    const double took = secondsNow() - sentAt;
    const bool late = took > kAllowedSeconds;
    ++counts.sent;
    counts.late += late;
    counts.served += reply && reply->status() == 200;
    RECORD("client: %s written in %.3f s, answered %d after another %.3f s%s", path.c_str(), sentAt - beganAt,
           reply ? reply->status() : 0, took, late ? " - LOST" : "");
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Test test(argc, argv, 60);
  std::atomic<bool> hangs{false};
  const std::atomic<bool> sound{false};
  std::vector<std::unique_ptr<BodyHost>> hosts;
  std::string list = R"({"index":1,"snapshot":true,"endpoints":[)";
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<BodyHost>("s-" + std::to_string(i), i == 0 ? hangs : sound));
    list += (i > 0 ? "," : "") + hosts.back()->json();
  }
  list += "]}";
  const Discovery discovery(list);
  const TemporaryFolder folder;
  GatewayConfig config;
  config.listen = freePort();
  config.discovery = discovery.port();
  config.known = discovery.list();
  Process gateway({test.root,
                   runCommand(test.root),
                   folder.folder("tmp"),
                   folder / "log",
                   {{"LB_CONFIG", folder.write("config.json", configurationText(config))}},
                   -1});
  if (!awaitReady(config.listen, 10)) finish(kCouldNotRun);

  Counts counts;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client)
    clients.emplace_back([&, client] { book(config.listen, client, counts); });
  while (secondsNow() < kHangsAt) sleepMs(10);
  if (test.trouble) {
    RECORD("s-0 hangs from now on");
    hangs = true;
  }
  for (std::thread& client : clients) client.join();
  if (gateway.exitStatus()) RECORD("the gateway has ended");
  RECORD("requests %d, served %d, answered later than %.2f s after their last byte: %d", counts.sent.load(),
         counts.served.load(), kAllowedSeconds, counts.late.load());
  if (counts.served == 0) finish(kCouldNotRun);
  finish(counts.late > 0 ? kBroken : kHeld);
}
