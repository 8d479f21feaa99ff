// Hosts of two data centres behind links with the latency between them, clients that ask one after another,
// and now and then a second copy of an answer, some milliseconds late, when nothing else waits on the
// connection.
#include <condition_variable>
#include <deque>
#include <memory>

#include "../support/stand_in.hpp"

using namespace stand_in;

namespace {

constexpr double kRunTime = 30;
constexpr int kClients = 12;
constexpr int kHostsPerZone = 3;
constexpr double kWork = 0.06;            // of a request at a host
constexpr double kOneWayLatency = 0.008;  // between the data centres: 5.6 to 10 ms
constexpr int kAnswersPerSecondCopy = 20;
constexpr double kSecondCopyDelay = 0.004;

// One direction of a link: bytes arrive `delay` after they were sent, in order.
class Wire {
 public:
  static void run(int from, int to, double delay) {
    const auto wire = std::make_shared<Wire>();
    std::thread([wire, to] { wire->deliver(to); }).detach();
    for (char bytes[65536];;) {
      const ssize_t received = ::recv(from, bytes, sizeof bytes, 0);
      wire->push(now() + delay, std::string(bytes, received > 0 ? static_cast<std::size_t>(received) : 0));
      if (received <= 0) return;
    }
  }

 private:
  void push(double at, std::string&& bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.emplace_back(at, std::move(bytes));
    arrived_.notify_one();
  }
  void deliver(int to) {
    for (;;) {
      std::unique_lock<std::mutex> lock(mutex_);
      arrived_.wait(lock, [this] { return !queue_.empty(); });
      const auto [at, bytes] = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      sleepFor(at - now());
      if (bytes.empty() || !sendAll(to, bytes)) {
        ::shutdown(to, SHUT_WR);
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<std::pair<double, std::string>> queue_;
};

// A link to the given port. Returns the port at which it is reached.
int startLink(int target, double delay) {
  int port = 0;
  const int listener = listenAnywhere(port);
  acceptForever(listener, [target, delay](int fd) {
    const int there = connectTo(target);
    if (there < 0) return;
    std::thread back([&] { Wire::run(there, fd, delay); });
    Wire::run(fd, there, delay);
    back.join();
    sleepFor(1);  // what is on its way is still delivered
    ::close(there);
  });
  return port;
}

bool nothingWaits(int fd) {
  pollfd query{fd, POLLIN, 0};
  return ::poll(&query, 1, 0) == 0;
}

struct Trial {
  explicit Trial(const char* path) : record(path) {}

  // A host is sound but for the second copies.
  void serve(const std::string& name, bool sendsCopies, int fd) {
    Reader reader(fd);
    for (Message request; reader.read(request);) {
      const std::string id = request.header("x-correlation-id");
      sleepFor(kWork);
      const std::string good =
          answer(200, "X-Backend-Load: queue=0,latency_ms=60\r\n", "made for " + id + "\n");
      if (!sendAll(fd, good)) return;
      record.line("host %s ran and answered %s", name.c_str(), id.c_str());
      if (!sendsCopies || ++answers % kAnswersPerSecondCopy != 0) continue;
      sleepFor(kSecondCopyDelay);
      if (reader.hasBufferedBytes() || !nothingWaits(fd)) continue;
      if (!sendAll(fd, good)) return;
      ++copies;
      record.line("host %s sent a second copy of its answer to %s", name.c_str(), id.c_str());
    }
  }

  void ask(int port, double end) {
    int fd = -1;
    while (now() < end) {
      if (fd < 0) fd = connectTo(port);
      if (fd < 0) continue;
      const std::string id = newId();
      const std::string request =
          "GET /cut-plan/1 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id +
          "\r\nX-Time-Left-Ms: 1200\r\n\r\n";
      Reader reader(fd);
      Message reply;
      ++sent;
      if (!sendAll(fd, request) || !reader.read(reply, now() + 3)) {
        record.line("client got no answer to %s", id.c_str());
        ++unanswered;
        ::close(fd);
        fd = -1;
        continue;
      }
      if (reply.status() == 200) ++served;
      const bool foreign = reply.status() == 200 && reply.body != "made for " + id + "\n";
      if (foreign) ++foreignAnswers;
      record.line("client got %d to %s: %s%s", reply.status(), id.c_str(),
                  reply.body.substr(0, reply.body.find('\n')).c_str(), foreign ? " -- FOREIGN" : "");
      if (reply.header("connection") != "close") continue;
      ::close(fd);
      fd = -1;
    }
    if (fd >= 0) ::close(fd);
  }

  Record record;
  std::atomic<int> answers{0}, copies{0}, sent{0}, served{0}, unanswered{0}, foreignAnswers{0};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const std::string folder = argv[1];
  Trial trial(argv[2]);
  const bool trouble = troubleIsOn();
  std::vector<HostEntry> hosts;
  for (int i = 0; i < 2 * kHostsPerZone; ++i) {
    const bool isLocal = i < kHostsPerZone;
    int port = 0;
    const int listener = listenAnywhere(port);
    const std::string name = "s-" + std::to_string(i);
    acceptForever(listener, [&, name](int fd) { trial.serve(name, trouble, fd); });
    hosts.push_back(
        {name, isLocal ? "brasov" : "cluj", startLink(port, isLocal ? 0.0002 : kOneWayLatency), 0});
  }
  Configuration configuration;
  configuration.listenPort = freePort();
  configuration.list = listOf(hosts);
  configuration.discoveryPort = startDiscovery(configuration.list);
  writeConfiguration(folder + "/config.json", configuration);
  ::fclose(::fopen((folder + "/ready").c_str(), "w"));
  if (!awaitReady(configuration.listenPort)) return 2;

  std::vector<std::thread> clients;
  const double end = now() + kRunTime;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&] { trial.ask(configuration.listenPort, end); });
  for (std::thread& client : clients) client.join();

  trial.record.line("sum: requests %d, served %d, unanswered %d, second copies %d, foreign answers %d",
                    trial.sent.load(), trial.served.load(), trial.unanswered.load(), trial.copies.load(),
                    trial.foreignAnswers.load());
  std::printf("requests %d, served %d, second copies %d, foreign answers %d\n", trial.sent.load(),
              trial.served.load(), trial.copies.load(), trial.foreignAnswers.load());
  std::fflush(stdout);
  const bool couldRun = trial.served > trial.sent / 2 && (!trouble || trial.copies > 0);
  std::_Exit(trial.foreignAnswers > 0 ? 1 : couldRun ? 0 : 2);
}
