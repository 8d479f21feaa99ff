// Hosts with a bounded queue, behind links with latency, that now and then send a response a second time,
// some milliseconds late. They share a record of what happened to the attempts of each request, which counts
// breaches of the rules on duplicates.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace finchstile::testing {

// Runs actions after a fixed delay, in the order in which they were added.
class DelayLine {
 public:
  using Action = std::function<void()>;
  DelayLine(boost::asio::io_context& io, std::chrono::microseconds delay) : timer_(io), delay_(delay) {}

  void add(Action action) {
    if (delay_ == std::chrono::microseconds::zero()) return action();
    pending_.emplace_back(std::chrono::steady_clock::now() + delay_, std::move(action));
    if (pending_.size() == 1) arm();
  }
  void stop() {
    pending_.clear();
    timer_.cancel();
  }

 private:
  void arm() {
    timer_.expires_at(pending_.front().first);
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled || pending_.empty()) return;
      const Action action = std::move(pending_.front().second);
      pending_.pop_front();
      action();
      if (!pending_.empty()) arm();
    });
  }
  boost::asio::steady_timer timer_;
  const std::chrono::microseconds delay_;
  std::deque<std::pair<std::chrono::steady_clock::time_point, Action>> pending_;
};

// One connection from a gateway to a host.
struct HostConnection : std::enable_shared_from_this<HostConnection> {
  HostConnection(boost::asio::ip::tcp::socket s, boost::asio::io_context& io,
                 std::chrono::microseconds latency)
      : socket(std::move(s)),
        gatewayPort(socket.remote_endpoint().port()),
        in(io, latency),
        out(io, latency) {}

  // Whether the gateway has closed it, even if the host has not been told yet.
  bool closedByGateway() {
    char byte = 0;
    return closed || ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  boost::asio::ip::tcp::socket socket;
  const std::uint16_t gatewayPort;  // identifies the connection in the gateway's attempt log
  DelayLine in, out;
  std::string arrived;    // bytes that have arrived and belong to no request yet
  std::string requestId;  // of the request that is queued or running; empty if there is none
  bool running = false, closed = false;
  char readBuffer[16 * 1024];
};

// Records the attempts of all requests at all hosts. Counts an attempt as a breach if an earlier one forbids
// it.
class AttemptRecord {
 public:
  enum class Kind { idempotent, nonIdempotent, keyed };
  enum class State { pending, rejected, mayHaveRun };

  void onReceived(const std::string& id, Kind kind, const std::string& host, const std::string& zone,
                  const std::shared_ptr<HostConnection>& connection) {
    note(host, *connection, id, "received");
    std::vector<Attempt>& attempts = attempts_[id];
    for (Attempt& earlier : attempts) {
      if (earlier.state == State::pending && earlier.connection->closedByGateway())
        earlier.state = State::mayHaveRun;
      if (earlier.state == State::pending) breach(concurrent, id, "sent while an earlier attempt is pending");
      if (earlier.state == State::rejected) continue;
      if (kind == Kind::nonIdempotent) breach(repeated, id, "sent again though it may have run");
      if (kind == Kind::keyed && earlier.zone != zone) breach(outsideScope, id, "sent outside its zone");
    }
    attempts.push_back({zone, connection, State::pending});
  }
  void onEnded(const std::string& id, const std::shared_ptr<HostConnection>& connection, State state) {
    for (Attempt& attempt : attempts_[id])
      if (attempt.connection == connection && attempt.state == State::pending) attempt.state = state;
  }
  void note(const std::string& host, const HostConnection& connection, const std::string& id,
            const std::string& event) {
    events_.push_back({secondsSinceStart(), host, connection.gatewayPort, id, event});
  }

