// Cost of a stream: added latency of a message, messages per second and core, memory of an idle stream. The
// gateway is a separate process between clients and an echo host, both in this process. A plain relay between
// two sockets, which does not parse the stream, is measured in place of the gateway in the same run.
//
//   bench_streams [STREAMS ...]      (10 1000 9900; two descriptors per stream in each process)
//
//   cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4
//   --target bench_streams && build-bench/bench_streams
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "fake_upstream_config.hpp"
#include "net/gateway.hpp"
#include "stream/table.hpp"
#include "stream/tcp_proxy_handler.hpp"
#include "websocket/web_socket_handler.hpp"

namespace {

using namespace finchstile;
using std::chrono::steady_clock;
namespace asio = boost::asio;

constexpr std::size_t kPayload = 64;

enum class Mode { bare, tcp, relay, inspect };
const char* nameOf(Mode m) {
  return m == Mode::bare    ? "bare relay"
         : m == Mode::tcp   ? "opaque"
         : m == Mode::relay ? "websocket, relay"
                            : "websocket, inspect";
}
bool webSocket(Mode m) { return m == Mode::relay || m == Mode::inspect; }

void fail(const char* what) {
  std::perror(what);
  std::exit(1);
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(port);
  return a;
}

int listenAt(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  socklen_t size = sizeof a;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 || ::listen(fd, 4096) != 0) fail("listen");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

int connectTo(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = loopback(port);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) fail("connect");
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void writeAll(int fd, const char* bytes, std::size_t n) {
  for (std::size_t at = 0; at < n;) {
    const ssize_t w = ::write(fd, bytes + at, n - at);
    if (w <= 0) fail("write");
    at += static_cast<std::size_t>(w);
  }
}

void readAll(int fd, char* bytes, std::size_t n) {
  for (std::size_t at = 0; at < n;) {
    const ssize_t r = ::read(fd, bytes + at, n - at);
    if (r <= 0) fail("read");
    at += static_cast<std::size_t>(r);
  }
}

// --- The echo host, on a thread. Messages are small and read completely.

class EchoHost {
 public:
  EchoHost() : listening_(listenAt(port)), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    add(listening_);
    std::thread([this] { run(); }).detach();  // ends with the process
  }
  std::uint16_t port = 0;

 private:
  void add(int fd) {
    epoll_event e{};
    e.events = EPOLLIN;
    e.data.fd = fd;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e);
  }
  void run() {
    std::vector<epoll_event> events(256);
    char bytes[16384];
    for (;;) {
      const int n = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), -1);
      for (int i = 0; i < n; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (fd == listening_) {
          const int c = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
          const int one = 1;
          ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
          add(c);
          continue;
        }
        const ssize_t r = ::read(fd, bytes, sizeof bytes);
        if (r <= 0) ::close(fd);
        else answer(fd, bytes, static_cast<std::size_t>(r));
      }
    }
  }
  static void answer(int fd, const char* bytes, std::size_t n) {
    const std::string_view text(bytes, n);
    if (text.substr(0, 4) == "GET ") {
      const std::size_t at = text.find("Sec-WebSocket-Key: ");
      const std::string head =
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: "
          "Upgrade\r\nSec-WebSocket-Accept: " +
          websocket::acceptOf(text.substr(at + 19, 24)) + "\r\n\r\n";
      return writeAll(fd, head.data(), head.size());
    }
    constexpr std::size_t kFrame = 6 + kPayload;  // frame from a client: masked
    if (n % kFrame != 0 || static_cast<unsigned char>(bytes[0]) != 0x82 ||
        static_cast<unsigned char>(bytes[1]) != (0x80 | kPayload))
      return writeAll(fd, bytes, n);
    std::string out;
    for (std::size_t at = 0; at < n; at += kFrame) {
      out += '\x82';
      out += static_cast<char>(kPayload);
      out.append(bytes + at + 6, kPayload);
    }
    writeAll(fd, out.data(), out.size());
  }
  const int listening_, epoll_;
};

// --- The gateway or relay, in a separate process that writes its port to `out` and serves until it is
// killed.

