// Stand-ins for the cases 6 to 10: hosts, discovery, clients, and the gateway's own program as a separate
// process. Blocking sockets on loopback addresses and one thread for each connection; nothing but the C++
// library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline Clock::time_point startTime() {
  static const Clock::time_point at = Clock::now();
  return at;
}
inline double secondsNow() { return std::chrono::duration<double>(Clock::now() - startTime()).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Writes record.txt: what was sent, answered and run, with the seconds since the start.
class Record {
 public:
  static Record& instance() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::printf("%8.3f %s\n", secondsNow(), text);
    std::fflush(stdout);
    if (!file_) return;
    std::fprintf(file_, "%8.3f %s\n", secondsNow(), text);
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
};
#define RECORD(...) review::Record::instance().line(__VA_ARGS__)

// --- The end

// What a test has to leave behind in order: its children ended, its folders removed.
class Cleanup {
 public:
  static Cleanup& instance() {
    static auto* const cleanup = new Cleanup;  // outlives every thread
    return *cleanup;
  }
  void addChild(pid_t child) {
    const std::lock_guard<std::mutex> lock(mutex_);
    children_.insert(child);
  }
  void removeChild(pid_t child) {
    const std::lock_guard<std::mutex> lock(mutex_);
    children_.erase(child);
  }
  void addFolder(const std::string& folder) {
    const std::lock_guard<std::mutex> lock(mutex_);
    folders_.insert(folder);
  }
  // Ends the program without waiting for the threads of stand-ins.
  [[noreturn]] void finish(int code) {
    mutex_.lock();  // for good: the first caller's code counts
    for (const pid_t child : children_) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    std::error_code ignored;
    for (const std::string& folder : folders_) std::filesystem::remove_all(folder, ignored);
    std::_Exit(code);
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> children_;
  std::set<std::string> folders_;
};
[[noreturn]] inline void finish(int code) { Cleanup::instance().finish(code); }

// --- Sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline std::string textOf(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listenOnLoopback(int port = 0, int receiveBuffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receiveBuffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// A port that is free now, for a program that is told its port.
inline int freePort() {
  const int fd = listenOnLoopback();
  const int port = portOf(fd);
  ::close(fd);
  return port;
}

struct Message {
  std::string startLine;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool whole = false;  // the body is complete by its framing

  std::string header(const std::string& name) const {
    const auto at = headers.find(name);
    return at == headers.end() ? "" : at->second;
  }
  int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
  std::string path() const {
    const std::size_t from = startLine.find(' ') + 1;
    return startLine.substr(from, startLine.find(' ', from) - from);
  }
  std::string method() const { return startLine.substr(0, startLine.find(' ')); }
};

// A blocking TCP connection that reads HTTP/1.1 messages.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if the connection does not come up.
  static std::unique_ptr<Connection> to(int port, int receiveBuffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // Ends the connection with a reset.
  void reset() {
    const linger abort{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
  }

  bool write(const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads once, at most `most` bytes, for `timeoutMs` at the longest (below 0: without end). Returns the
  // number of bytes; 0: the end; -1: an error (see `error()`); -2: nothing came in time.
  ssize_t readOnce(std::size_t most, int timeoutMs = -1) {
    pollfd query{fd_, POLLIN, 0};
    const int ready = ::poll(&query, 1, timeoutMs);
    if (ready == 0) return -2;
    std::string piece(most, '\0');
    const ssize_t n = ::recv(fd_, piece.data(), most, 0);
    if (n < 0) error_ = errno;
    if (n > 0) buffer_.append(piece, 0, static_cast<std::size_t>(n));
    return n;
  }
  int error() const { return error_; }
  std::string& buffer() { return buffer_; }

  // Reads the head of a message. Returns nothing at the end of the connection or the time.
  std::optional<Message> readHead(int timeoutMs = -1) {
    const auto deadline = Clock::now() + milliseconds(timeoutMs);
    for (;;) {
      const std::size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        Message message = parseHead(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        return message;
      }
      if (readOnce(16384, left(timeoutMs, deadline)) <= 0) return std::nullopt;
    }
  }

  // Reads a whole message: its body by Content-Length, in chunks, or (an answer) up to the end.
  std::optional<Message> readMessage(int timeoutMs = -1) {
    const auto deadline = Clock::now() + milliseconds(timeoutMs);
    auto message = readHead(timeoutMs);
    if (!message) return std::nullopt;
    const std::string length = message->header("content-length");
    if (message->header("transfer-encoding") == "chunked") {
      message->whole = readChunks(message->body, timeoutMs, deadline);
    } else if (!length.empty()) {
      const std::size_t bytes = std::strtoull(length.c_str(), nullptr, 10);
      while (buffer_.size() < bytes)
        if (readOnce(65536, left(timeoutMs, deadline)) <= 0) break;
      message->whole = buffer_.size() >= bytes;
      message->body = buffer_.substr(0, bytes);
      buffer_.erase(0, bytes);
    } else {
      message->whole = true;  // no body
    }
    return message;
  }

 private:
  static int left(int timeoutMs, Clock::time_point deadline) {
    if (timeoutMs < 0) return -1;
    const auto ms = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::max<long long>(0, ms));
  }

  static Message parseHead(const std::string& head) {
    Message message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    message.startLine = line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return message;
  }

  bool readChunks(std::string& body, int timeoutMs, Clock::time_point deadline) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (readOnce(65536, left(timeoutMs, deadline)) <= 0) return false;
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      const std::size_t total = end + 2 + size + 2;
      while (buffer_.size() < total)
        if (readOnce(65536, left(timeoutMs, deadline)) <= 0) {
          if (buffer_.size() > end + 2) body += buffer_.substr(end + 2, size);
          return false;
        }
      body += buffer_.substr(end + 2, size);
      buffer_.erase(0, total);
      if (size == 0) return true;
    }
  }

  int fd_;
  int error_ = 0;
  std::string buffer_;
};

// --- Servers

// Accepts connections and serves each on a thread of its own, until the program ends.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  // `receiveBuffer`: of its connections, in bytes; 0: the system's own.
  explicit Server(Serve serve, int receiveBuffer = 0)
      : serve_(std::move(serve)), listener_(listenOnLoopback(0, receiveBuffer)), port_(portOf(listener_)) {
    std::thread([this] { accept(); }).detach();
  }
  int port() const { return port_; }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] {
        Connection connection(fd);
        serve_(connection);
      }).detach();
    }
  }
  Serve serve_;
  int listener_;
  int port_;
};