  // The events of a request, and those of its connections in the 50 ms before its first one.
  std::string historyOf(const std::string& id) const {
    constexpr double kLookBack = 0.05;
    std::string text;
    for (const Event& event : events_) {
      const bool related = std::any_of(events_.begin(), events_.end(), [&](const Event& own) {
        return own.id == id && own.host == event.host && own.gatewayPort == event.gatewayPort &&
               event.at >= own.at - kLookBack && event.at <= own.at;
      });
      if (event.id == id || related) text += format(event);
    }
    return text;
  }
  double secondsSinceStart() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt_).count();
  }

  int concurrent = 0, repeated = 0, outsideScope = 0;
  std::vector<std::string> breachIds;  // the requests of the breaches, in order

 private:
  struct Attempt {
    std::string zone;
    std::shared_ptr<HostConnection> connection;
    State state = State::pending;
  };
  struct Event {
    double at = 0;
    std::string host;
    std::uint16_t gatewayPort = 0;
    std::string id, event;
  };
  void breach(int& counter, const std::string& id, const char* what) {
    ++counter;
    breachIds.push_back(id);
    events_.push_back({secondsSinceStart(), "", 0, id, std::string("BREACH: ") + what});
  }
  static std::string format(const Event& event) {
    char line[256];
    std::snprintf(line, sizeof line, "%9.4f %-5s port=%-5u %s: %s\n", event.at, event.host.c_str(),
                  event.gatewayPort, event.id.c_str(), event.event.c_str());
    return line;
  }

  const std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  std::map<std::string, std::vector<Attempt>> attempts_;
  std::vector<Event> events_;
};

struct DuplicatingHostBehavior {
  std::chrono::microseconds latency{0};  // one way
  int responsesPerCopy = 8;              // one response in so many is sent twice
  int requestsPerRejection = 8;  // one request in so many is turned away, besides those over the queue
  std::chrono::microseconds minCopyDelay{1000}, maxCopyDelay{4000};
  // The host sends no copy if bytes have arrived since the response. If false, it looks only when it sends
  // the response.
  bool looksBeforeCopy = true;
  std::size_t slots = 4, queueLength = 3;
  std::chrono::microseconds minWork{20'000}, maxWork{80'000};
};

