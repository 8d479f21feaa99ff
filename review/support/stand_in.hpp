// Stand-ins for clients, hosts and discovery, on blocking sockets with a thread for each connection. Written
// from the users' pages; nothing of the gateway's own code is used.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stand_in {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the stand-in started.
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

inline void sleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of what was sent, answered and run: one line for each event, with its time.
class Record {
 public:
  explicit Record(const char* path) : file_(std::fopen(path, "w")) {
    if (!file_) std::exit(2);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[512];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline int newSocket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) std::exit(2);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// Listens at a free port of the loopback address.
inline int listenAnywhere(int& port) {
  const int fd = newSocket();
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    std::exit(2);
  port = ntohs(address.sin_port);
  return fd;
}

/// A port that is free now.
inline int freePort() {
  int port = 0;
  ::close(listenAnywhere(port));
  return port;
}

/// Returns a connected socket, or -1.
inline int connectTo(int port) {
  const int fd = newSocket();
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

/// Runs `serve` in a thread of its own for each connection, and closes the connection afterwards.
inline void acceptForever(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, serve] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }).detach();
}

inline bool sendAll(int fd, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

/// An HTTP/1.1 message with a body of known length, or with none.
struct Message {
  std::string startLine;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
  std::string target() const {
    const std::size_t from = startLine.find(' ') + 1;
    return startLine.substr(from, startLine.find(' ', from) - from);
  }
};

/// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Waits until `deadline` (see `now`) at most. Returns false at the deadline, and at the end of the
  /// connection.
  bool read(Message& message, double deadline = 1e9) {
    message = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(deadline)) return false;
    parseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    const std::size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length)
      if (!fill(deadline)) return false;
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  /// True if the peer ended the connection, in order or with a reset.
  bool ended() const { return ended_; }
  bool hasBufferedBytes() const { return !buffer_.empty(); }

 private:
  bool fill(double deadline) {
    pollfd query{fd_, POLLIN, 0};
    const double left = deadline - now();
    if (left <= 0) return false;
    if (::poll(&query, 1, left > 1e6 ? -1 : static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const ssize_t received = ::recv(fd_, bytes, sizeof bytes, 0);
    if (received <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
  }
  static void parseHead(const std::string& head, Message& message) {
    std::size_t from = head.find("\r\n");
    message.startLine = head.substr(0, from);
    while (from != std::string::npos) {
      from += 2;
      const std::size_t end = head.find("\r\n", from);
      const std::string line = head.substr(from, end == std::string::npos ? end : end - from);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
      }
      from = end;
    }
  }

  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

/// An answer with a body.
inline std::string answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct HostEntry {
  std::string name, zone;
  int port = 0;
  int group = 0;
};

/// A list of hosts in discovery's form.
inline std::string listOf(const std::vector<HostEntry>& hosts) {
  std::string list = R"({"index":1,"snapshot":true,"endpoints":[)";
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const HostEntry& host = hosts[i];
    list += std::string(i ? "," : "") + R"({"name":")" + host.name + R"(","address":"127.0.0.1:)" +
            std::to_string(host.port) + R"(","zone":")" + host.zone + R"(","type":"std-4c","group":)" +
            std::to_string(host.group) + R"(,"status":"active","weight":1.0,"since_ms":0})";
  }
  return list + "]}";
}

/// Discovery with a list that does not change. Returns its port.
inline int startDiscovery(const std::string& list) {
  int port = 0;
  const int listener = listenAnywhere(port);
  acceptForever(listener, [list](int fd) {
    Reader reader(fd);
    for (Message call; reader.read(call);) {
      const std::string target = call.target();
      if (target.find("since=") == std::string::npos) {
        if (!sendAll(fd, answer(200, "", list))) return;
        continue;
      }
      const std::size_t wait = target.find("timeout_ms=");
      sleepFor(wait == std::string::npos ? 1 : std::atof(target.c_str() + wait + 11) / 1000);
      if (!sendAll(fd, answer(200, "", R"({"index":1,"snapshot":false,"endpoints":[]})"))) return;
    }
  });
  return port;
}