inline std::string answer(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A host as PROTOCOL describes it: keeps connections, one request at a time on each, and begins a request
// when its last byte has come. `handle` answers; it returns false to end the connection.
class Host {
 public:
  using Handle = std::function<bool(const Message& request, Connection& connection)>;
  Host(std::string name, std::string zone, Handle handle)
      : name_(std::move(name)),
        zone_(std::move(zone)),
        handle_(std::move(handle)),
        server_([this](Connection& c) {
          while (const auto request = c.readMessage()) {
            if (!request->whole) return;
            if (request->header("x-correlation-id").empty()) {
              if (!c.write(answer(404, ""))) return;
              continue;
            }
            if (!handle_(*request, c)) return;
          }
        }) {}
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  int port() const { return server_.port(); }
  std::string json(int group) const {
    return R"({"name":")" + name_ + R"(","address":")" + textOf(port()) + R"(","zone":")" + zone_ +
           R"(","type":"std-4c","group":)" + std::to_string(group) +
           R"(,"status":"active","weight":1.0,"since_ms":0})";
  }

 private:
  std::string name_, zone_;
  Handle handle_;
  Server server_;
};

// Discovery with a list that does not change: answers the whole list at once, and a watch when its time is
// over, with no changes.
class Discovery {
 public:
  explicit Discovery(const std::vector<const Host*>& hosts) : Discovery(listOf(hosts)) {}
  explicit Discovery(std::string list)
      : list_(std::move(list)), server_([this](Connection& c) {
          while (const auto call = c.readMessage()) {
            const std::string target = call->path();
            const std::size_t timeout = target.find("timeout_ms=");
            if (timeout == std::string::npos) {
              if (!c.write(answer(200, list_, "Content-Type: application/json\r\n"))) return;
              continue;
            }
            sleepMs(std::min(60000, std::atoi(target.c_str() + timeout + 11)));
            if (!c.write(answer(200, R"({"index":1,"snapshot":false,"endpoints":[]})"))) return;
          }
        }) {}
  int port() const { return server_.port(); }
  const std::string& list() const { return list_; }