class DuplicatingHost {
 public:
  using tcp = boost::asio::ip::tcp;
  DuplicatingHost(boost::asio::io_context& io, std::string name, std::string zone,
                  const DuplicatingHostBehavior& behavior, AttemptRecord& record, std::mt19937& random)
      : io_(io),
        name_(std::move(name)),
        zone_(std::move(zone)),
        behavior_(behavior),
        record_(record),
        random_(random),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }
  ~DuplicatingHost() {
    for (const auto& connection : connections_) close(*connection);
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }

  int served = 0, rejected = 0, copies = 0;

 private:
  using error_code = boost::system::error_code;
  using ConnectionPointer = std::shared_ptr<HostConnection>;

  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      socket.set_option(tcp::no_delay(true));
      connections_.push_back(std::make_shared<HostConnection>(std::move(socket), io_, behavior_.latency));
      read(connections_.back());
      accept();
    });
  }
  void read(const ConnectionPointer& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->readBuffer), [this, connection](error_code error, std::size_t n) {
          if (connection->closed) return;
          if (error) return connection->in.add([this, connection] { onClosedByGateway(connection); });
          connection->in.add([this, connection, bytes = std::string(connection->readBuffer, n)] {
            connection->arrived += bytes;
            takeRequest(connection);
          });
          read(connection);
        });
  }

  // Takes the next request if it has arrived completely; a host works on one request per connection.
  void takeRequest(const ConnectionPointer& connection) {
    if (!connection->requestId.empty()) return;
    const std::size_t headEnd = connection->arrived.find("\r\n\r\n");
    if (headEnd == std::string::npos) return;
    const std::string head = connection->arrived.substr(0, headEnd + 2);
    const std::string length = headerOf(head, "Content-Length");
    const std::size_t size = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
    if (connection->arrived.size() < size) return;
    connection->arrived.erase(0, size);
    connection->requestId = headerOf(head, "X-Correlation-Id");
    record_.onReceived(connection->requestId, kindOf(head), name_, zone_, connection);
    if (oneIn(behavior_.requestsPerRejection)) respond(connection, 503);
    else if (running_ < behavior_.slots) run(connection);
    else if (queue_.size() < behavior_.queueLength) queue_.push_back(connection);
    else respond(connection, 503);
  }
  static std::string headerOf(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
  static AttemptRecord::Kind kindOf(const std::string& head) {
    if (head.compare(0, 4, "GET ") == 0) return AttemptRecord::Kind::idempotent;
    return headerOf(head, "Idempotency-Key").empty() ? AttemptRecord::Kind::nonIdempotent
                                                     : AttemptRecord::Kind::keyed;
  }

  void run(const ConnectionPointer& connection) {
    connection->running = true;
    ++running_;
    after(between(behavior_.minWork, behavior_.maxWork), [this, connection, id = connection->requestId] {
      if (!connection->closed && connection->requestId == id) respond(connection, 200);
    });
  }
  void respond(const ConnectionPointer& connection, int status) {
    const std::string id = std::exchange(connection->requestId, {});
    const std::string body = "made for " + id;
    const std::string response = "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                                 (status == 503 ? "X-Unprocessed: 1\r\n" : "") +
                                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    ++(status == 200 ? served : rejected);
    record_.note(name_, *connection, id, "responds " + std::to_string(status));
    record_.onEnded(id, connection,
                    status == 200 ? AttemptRecord::State::mayHaveRun : AttemptRecord::State::rejected);
    send(connection, response);
    if (connection->arrived.empty() && oneIn(behavior_.responsesPerCopy))
      after(between(behavior_.minCopyDelay, behavior_.maxCopyDelay),
            [this, connection, id, response] { sendCopy(connection, id, response); });
    releaseSlot(*connection);
    takeRequest(connection);
  }
  void sendCopy(const ConnectionPointer& connection, const std::string& id, const std::string& response) {
    if (connection->closed) return;
    if (behavior_.looksBeforeCopy && (!connection->arrived.empty() || !connection->requestId.empty())) return;
    ++copies;
    record_.note(name_, *connection, id, "sends the same response again");
    send(connection, response);
  }
  static void send(const ConnectionPointer& connection, const std::string& bytes) {
    connection->out.add([connection, bytes] {
      error_code ignored;
      if (!connection->closed) boost::asio::write(connection->socket, boost::asio::buffer(bytes), ignored);
    });
  }

  void onClosedByGateway(const ConnectionPointer& connection) {
    const std::string id = std::exchange(connection->requestId, {});
    record_.note(name_, *connection, id, "closed by the gateway");
    if (!id.empty()) record_.onEnded(id, connection, AttemptRecord::State::mayHaveRun);
    queue_.erase(std::remove(queue_.begin(), queue_.end(), connection), queue_.end());
    close(*connection);
    releaseSlot(*connection);
    connections_.erase(std::remove(connections_.begin(), connections_.end(), connection), connections_.end());
  }
  static void close(HostConnection& connection) {
    connection.closed = true;
    connection.in.stop();
    connection.out.stop();
    error_code ignored;
    connection.socket.close(ignored);
  }
  void releaseSlot(HostConnection& connection) {
    if (!std::exchange(connection.running, false)) return;
    --running_;
    if (queue_.empty()) return;
    const ConnectionPointer next = queue_.front();
    queue_.pop_front();
    run(next);
  }

  bool oneIn(int count) { return random_() % static_cast<unsigned>(count) == 0; }
  std::chrono::microseconds between(std::chrono::microseconds low, std::chrono::microseconds high) {
    return std::chrono::microseconds(std::uniform_int_distribution<long>(low.count(), high.count())(random_));
  }
  void after(std::chrono::microseconds delay, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](error_code) { action(); });
  }

  boost::asio::io_context& io_;
  const std::string name_, zone_;
  const DuplicatingHostBehavior behavior_;
  AttemptRecord& record_;
  std::mt19937& random_;
  tcp::acceptor acceptor_;
  std::vector<ConnectionPointer> connections_;
  std::deque<ConnectionPointer> queue_;
  std::size_t running_ = 0;
};

}  // namespace finchstile::testing
