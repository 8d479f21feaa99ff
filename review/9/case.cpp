// Clients read an answer of 32 MB slowly. See claim.txt.
#include "../support-2/stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t kAnswerBytes = 32'000'000;
constexpr int kReceiveBufferBytes = 128 * 1024;
constexpr double kSeconds = 90;

// Reads an answer, at most `bytesPerSecond` (0: as fast as it comes), up to the test's end. Returns false if
// it was cut off.
bool readAnswer(int port, std::size_t bytesPerSecond) {
  const auto connection = Connection::to(port, kReceiveBufferBytes);
  if (!connection) return false;
  connection->write("GET /cut-plan/" + std::to_string(bytesPerSecond) +
                    " HTTP/1.1\r\nHost: gateway\r\nX-Correlation-Id: " + newId() +
                    "\r\nX-Time-Left-Ms: 1200\r\n\r\n");
  const auto head = connection->readHead(2000);
  if (!head || head->status() != 200) {
    RECORD("client at %zu bytes a second: status %d", bytesPerSecond, head ? head->status() : 0);
    return false;
  }
  const double from = secondsNow();
  std::size_t got = connection->buffer().size();
  connection->buffer().clear();
  while (got < kAnswerBytes && secondsNow() < kSeconds) {
    if (bytesPerSecond > 0 &&
        static_cast<double>(got) > (secondsNow() - from) * static_cast<double>(bytesPerSecond)) {
      sleepMs(10);
      continue;
    }
    const ssize_t n = connection->readOnce(8192, 10000);
    if (n <= 0) {
      RECORD(
          "client at %zu bytes a second: %s after %.1f s and %zu of %zu bytes", bytesPerSecond,
          n == 0 ? "the connection ended" : (n == -2 ? "nothing came for 10 s" : "the connection was reset"),
          secondsNow() - from, got, kAnswerBytes);
      return false;
    }
    got += static_cast<std::size_t>(n);
    connection->buffer().clear();
  }
  RECORD("client at %zu bytes a second: %zu of %zu bytes after %.1f s, not cut off", bytesPerSecond, got,
         kAnswerBytes, secondsNow() - from);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const Test test(argc, argv, 110);
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<const Host*> listed;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(std::make_unique<Host>(
        "s-" + std::to_string(i), i < 2 ? "brasov" : "cluj", [](const Message& request, Connection& c) {
          const bool whole =
              c.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n") &&
              c.write(std::string(kAnswerBytes, 'p'));
          RECORD("host: the connection of %s %s", request.path().c_str(),
                 whole ? "took the whole answer" : "was ended before the answer was written");
          return whole;
        }));
    listed.push_back(hosts.back().get());
  }
  const Discovery discovery(listed);
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

  const std::vector<std::size_t> rates =
      test.trouble ? std::vector<std::size_t>{64'000, 128'000, 192'000} : std::vector<std::size_t>{0, 0, 0};
  std::atomic<int> cut{0};
  std::vector<std::thread> clients;
  for (const std::size_t rate : rates)
    clients.emplace_back([&, rate] { cut += !readAnswer(config.listen, rate); });
  for (std::thread& client : clients) client.join();
  RECORD("answers cut off: %d of %zu", cut.load(), rates.size());
  finish(cut > 0 ? kBroken : kHeld);
}
