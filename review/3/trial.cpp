// Clients send long bodies while one of four hosts hangs: its process keeps its sockets and reads nothing
// more.
#include "../support/stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int kHosts = 4;
constexpr double kWork = 0.06;
constexpr double kHangsAt = 3;    // after the gateway is ready
constexpr double kRunTime = 30;   // in which requests begin
constexpr double kTimeLeft = 2;   // of the class stock-out
constexpr double kGrace = 0.55;   // half a second after its time, and 50 ms on sockets
constexpr double kPatience = 12;  // how long a client looks for an answer, to record when it comes
constexpr int kClients = 4;

struct Trial {
  explicit Trial(const char* path) : record(path) {}

  void serve(const std::string& name, bool mayHang, int fd) {
    Reader reader(fd);
    for (Message request; awaitBytes(fd, mayHang) && reader.read(request);) {
      const std::string id = request.header("x-correlation-id");
      sleepFor(kWork);
      if (mayHang && hangs) hang(fd);
      record.line("host %s ran and answered %s, %zu bytes", name.c_str(), id.c_str(), request.body.size());
      if (!sendAll(fd, answer(200, "", "made for " + id + "\n"))) return;
    }
  }

  // A process that hangs reads nothing, and its system keeps the connection.
  static void hang(int) {
    for (;;) sleepFor(60);
  }
  bool awaitBytes(int fd, bool mayHang) const {
    pollfd query{fd, POLLIN, 0};
    while (::poll(&query, 1, 5) == 0)
      if (mayHang && hangs) hang(fd);
    if (mayHang && hangs) hang(fd);
    return true;
  }

  void ask(int port, double end, std::size_t bodyBytes) {
    while (now() < end) {
      const int fd = connectTo(port);
      if (fd < 0) continue;
      const std::string id = newId();
      const std::string request =
          "POST /stock-out/1 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id +
          "\r\nX-Time-Left-Ms: 2000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" +
          std::string(bodyBytes, 'b');
      const double began = now();
      Reader reader(fd);
      Message reply;
      if (!sendAll(fd, request)) {
        record.line("client could not send all of %s", id.c_str());
        ::close(fd);
        continue;
      }
      const double sentAt = now();
      ++sent;
      const bool answered = reader.read(reply, sentAt + kPatience);
      const double took = now() - sentAt;
      const bool late = took > kTimeLeft + kGrace;
      if (answered && reply.status() == 200) ++served;
      // Where the client's last byte could not be written in time, the request had not been taken.
      if (late) ++lost;
      record.line("client sent %s (%zu bytes) in %.3f s, and %s %d after another %.3f s%s", id.c_str(),
                  bodyBytes, sentAt - began, answered ? "got" : "got no answer:", reply.status(), took,
                  late ? " -- LOST" : "");
      ::close(fd);
    }
  }

  Record record;
  std::atomic<bool> hangs{false};
  std::atomic<int> sent{0}, served{0}, lost{0};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const std::string folder = argv[1];
  Trial trial(argv[2]);
  std::vector<HostEntry> hosts;
  for (int i = 0; i < kHosts; ++i) {
    int port = 0;
    const int listener = listenAnywhere(port);
    const std::string name = "s-" + std::to_string(i);
    acceptForever(listener, [&, name, i](int fd) { trial.serve(name, i == 0, fd); });
    hosts.push_back({name, "brasov", port, 0});
  }
  Configuration configuration;
  configuration.listenPort = freePort();
  configuration.list = listOf(hosts);
  configuration.discoveryPort = startDiscovery(configuration.list);
  writeConfiguration(folder + "/config.json", configuration);
  ::fclose(::fopen((folder + "/ready").c_str(), "w"));
  if (!awaitReady(configuration.listenPort)) return 2;

  const double start = now();
  std::vector<std::thread> clients;
  const std::size_t sizes[kClients] = {3 << 20, 4 << 20, 5 << 20, 6 << 20};
  for (const std::size_t size : sizes)
    clients.emplace_back([&, size] { trial.ask(configuration.listenPort, start + kRunTime, size); });
  sleepFor(kHangsAt);
  if (troubleIsOn()) {
    trial.record.line("host s-0 hangs from now on");
    trial.hangs = true;
  }
  for (std::thread& client : clients) client.join();

  trial.record.line("sum: requests %d, served %d, lost %d", trial.sent.load(), trial.served.load(),
                    trial.lost.load());
  std::printf("requests %d, served %d, lost %d\n", trial.sent.load(), trial.served.load(), trial.lost.load());
  std::fflush(stdout);
  std::_Exit(trial.lost > 0 ? 1 : trial.served > 0 ? 0 : 2);
}