/// The gateway's configuration: the figures of the first deployment (stoc-cubaj), as its settings tell them.
struct Configuration {
  int listenPort = 0, discoveryPort = 0;
  std::string list;
  std::string zone = "brasov";
  std::string tenants = "[]";
};

inline std::string gradeOf(const std::string& name, const std::string& effect, const std::string& group,
                           double aim, double giveUp, double points, double window) {
  const auto nanoseconds = [](double seconds) {
    return std::to_string(static_cast<long long>(seconds * 1e9));
  };
  return R"({"name":")" + name + R"(","effect":")" + effect + R"(","group":")" + group + R"(","aimNs":)" +
         nanoseconds(aim) + R"(,"giveUpNs":)" + nanoseconds(giveUp) + R"(,"points":)" +
         std::to_string(points) + R"(,"stream":false,"lateShare":0.0,"windowNs":)" + nanoseconds(window) +
         "}";
}

inline void writeConfiguration(const std::string& path, const Configuration& configuration) {
  const std::string text =
      R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(configuration.listenPort) +
      R"(","discovery":"127.0.0.1:)" + std::to_string(configuration.discoveryPort) +
      R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
      configuration.list +
      R"(,"settings":{"ceilings":{"cancel":true,"connectTimeoutNs":200000000,"cpuUsPerS":21047,)"
      R"("idleCloseNs":60000000000,"maxAttempts":6,"maxRetryAfterNs":1000000000,"openCap":28063,)"
      R"("parallelTries":false,"peers":false,"probes":false,"retryAfter":false,"streamsPerConn":100},)"
      R"("clientHabits":{"marksRetry":false},"countedBy":"request","domain":{"warmKeys":false},"grades":[)" +
      gradeOf("cut-plan", "retryable", "all", 0.6, 1.2, 12, 5) + "," +
      gradeOf("stock-out", "fragile", "all", 0.4, 2, 1, 5) + "," +
      gradeOf("log-in", "dedup", "zone", 0.4, 1, 1, 2) +
      R"(],"groupSize":1,"myNumber":0,"kindOfService":"proxy","kinds":["std-4c"],"layer":0,"overShareWorth":0.1,)"
      R"("registryMode":"ask","report":{"fields":["backlog","recent_ms"],"via":"answers"},"rules":{)"
      R"("answerSlackNs":20000000,"askWithinNs":10000000000,"coldNs":9000000000,"coldShare":0.32,)"
      R"("drainGraceNs":500000000,"fallMultiple":3.0,"fallNs":2000000000},"stages":["stoc-workers"],)"
      R"("stepNs":5000000,"tenants":)" +
      configuration.tenants + R"(,"weights":"none","zone":")" + configuration.zone +
      R"(","zones":["brasov","cluj"]}})";
  std::FILE* const file = std::fopen(path.c_str(), "w");
  if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size() || std::fclose(file) != 0)
    std::exit(2);
}

/// Waits until `GET /health/ready` is answered with 200, 30 s at most.
inline bool awaitReady(int port) {
  for (const double end = now() + 30; now() < end; sleepFor(0.05)) {
    const int fd = connectTo(port);
    if (fd < 0) continue;
    Reader reader(fd);
    Message ready;
    const bool isReady = sendAll(fd, "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
                         reader.read(ready, now() + 1) && ready.status() == 200;
    ::close(fd);
    if (isReady) return true;
  }
  return false;
}

/// A new correlation id.
inline std::string newId() {
  static std::atomic<unsigned> count{0};
  char id[32];
  std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
  return id;
}

inline bool troubleIsOn() {
  const char* const trouble = std::getenv("TROUBLE");
  return !trouble || std::strcmp(trouble, "0") != 0;
}

}  // namespace stand_in
