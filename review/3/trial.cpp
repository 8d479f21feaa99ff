// Terminals send bookings over WebSocket, one after another or many at once, and the worker confirms each by
// sending it back.
#include <sys/time.h>

#include "../support/stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int kHosts = 3;
constexpr int kTerminals = 12;
constexpr double kRunTime = 30;
constexpr double kPause = 0.1;                // between one round of bookings and the next
constexpr std::size_t kPayloadLengths = 360;  // bookings have 40 to 399 bytes
constexpr int kAtOnce = 2000;
constexpr int kPatience = 5;  // seconds in which a confirmation comes, at the least

// The key of RFC 6455, 1.3, and the accept value that goes with it.
const std::string kKey = "dGhlIHNhbXBsZSBub25jZQ==";
const std::string kAccept = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";

// Exactly `size` bytes from a connection, behind those that a Reader has left over.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}
  // Reads a head up to its empty line.
  bool readHead(std::string& head) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill()) return false;
    head = buffer_.substr(0, end + 4);
    buffer_.erase(0, end + 4);
    return true;
  }
  bool read(std::size_t size, std::string& bytes) {
    while (buffer_.size() - offset_ < size)
      if (!fill()) return false;
    bytes = buffer_.substr(offset_, size);
    offset_ += size;
    if (offset_ > 1 << 20) {
      buffer_.erase(0, offset_);
      offset_ = 0;
    }
    return true;
  }

 private:
  bool fill() {
    char bytes[65536];
    const ssize_t received = ::recv(fd_, bytes, sizeof bytes, 0);
    if (received <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
  }
  int fd_;
  std::string buffer_;
  std::size_t offset_ = 0;
};

// A final frame. A mask makes it a client's.
std::string frame(unsigned opcode, const std::string& payload, bool masked) {
  std::string out(1, static_cast<char>(0x80 | opcode));
  const unsigned maskBit = masked ? 0x80 : 0;
  if (payload.size() < 126) {
    out += static_cast<char>(maskBit | payload.size());
  } else {
    out += static_cast<char>(maskBit | 126);
    out += static_cast<char>(payload.size() >> 8);
    out += static_cast<char>(payload.size());
  }
  if (!masked) return out + payload;
  const char key[] = {0x37, 0x11, 0x5a, 0x22};
  out.append(key, 4);
  for (std::size_t i = 0; i < payload.size(); ++i) out += static_cast<char>(payload[i] ^ key[i % 4]);
  return out;
}

// Reads one frame of at most 65,535 bytes. Returns false at the end of the connection.
bool readFrame(Stream& stream, unsigned& opcode, std::string& payload) {
  std::string bytes;
  if (!stream.read(2, bytes)) return false;
  opcode = static_cast<unsigned char>(bytes[0]) & 0x0f;
  const unsigned second = static_cast<unsigned char>(bytes[1]);
  std::size_t length = second & 0x7f;
  if (length >= 126) {
    const std::size_t more = length == 126 ? 2 : 8;
    if (!stream.read(more, bytes)) return false;
    length = 0;
    for (const char c : bytes) length = length << 8 | static_cast<unsigned char>(c);
    if (length > 65535) return false;
  }
  std::string key;
  if ((second & 0x80) && !stream.read(4, key)) return false;
  if (!stream.read(length, payload)) return false;
  for (std::size_t i = 0; i < payload.size() && !key.empty(); ++i)
    payload[i] = static_cast<char>(payload[i] ^ key[i % 4]);
  return true;
}

// The payload of a message: its terminal and number, filled up to some length of its own.
std::string payloadOf(int terminal, int number) {
  std::string payload = "terminal " + std::to_string(terminal) + " booking " + std::to_string(number) + " ";
  payload.resize(40 + static_cast<std::size_t>(number) * 7919 % kPayloadLengths, '.');
  return payload;
}

struct Trial {
  explicit Trial(const char* path) : record(path) {}