 private:
  static std::string listOf(const std::vector<const Host*>& hosts) {
    std::string text = R"({"index":1,"snapshot":true,"endpoints":[)";
    for (std::size_t i = 0; i < hosts.size(); ++i)
      text += (i > 0 ? "," : "") + hosts[i]->json(hosts[i]->zone() == "brasov" ? 0 : 1);
    return text + "]}";
  }
  std::string list_;
  Server server_;
};

// --- The gateway

// Hexadecimal, new with each start.
inline std::string newSeed() {
  std::random_device entropy;
  char text[20];
  std::snprintf(text, sizeof text, "%08x%08x", entropy(), entropy());
  return text;
}

struct GatewayConfig {
  std::string name = "n1", zone = "brasov";
  int listen = 0, ops = 0;  // ports
  int discovery = 0;
  std::string known;
  double idleCloseSeconds = 60;
  std::string seed = newSeed();
};

// The configuration of a gateway of stoc-cubaj, with the figures of its site file and of the page WIRE.
inline std::string configurationText(const GatewayConfig& c) {
  const auto seconds = [](double s) { return std::to_string(static_cast<long long>(s * 1e9)); };
  const auto requestClass = [&](const char* name, const char* effect, const char* group, double points,
                                double aim, double giveUp, double window) {
    return std::string(R"({"name":")") + name + R"(","effect":")" + effect + R"(","group":")" + group +
           R"(","points":)" + std::to_string(points) + R"(,"aimNs":)" + seconds(aim) + R"(,"giveUpNs":)" +
           seconds(giveUp) + R"(,"lateShare":0.0,"stream":false,"windowNs":)" + seconds(window) + "}";
  };
  std::string text = R"({"name":")" + c.name + R"(","listen":")" + textOf(c.listen) + R"(",)";
  if (c.ops > 0) text += R"("ops":")" + textOf(c.ops) + R"(",)";
  return text + R"("discovery":")" + textOf(c.discovery) + R"(","seed":")" + c.seed + R"(",)" +
         R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" + c.known + R"(,"settings":{)" +
         R"("ceilings":{"cancel":true,"connectTimeoutNs":200000000,"cpuUsPerRequest":0.0,"cpuUsPerS":21047,)" +
         R"("idleCloseNs":)" + seconds(c.idleCloseSeconds) +
         R"(,"maxAttempts":6,"maxRetryAfterNs":1000000000,)" +
         R"("openCap":28063,"parallelTries":false,"peers":false,"probes":false,"retryAfter":false,)" +
         R"("streamsPerConn":100},"clientHabits":{"marksRetry":false},"countedBy":"request",)" +
         R"("domain":{"warmKeys":false},"grades":[)" +
         requestClass("cut-plan", "retryable", "all", 12, 0.6, 1.2, 5) + "," +
         requestClass("stock-out", "fragile", "all", 1, 0.4, 2, 5) + "," +
         requestClass("log-in", "dedup", "zone", 1, 0.4, 1, 2) +
         R"(],"groupSize":2,"kindOfService":"proxy","kinds":["std-4c","half-4c"],"layer":0,"myNumber":1,)" +
         R"("overShareWorth":0.1,"registryMode":"ask","report":{"fields":["backlog","recent_ms"],"via":"answers"},)" +
         R"("rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldNs":9000000000,"coldShare":0.32,)" +
         R"("drainGraceNs":500000000,"fallMultiple":3.0,"fallNs":2000000000},)" +
         R"("scoringMix":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},)" +
         R"("stages":["stoc-workers"],"stepNs":5000000,"tenants":[],"weights":"none","zone":")" + c.zone +
         R"(","zones":["brasov","cluj"]}})" + "\n";
}

