// Cost of a stream: added latency of a message, messages per second and core, memory of an idle stream. The
// gateway is a separate process between clients and an echo host, both in this process. A plain relay between
// two sockets, which does not parse the stream, is measured in place of the gateway in the same run.
//
//   bench_streams [STREAMS ...]      (default: 10 1000 9900; two descriptors per stream in each process)
//
//   cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DFINCHSTILE_BENCH=ON
//   cmake --build build-bench -j4 --target bench_streams
//   build-bench/bench_streams
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
#include "units.hpp"
#include "websocket/web_socket_handler.hpp"

namespace {

using namespace finchstile;
using std::chrono::steady_clock;
namespace asio = boost::asio;

constexpr std::size_t kPayload = 64;          // bytes of a message
constexpr std::size_t kServerFrameHead = 2;   // bytes before the payload of a frame from a host
constexpr std::size_t kClientFrameHead = 6;   // with the mask
constexpr unsigned char kBinaryFrame = 0x82;  // the first byte of an unfragmented binary frame
constexpr unsigned char kMasked = 0x80;       // set in the second byte, which holds the payload size too
constexpr std::size_t kReadBytes = 16384;     // most bytes of one read
constexpr std::size_t kEpollEvents = 256;
constexpr std::size_t kSpareStreams = 16;  // limit of the gateway beyond the measured streams
constexpr std::size_t kConcurrentStreams = 64;
constexpr std::size_t kSequentialMessages = 20'000, kConcurrentMessages = 200'000;
constexpr int kAnswerTimeoutMs = 5000;

enum class Mode { bare, tcp, relay, inspect };
const char* nameOf(Mode mode) {
  return mode == Mode::bare    ? "bare relay"
         : mode == Mode::tcp   ? "opaque"
         : mode == Mode::relay ? "websocket, relay"
                               : "websocket, inspect";
}
bool usesWebSocket(Mode mode) { return mode == Mode::relay || mode == Mode::inspect; }

// Prints `operation` with the text of errno and exits.
void fail(const char* operation) {
  std::perror(operation);
  std::exit(1);
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Listens at a free port of the loopback address, which it stores in `port`.
int listenAt(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 4096) != 0) fail("listen");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

int connectTo(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    fail("connect");
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void writeAll(int fd, const char* bytes, std::size_t size) {
  for (std::size_t done = 0; done < size;) {
    const ssize_t written = ::write(fd, bytes + done, size - done);
    if (written <= 0) fail("write");
    done += static_cast<std::size_t>(written);
  }
}

void readAll(int fd, char* bytes, std::size_t size) {
  for (std::size_t done = 0; done < size;) {
    const ssize_t received = ::read(fd, bytes + done, size - done);
    if (received <= 0) fail("read");
    done += static_cast<std::size_t>(received);
  }
}

// --- The echo host, on a thread. Messages are small: each read is assumed to return whole messages.

class EchoHost {
 public:
  EchoHost() : listening_(listenAt(port)), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    add(listening_);
    std::thread([this] { run(); }).detach();  // ends with the process
  }
  std::uint16_t port = 0;

 private:
  void add(int fd) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  }
  void run() {
    std::vector<epoll_event> events(kEpollEvents);
    char bytes[kReadBytes];
    for (;;) {
      const int eventCount = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), -1);
      for (int i = 0; i < eventCount; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (fd == listening_) {
          const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
          const int one = 1;
          ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
          add(client);
          continue;
        }
        const ssize_t received = ::read(fd, bytes, sizeof bytes);
        if (received <= 0) ::close(fd);
        else answer(fd, bytes, static_cast<std::size_t>(received));
      }
    }
  }
  // Completes a WebSocket handshake; returns the payload of WebSocket messages in unmasked frames and other
  // bytes unchanged. The mask is not removed: the clients do not compare the payload.
  static void answer(int fd, const char* bytes, std::size_t size) {
    const std::string_view text(bytes, size);
    if (text.substr(0, 4) == "GET ") {
      constexpr std::string_view kKeyHeader = "Sec-WebSocket-Key: ";
      constexpr std::size_t kKeySize = 24;  // 16 bytes in base64
      const std::size_t at = text.find(kKeyHeader);
      const std::string head =
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: "
          "Upgrade\r\nSec-WebSocket-Accept: " +
          websocket::acceptOf(text.substr(at + kKeyHeader.size(), kKeySize)) + "\r\n\r\n";
      return writeAll(fd, head.data(), head.size());
    }
    constexpr std::size_t kFrame = kClientFrameHead + kPayload;
    if (size % kFrame != 0 || static_cast<unsigned char>(bytes[0]) != kBinaryFrame ||
        static_cast<unsigned char>(bytes[1]) != (kMasked | kPayload))
      return writeAll(fd, bytes, size);
    std::string out;
    for (std::size_t at = 0; at < size; at += kFrame) {
      out += static_cast<char>(kBinaryFrame);
      out += static_cast<char>(kPayload);
      out.append(bytes + at + kClientFrameHead, kPayload);
    }
    writeAll(fd, out.data(), out.size());
  }
  const int listening_, epoll_;
};