[[noreturn]] void bareRelay(std::uint16_t host, int out) {
  std::uint16_t port = 0;
  const int listening = listenAt(port), epoll = ::epoll_create1(EPOLL_CLOEXEC);
  std::unordered_map<int, int> other;
  const auto add = [&](int fd) {
    epoll_event e{};
    e.events = EPOLLIN;
    e.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &e);
  };
  add(listening);
  if (::write(out, &port, sizeof port) != sizeof port) fail("port");
  std::vector<epoll_event> events(256);
  char bytes[16384];
  for (;;) {
    const int n = ::epoll_wait(epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < n; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      if (fd == listening) {
        const int c = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC), h = connectTo(host);
        const int one = 1;
        ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        other[c] = h, other[h] = c;
        add(c), add(h);
        continue;
      }
      const ssize_t r = ::read(fd, bytes, sizeof bytes);
      if (r <= 0) std::exit(0);
      writeAll(other[fd], bytes, static_cast<std::size_t>(r));
    }
  }
}

[[noreturn]] void gatewayProcess(Mode mode, std::uint16_t host, std::size_t streams, int out) {
  asio::io_context io(1);
  const Clock clock;
  tcp::acceptor silent(io, {asio::ip::address_v4::loopback(), 0});  // discovery that does not answer
  const auto text = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  const nlohmann::json config = {
      {"name", "bench"},
      {"listen", "127.0.0.1:0"},
      {"discovery", text(silent.local_endpoint().port())},
      {"seed", "1"},
      {"limits", {{"sockets", 100'000}}},
      {"known", fake_upstream::listJson(
                    1, true, nlohmann::json::array({fake_upstream::hostJson("h", text(host), "a")}))},
      {"settings",
       fake_upstream::settingsJson(
           nlohmann::json::array({fake_upstream::classJson({"live", "retryable", "all"})}), false, "a")}};
  GatewayConfig read = readConfig(config.dump(), clock);
  stream::StreamSettings s;
  s.enabled = true;
  s.most = streams + 16;
  s.descriptorShare = 0.9;
  s.bufferBytes = std::max(s.bufferBytes, stream::minBufferBytes(s.most));
  s.log = stream::LogEnds::none;
  stream::ListenSettings l;
  l.name = "bench";
  l.at = {asio::ip::address_v4::loopback(), 0};
  l.className = "live";
  if (mode == Mode::tcp) s.listen.push_back(l);
  read.options.reservedDescriptorFraction = 0.5;
  Gateway gateway(io, clock, read);
  stream::StreamTable table(io, clock, s, s.most, 1, gateway.protocolHandlerCallbacks(),
                            [](std::string_view) {});
  stream::TcpProxyHandler front(io, clock, s, read.settings, gateway.protocolHandlerCallbacks(), table);
  websocket::WebSocketSettings w;
  w.inspect = mode == Mode::inspect;
  std::mt19937 engine(1);
  websocket::WebSocketHandler upgrades(
      clock, w, "bench", [&] { return static_cast<std::uint32_t>(engine()); }, table);
  gateway.attach(front);
  gateway.setUpgradeHandler(upgrades);
  front.start();
  gateway.start();
  const std::uint16_t port = mode == Mode::tcp ? front.endpoint(0).port() : gateway.endpoint().port();
  if (::write(out, &port, sizeof port) != sizeof port) fail("port");
  io.run();
  std::exit(0);
}

struct Between {
  Between(Mode mode, std::uint16_t host, std::size_t streams) {
    int ends[2];
    if (::pipe(ends) != 0) fail("pipe");
    pid = ::fork();
    if (pid == 0) {
      std::signal(SIGPIPE, SIG_IGN);
      ::close(ends[0]);
      if (mode == Mode::bare) bareRelay(host, ends[1]);
      gatewayProcess(mode, host, streams, ends[1]);
    }
    ::close(ends[1]);
    if (::read(ends[0], &port, sizeof port) != sizeof port) fail("start");
    ::close(ends[0]);
  }
  ~Between() {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  double cpu() const {  // seconds, user and system time
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream rest(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) rest >> skipped;
    double user = 0, kernel = 0;
    rest >> user >> kernel;
    return (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  double memory() const {  // KiB in use
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6);
    return 0;
  }
  pid_t pid = 0;
  std::uint16_t port = 0;
};

double percentile(std::vector<double>& v, double p) {
  std::sort(v.begin(), v.end());
  return v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
}

void measure(Mode mode, const EchoHost& host, std::size_t streams) {
  const Between between(mode, host.port, streams);
  std::string message(kPayload, 'm');
  std::size_t answer = kPayload;
  if (webSocket(mode)) {
    message = websocket::writeFrame(2, message, std::array<unsigned char, 4>{1, 2, 3, 4});
    answer = kPayload + 2;
  }
  char bytes[16384];
  // A first stream, so that one-time costs of the process are not attributed to the streams.
  std::vector<int> all;
  const double empty = between.memory();
  double first = empty;
  for (std::size_t i = 0; i < streams; ++i) {
    const int fd = connectTo(between.port);
    if (webSocket(mode)) {
      static constexpr char kAsk[] =
          "GET /live HTTP/1.1\r\nHost: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
          "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
      writeAll(fd, kAsk, sizeof kAsk - 1);
      std::string head;
      while (head.find("\r\n\r\n") == std::string::npos) {
        readAll(fd, bytes, 1);
        head += bytes[0];
      }
      if (head.compare(9, 3, "101") != 0) {
        std::fprintf(stderr, "not begun: %s\n", head.c_str());
        std::exit(1);
      }
    }
    writeAll(fd, message.data(), message.size());
    readAll(fd, bytes, answer);
    all.push_back(fd);
    if (i == 0) first = between.memory();
  }
  const double memory = streams > 1 ? (between.memory() - first) / static_cast<double>(streams - 1) : 0;

  std::mt19937 engine(7);
  std::vector<double> times;
  constexpr std::size_t kOneByOne = 20'000;
  for (std::size_t i = 0; i < kOneByOne; ++i) {
    const int fd = all[engine() % all.size()];
    const auto from = steady_clock::now();
    writeAll(fd, message.data(), message.size());
    readAll(fd, bytes, answer);
    times.push_back(std::chrono::duration<double, std::micro>(steady_clock::now() - from).count());
  }

  // Concurrent messages on up to 64 streams.
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  const std::size_t wide = std::min<std::size_t>(64, all.size());
  constexpr std::size_t kMany = 200'000;
  std::size_t sent = 0, done = 0, next = 0;
  for (int fd : all) {
    epoll_event e{};
    e.events = EPOLLIN;
    e.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &e);
  }
  const auto send = [&] {
    writeAll(all[next++ % all.size()], message.data(), message.size());
    ++sent;
  };
  const double cpu = between.cpu();
  const auto from = steady_clock::now();
  while (sent < wide) send();
  std::vector<epoll_event> events(64);
  while (done < kMany) {
    const int n = ::epoll_wait(epoll, events.data(), 64, 5000);
    if (n <= 0) fail("no answer");
    for (int i = 0; i < n; ++i) {
      readAll(events[static_cast<std::size_t>(i)].data.fd, bytes, answer);
      ++done;
      if (sent < kMany) send();
    }
  }
  const double took = std::chrono::duration<double>(steady_clock::now() - from).count();
  const double used = between.cpu() - cpu;
  std::printf("| %zu | %s | %.0f | %.0f | %.0f | %.2f | %.1f |\n", streams, nameOf(mode),
              percentile(times, 0.5), percentile(times, 0.99), kMany / took, used / kMany * 1e6, memory);
  std::fflush(stdout);
  for (int fd : all) ::close(fd);
  ::close(epoll);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  if (sizes.empty()) sizes = {10, 1000, 9900};
  std::printf(
      "| streams | between | one by one, p50 us | p99 us | 64 under way, messages/s | CPU us a message | KiB "
      "a stream |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t n : sizes)
    for (const Mode mode : {Mode::bare, Mode::tcp, Mode::relay, Mode::inspect}) {
      std::fflush(stdout);
      // Each variant has its own host, so that none starts with the connections of another.
      static std::vector<std::unique_ptr<EchoHost>> hosts;
      measure(mode, *hosts.emplace_back(std::make_unique<EchoHost>()), n);
    }
}