// A new folder that is removed by `finish`.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* const base = std::getenv("TMPDIR");
    path_ = std::string(base && *base ? base : "/tmp") + "/finchstile-review-XXXXXX";
    if (!::mkdtemp(path_.data())) finish(kCouldNotRun);
    Cleanup::instance().addFolder(path_);
  }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(*this / name, std::ios::trunc | std::ios::binary) << text;
    return *this / name;
  }
  std::string folder(const std::string& name) const {
    std::filesystem::create_directory(*this / name);
    return *this / name;
  }

 private:
  std::string path_;
};

// The value of `run` in deploy/balancer.toml.
inline std::string runCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line))
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  return "";
}

// A program under test as a child process. It is killed at the latest when the test ends, by `finish`.
class Process {
 public:
  struct Options {
    std::string root, command, temporaryFolder, log;
    std::map<std::string, std::string> environment;
    int inheritedListener = -1;  // becomes descriptor 3
  };
  explicit Process(const Options& o) {
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ > 0) Cleanup::instance().addChild(pid_);
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kCouldNotRun);
    const int log = ::open(o.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (o.inheritedListener >= 0) {
      const int copy = ::fcntl(o.inheritedListener, F_DUPFD_CLOEXEC, 100);
      ::dup2(copy, 3);
      ::setenv("LB_INHERITED_FD", "3", 1);
    }
    ::setenv("TMPDIR", o.temporaryFolder.c_str(), 1);
    for (const auto& [name, value] : o.environment) ::setenv(name.c_str(), value.c_str(), 1);
    if (::chdir(o.root.c_str()) != 0) ::_exit(kCouldNotRun);
    ::execl("/bin/sh", "sh", "-c", o.command.c_str(), nullptr);
    ::_exit(kCouldNotRun);
  }
  ~Process() {
    if (pid_ <= 0 || exitStatus()) return;
    Cleanup::instance().removeChild(pid_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const { ::kill(pid_, number); }
  // Nothing while the process runs.
  std::optional<int> exitStatus() {
    int status = 0;
    if (status_ || ::waitpid(pid_, &status, WNOHANG) != pid_) return status_;
    Cleanup::instance().removeChild(pid_);
    return status_ = status;
  }

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

inline std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Asks GET `path` on a new connection; returns the status, 0 if there was no answer.
inline int ask(int port, const std::string& path, const std::string& method = "GET", int timeoutMs = 1000) {
  const auto connection = Connection::to(port);
  if (!connection) return 0;
  connection->write(method + " " + path + " HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n");
  const auto reply = connection->readMessage(timeoutMs);
  return reply ? reply->status() : 0;
}

// Waits until the gateway says that it is ready. Returns false if it does not within `seconds`.
inline bool awaitReady(int port, double seconds) {
  const double until = secondsNow() + seconds;
  while (secondsNow() < until) {
    if (ask(port, "/health/ready") == 200) return true;
    sleepMs(50);
  }
  return false;
}

inline std::string newId() {
  static std::atomic<unsigned> last{0};
  char text[40];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++last);
  return text;
}

// Prepares a test: `arguments` are the repository's root and the folder of the case. Ends the program with
// kCouldNotRun after `seconds` at the latest. Every test ends by `finish`.
struct Test {
  Test(int argc, char** argv, int seconds)
      : root(argc > 1 ? argv[1] : "."), folder(argc > 2 ? argv[2] : ".") {
    startTime();
    ::signal(SIGPIPE, SIG_IGN);
    Record::instance().open(folder + "/record.txt");
    std::thread([seconds] {
      std::this_thread::sleep_for(std::chrono::seconds(seconds));
      RECORD("the test took longer than %d s", seconds);
      finish(kCouldNotRun);
    }).detach();
    const char* const value = std::getenv("TROUBLE");
    trouble = !value || std::string(value) != "0";
    RECORD("trouble: %s", trouble ? "yes" : "no");
  }
  std::string root, folder;
  bool trouble = true;
};

}  // namespace review