// --- The gateway or relay, in a separate process that writes its port to `out` and serves until it is
// killed.

[[noreturn]] void bareRelay(std::uint16_t host, int out) {
  std::uint16_t port = 0;
  const int listener = listenAt(port), epoll = ::epoll_create1(EPOLL_CLOEXEC);
  std::unordered_map<int, int> peers;  // the two sockets of a stream, each by the other
  const auto add = [&](int fd) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
  };
  add(listener);
  if (::write(out, &port, sizeof port) != sizeof port) fail("write of the port");
  std::vector<epoll_event> events(kEpollEvents);
  char bytes[kReadBytes];
  for (;;) {
    const int eventCount = ::epoll_wait(epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < eventCount; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      if (fd == listener) {
        const int clientSocket = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC), hostSocket = connectTo(host);
        const int one = 1;
        ::setsockopt(clientSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        peers[clientSocket] = hostSocket, peers[hostSocket] = clientSocket;
        add(clientSocket), add(hostSocket);
        continue;
      }
      const ssize_t received = ::read(fd, bytes, sizeof bytes);
      if (received <= 0) std::exit(0);
      writeAll(peers[fd], bytes, static_cast<std::size_t>(received));
    }
  }
}

[[noreturn]] void gatewayProcess(Mode mode, std::uint16_t host, std::size_t streams, int out) {
  asio::io_context io(1);
  const Clock clock;
  // Accepts connections and does not respond.
  tcp::acceptor unresponsiveDiscovery(io, {asio::ip::address_v4::loopback(), 0});
  const auto text = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  const nlohmann::json config = {
      {"name", "bench"},
      {"listen", "127.0.0.1:0"},
      {"discovery", text(unresponsiveDiscovery.local_endpoint().port())},
      {"seed", "1"},
      {"limits", {{"sockets", 100'000}}},
      {"known", fake_upstream::listJson(
                    1, true, nlohmann::json::array({fake_upstream::hostJson("h", text(host), "a")}))},
      {"settings",
       fake_upstream::settingsJson(
           nlohmann::json::array({fake_upstream::classJson({"live", "retryable", "all"})}), false, "a")}};
  GatewayConfig gatewayConfig = readConfig(config.dump(), clock);
  stream::StreamSettings streamSettings;
  streamSettings.enabled = true;
  streamSettings.most = streams + kSpareStreams;
  streamSettings.descriptorShare = 0.9;
  streamSettings.bufferBytes =
      std::max(streamSettings.bufferBytes, stream::minBufferBytes(streamSettings.most));
  streamSettings.log = stream::LogEnds::none;
  stream::ListenSettings listenSettings;
  listenSettings.name = "bench";
  listenSettings.at = {asio::ip::address_v4::loopback(), 0};
  listenSettings.className = "live";
  if (mode == Mode::tcp) streamSettings.listen.push_back(listenSettings);
  gatewayConfig.options.reservedDescriptorFraction = 0.5;
  Gateway gateway(io, clock, gatewayConfig);
  stream::StreamTable table(io, clock, streamSettings, streamSettings.most, 1,
                            gateway.protocolHandlerCallbacks(), [](std::string_view) {});
  stream::TcpProxyHandler tcpProxy(io, clock, streamSettings, gatewayConfig.settings,
                                   gateway.protocolHandlerCallbacks(), table);
  websocket::WebSocketSettings webSocketSettings;
  webSocketSettings.inspect = mode == Mode::inspect;
  std::mt19937 engine(1);
  websocket::WebSocketHandler webSocketHandler(
      clock, webSocketSettings, "bench", [&] { return static_cast<std::uint32_t>(engine()); }, table);
  gateway.attach(tcpProxy);
  gateway.setUpgradeHandler(webSocketHandler);
  tcpProxy.start();
  gateway.start();
  const std::uint16_t port = mode == Mode::tcp ? tcpProxy.endpoint(0).port() : gateway.endpoint().port();
  if (::write(out, &port, sizeof port) != sizeof port) fail("write of the port");
  io.run();
  std::exit(0);
}

// The child process of the gateway or relay.
struct ProxyProcess {
  ProxyProcess(Mode mode, std::uint16_t host, std::size_t streams) {
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
    if (::read(ends[0], &port, sizeof port) != sizeof port) fail("read of the port");
    ::close(ends[0]);
  }
  ~ProxyProcess() {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  // User and system time of the process, in seconds.
  double cpuSeconds() const {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream rest(line.substr(line.rfind(')') + 2));
    constexpr int kSkippedFields = 11;  // from the state, after the name, to the field before utime
    std::string skipped;
    for (int i = 0; i < kSkippedFields; ++i) rest >> skipped;
    double user = 0, kernel = 0;
    rest >> user >> kernel;
    return (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  // Resident memory of the process, in KiB.
  double memoryKib() const {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    constexpr std::string_view kLabel = "VmRSS:";
    for (std::string line; std::getline(file, line);)
      if (line.rfind(kLabel, 0) == 0) return std::atof(line.c_str() + kLabel.size());
    return 0;
  }
  pid_t pid = 0;
  std::uint16_t port = 0;
};

// Sorts `values`. `fraction`: from 0 to 1.
double percentile(std::vector<double>& values, double fraction) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void measure(Mode mode, const EchoHost& host, std::size_t streams) {
  const ProxyProcess proxy(mode, host.port, streams);
  std::string message(kPayload, 'm');
  std::size_t answerBytes = kPayload;
  if (usesWebSocket(mode)) {
    message = websocket::writeFrame(2, message, std::array<unsigned char, 4>{1, 2, 3, 4});
    answerBytes = kPayload + kServerFrameHead;
  }
  char bytes[kReadBytes];
  // Memory is counted from the second stream on: the first one causes one-time costs of the process.
  std::vector<int> streamSockets;
  const double initialMemory = proxy.memoryKib();
  double memoryWithOneStream = initialMemory;
  for (std::size_t i = 0; i < streams; ++i) {
    const int fd = connectTo(proxy.port);
    if (usesWebSocket(mode)) {
      static constexpr char kUpgradeRequest[] =
          "GET /live HTTP/1.1\r\nHost: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
          "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
      writeAll(fd, kUpgradeRequest, sizeof kUpgradeRequest - 1);
      std::string head;
      while (head.find("\r\n\r\n") == std::string::npos) {
        readAll(fd, bytes, 1);
        head += bytes[0];
      }
      if (head.compare(9, 3, "101") != 0) {
        std::fprintf(stderr, "WebSocket handshake failed: %s\n", head.c_str());
        std::exit(1);
      }
    }
    writeAll(fd, message.data(), message.size());
    readAll(fd, bytes, answerBytes);
    streamSockets.push_back(fd);
    if (i == 0) memoryWithOneStream = proxy.memoryKib();
  }
  const double memoryPerStream =
      streams > 1 ? (proxy.memoryKib() - memoryWithOneStream) / static_cast<double>(streams - 1) : 0;

  std::mt19937 engine(7);
  std::vector<double> latenciesUs;
  for (std::size_t i = 0; i < kSequentialMessages; ++i) {
    const int fd = streamSockets[engine() % streamSockets.size()];
    const auto start = steady_clock::now();
    writeAll(fd, message.data(), message.size());
    readAll(fd, bytes, answerBytes);
    latenciesUs.push_back(std::chrono::duration<double, std::micro>(steady_clock::now() - start).count());
  }

  // Concurrent messages on up to kConcurrentStreams streams.
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  const std::size_t concurrency = std::min(kConcurrentStreams, streamSockets.size());
  std::size_t sent = 0, answered = 0, next = 0;
  for (int fd : streamSockets) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
  }
  const auto sendNext = [&] {
    writeAll(streamSockets[next++ % streamSockets.size()], message.data(), message.size());
    ++sent;
  };
  const double cpuBefore = proxy.cpuSeconds();
  const auto start = steady_clock::now();
  while (sent < concurrency) sendNext();
  std::vector<epoll_event> events(kConcurrentStreams);
  while (answered < kConcurrentMessages) {
    const int eventCount = ::epoll_wait(epoll, events.data(), kConcurrentStreams, kAnswerTimeoutMs);
    if (eventCount <= 0) fail("wait for an answer");
    for (int i = 0; i < eventCount; ++i) {
      readAll(events[static_cast<std::size_t>(i)].data.fd, bytes, answerBytes);
      ++answered;
      if (sent < kConcurrentMessages) sendNext();
    }
  }
  const double elapsedSeconds = std::chrono::duration<double>(steady_clock::now() - start).count();
  const double cpuUsed = proxy.cpuSeconds() - cpuBefore;
  std::printf("| %zu | %s | %.0f | %.0f | %.0f | %.2f | %.1f |\n", streams, nameOf(mode),
              percentile(latenciesUs, 0.5), percentile(latenciesUs, 0.99),
              kConcurrentMessages / elapsedSeconds,
              cpuUsed / kConcurrentMessages * bench::kMicrosecondsPerSecond, memoryPerStream);
  std::fflush(stdout);
  for (int fd : streamSockets) ::close(fd);
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