  // A worker that sends each message back.
  void serve(const std::string& name, int fd) {
    Stream stream(fd);
    std::string head;
    if (!stream.readHead(head)) return;
    if (!sendAll(fd,
                 "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
                 "Sec-WebSocket-Accept: " +
                     kAccept + "\r\n\r\n"))
      return;
    unsigned opcode = 0;
    for (std::string payload; readFrame(stream, opcode, payload);) {
      if (opcode == 8) {
        sendAll(fd, frame(8, payload, false));
        record.line("host %s got a close, code %d", name.c_str(), closeCode(payload));
        return;
      }
      if (opcode == 9 && !sendAll(fd, frame(10, payload, false))) return;
      if (opcode == 1 && !sendAll(fd, frame(1, payload, false))) return;
    }
    record.line("host %s: a stream ended without a close", name.c_str());
  }
  static int closeCode(const std::string& payload) {
    return payload.size() < 2
               ? 0
               : static_cast<unsigned char>(payload[0]) << 8 | static_cast<unsigned char>(payload[1]);
  }

  void book(int port, int terminal, double end, int atOnce) {
    const int fd = connectTo(port);
    const std::string request =
        "GET /cut-plan/live HTTP/1.1\r\nHost: api.internal\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
        "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " +
        kKey + "\r\nX-Correlation-Id: " + newId() + "\r\nX-Time-Left-Ms: 1200\r\n\r\n";
    Stream stream(fd);
    std::string head;
    if (fd < 0 || !sendAll(fd, request) || !stream.readHead(head) || head.compare(9, 3, "101") != 0) {
      record.line("terminal %d was not upgraded", terminal);
      return;
    }
    ++upgraded;
    timeval patience{};
    patience.tv_sec = kPatience;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    int sentHere = 0, expected = 0;
    std::string problem;
    while (now() < end && problem.empty()) {
      std::string bytes;
      for (int i = 0; i < atOnce; ++i) bytes += frame(1, payloadOf(terminal, sentHere + i), true);
      sentHere += atOnce;
      // The confirmations are read while the bookings are sent.
      std::thread sender([&] { sendAll(fd, bytes); });
      problem = readConfirmations(stream, terminal, sentHere, expected);
      if (!problem.empty()) ::shutdown(fd, SHUT_RDWR);
      sender.join();
      if (atOnce > 1) sleepFor(kPause);
    }
    ::close(fd);
    sent += sentHere;
    confirmed += expected;
    if (!problem.empty()) ++broken;
    record.line("terminal %d sent %d bookings, %d were confirmed; %s%s", terminal, sentHere, expected,
                problem.empty() ? "all right" : problem.c_str(), problem.empty() ? "" : " -- BROKEN");
  }

  // Returns what went wrong; empty if all confirmations came, in order.
  static std::string readConfirmations(Stream& stream, int terminal, int upTo, int& expected) {
    unsigned opcode = 0;
    for (std::string payload; expected < upTo;) {
      if (!readFrame(stream, opcode, payload)) return "its connection ended, or nothing came for 5 s";
      if (opcode == 9) continue;
      if (opcode == 8) return "it got a close, code " + std::to_string(closeCode(payload));
      if (opcode != 1 || payload != payloadOf(terminal, expected)) return "it got something else";
      ++expected;
    }
    return "";
  }

  Record record;
  std::atomic<int> upgraded{0}, sent{0}, confirmed{0}, broken{0};
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
    acceptForever(listener, [&, name](int fd) { trial.serve(name, fd); });
    hosts.push_back({name, "brasov", port, 0});
  }
  Configuration configuration;
  configuration.listenPort = freePort();
  configuration.list = listOf(hosts);
  configuration.discoveryPort = startDiscovery(configuration.list);
  writeConfiguration(folder + "/config.json", configuration);
  ::fclose(::fopen((folder + "/ready").c_str(), "w"));
  if (!awaitReady(configuration.listenPort)) return 2;
  const double end = now() + kRunTime;
  const int atOnce = troubleIsOn() ? kAtOnce : 1;
  std::vector<std::thread> terminals;
  for (int i = 0; i < kTerminals; ++i)
    terminals.emplace_back([&, i] { trial.book(configuration.listenPort, i, end, atOnce); });
  for (std::thread& terminal : terminals) terminal.join();

  trial.record.line("sum: terminals %d, broken %d, bookings %d, confirmed %d", trial.upgraded.load(),
                    trial.broken.load(), trial.sent.load(), trial.confirmed.load());
  std::printf("terminals %d, broken %d, bookings %d, confirmed %d\n", trial.upgraded.load(),
              trial.broken.load(), trial.sent.load(), trial.confirmed.load());
  std::fflush(stdout);
  std::_Exit(trial.broken > 0 ? 1 : trial.upgraded == kTerminals ? 0 : 2);
}
