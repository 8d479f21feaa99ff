#include "net/upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <string>
#include <utility>

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::Outcome;

using std::chrono::milliseconds;

// A host that shows no sign of life so long, in the midst of a body in either direction, gives no more.
constexpr Duration kBodyStall = std::chrono::seconds(5);
constexpr int kInterimMost = 8;  // 1xx answers ahead of one final answer

// How long a last byte is held back: round trips as the connect took one, the second for what the other side
// takes to notice; at most a small part of an aim, should a queue or a pause of ours have spoilt the measure.
constexpr int kProofTrips = 2;
constexpr Duration kProofMost = milliseconds(20);

template <class Response>
Outcome outcomeOf(const Response& response) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::served;
  // Danger: only the mark proves that it never ran.
  if ((status == 503 || status == 504) && response["X-Unprocessed"] == "1")
    return Outcome::rejectedForCapacity;
  // The request is at fault, not the host. 408 and 429 speak of the host's own state.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return Outcome::invalidRequest;
  return Outcome::error;
}

}  // namespace

// One connection: it carries one attempt at a time, and is closed rather than reused after anything but a
// whole answer.
class UpstreamPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(UpstreamPool& pool, HostId of)
      : host(of), pool_(pool), socket_(pool.io_), timer_(pool.io_), buffer_(kBufferMost + kReadMost) {
    ++pool_.connections_;
    ++pool_.upstreams_[host].connections;
    ++pool_.opened_;
  }
  // No destructor that touches the pool: pending handlers may keep a connection alive beyond it.

  const HostId host;
  tcp::endpoint endpoint;
  Time idleSince{};

  void connect(const tcp::endpoint& to) {
    endpoint = to;
    const Time begun = pool_.clock_.now();
    const auto self = shared_from_this();
    timer_.expires_after(pool_.limits_.connectTimeout);
    timer_.async_wait([this, self](error_code stopped) {
      if (!stopped && !closed_ && connecting_) ended(false);
    });
    socket_.async_connect(endpoint, [this, self, begun](error_code error) {
      if (closed_ || !connecting_) return;
      roundTrip_ = pool_.clock_.now() - begun;
      error_code ignored;
      if (!error) socket_.set_option(tcp::no_delay(true), ignored);
      ended(!error);
    });
  }

  void carry(AttemptId attempt, OutgoingRequest&& out, bool proveFirst) {
    attempt_ = attempt;
    reader_.restart();
    interims_ = 0;
    relaying_ = false;
    coming_ = !out.bodyComplete;
    upgrade_ = out.upgrade;
    lastByteOut_ = false;
    std::ostringstream bytes;
    if (coming_) bytes << out.message.base();
    else bytes << out.message;
    request_ = std::move(bytes).str();
    if (coming_) {
      chunked_ = out.message.chunked();
      append(out.message.body());
      watchEarly();
      return write(0, request_.size());
    }
    if (!proveFirst) return write(0, request_.size());
    write(0, request_.size() - 1);
  }

  // The next piece of a body, asked for by `onWantBody`.
  void feed(const std::string& piece, bool last) {
    append(piece);
    if (last && chunked_) request_ += "0\r\n\r\n";
    coming_ = !last;
    if (coming_) return request_.empty() ? wantBody() : write(0, request_.size());
    // Danger: with nothing left to write the host would have all of it, and nobody would listen.
    if (request_.empty()) return over(Outcome::reset);
    write(0, request_.size() - 1);
  }

  void readOn() {
    if (relaying_) advance();
  }

  bool lastByteOut() const { return lastByteOut_; }

  bool alive() {  // danger: the host may have closed it a moment ago, with the news still in the queue
    char byte = 0;
    const ssize_t n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void watch() {  // while idle: anything that comes, the end above all, makes it useless
    if (std::exchange(watching_, true)) return;  // that of an earlier idle time is still out
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
      watching_ = false;
      if (closed_ || attempt_ != 0) return;
      if (!error && alive()) return watch();
      auto& idle = pool_.upstreams_[host].idle;
      idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
      close();
    });
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    --pool_.connections_;
    --pool_.upstreams_[host].connections;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void ended(bool good) {
    connecting_ = false;
    timer_.cancel();
    const auto self = shared_from_this();
    if (!good) close();
    pool_.connectEnded(self, good);
  }

  void append(const std::string& piece) {
    if (!chunked_) {
      request_ += piece;
      return;
    }
    if (piece.empty()) return;  // it would be the last one
    char size[24];
    request_.append(size,
                    static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", piece.size())));
    request_.append(piece).append("\r\n");
  }

  void wantBody() { pool_.events_.onRequestBodyWanted(attempt_); }

  void write(std::size_t from, std::size_t to) {
    lastByteOut_ = !coming_ && to == request_.size();
    if (coming_) watchForStall(kBodyStall, Outcome::connectFailed);
    asio::async_write(socket_, asio::buffer(request_.data() + from, to - from),
                      [this, self = shared_from_this(), to](error_code error, std::size_t) {
                        if (closed_) return;
                        // An error here means that the last byte was never written: the host has not begun.
                        if (error) return over(Outcome::connectFailed);
                        if (coming_) {
                          stopTimer();
                          request_.clear();
                          return wantBody();
                        }
                        if (to < request_.size()) return prove(to);
                        ++pool_.sends_;
                        request_.clear();
                        read();
                      });
  }

  // Danger: no look at a socket tells whether the other side is still there. It may have closed or forgotten
  // the connection with the news under way, may never tell, or resets at the next bytes; so may any box
  // between. A host begins with the last byte: what ends before that one is written has not run, whoever
  // ended it and why, and may go elsewhere. So all but the last is written, and an end has the time to show.
  // This guards also against new connections that are accepted and dropped, and processes that died unseen.
  // It does harm where something between answers for the host, or keeps bytes back until the request is
  // whole: then it proves nothing and costs its time; and where a host gives a begun request no time at all.
  void prove(std::size_t at) {
    stopTimer();
    timer_.expires_after(proofTime());
    timer_.async_wait([this, self = shared_from_this(), at](error_code stopped) {
      if (stopped || closed_) return;
      if (alive() && pool_.events_.maySendLastByte(attempt_)) return write(at, request_.size());
      over(Outcome::connectFailed);
    });
    watchEarly();
  }

  void watchEarly() {
    if (std::exchange(watchingEarly_, true)) return;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code) {
      watchingEarly_ = false;
      // Bytes that come ahead of the whole request are no answer to it.
      if (!closed_ && attempt_ != 0 && !lastByteOut_ && !alive()) over(Outcome::connectFailed);
    });
  }

  // Danger: the kernel's own measure counts late acknowledgements, tens of milliseconds, as round trips.
  Duration proofTime() const {
    return std::max(pool_.limits_.proofLeast, std::min(kProofTrips * roundTrip_, kProofMost));
  }

  void read() {
    socket_.async_read_some(buffer_.prepare(relaying_ ? kPieceMost : kReadMost),
                            [this, self = shared_from_this()](error_code error, std::size_t n) {
                              if (closed_) return;
                              stopTimer();
                              if (error == asio::error::eof && reader_.endsWithConnection()) return advance();
                              if (error) return broken();
                              buffer_.commit(n);
                              advance();
                            });
  }

  // Anything but a whole answer that its framing proves whole is a reset: the request may have run, and what
  // came is nobody's answer.
  void advance() {
    using Step = MessageReader<false>::Step;
    error_code error;
    for (;;) switch (reader_.step(buffer_, error)) {
        case Step::bad: return broken();
        case Step::head:
          if (reader_.parser().get().result_int() >= 200) pool_.events_.onResponseHeaders(attempt_);
          if (reader_.parser().get().result() == http::status::switching_protocols)
            return upgrade_ ? upgraded() : broken();
          if (reader_.parser().content_length().value_or(0) > kWholeMost) return begin();
          break;
        case Step::more:
          if (relaying_ && reader_.bodyHeld() > 0) return pass(false);
          if (reader_.bodyHeld() > kWholeMost) return begin();
          watchForStall(relaying_ ? kBodyStall : pool_.limits_.answerMost, Outcome::reset);
          return read();
        case Step::whole:
          stopTimer();
          if (relaying_) return pass(true);
          if (reader_.parser().get().result_int() >= 200) return answered();
          if (++interims_ > kInterimMost) return over(Outcome::reset);
          reader_.restart();  // the final answer follows
          if (buffer_.size() == 0) return read();
      }
  }

  // Danger: a spoilt answer may leave its connection open and say no more. One that has begun has to go on
  // within the time in which a host shows any sign of life; as long as it does, it may take its time.
  void watchForStall(Duration most, Outcome outcome) {
    if (std::exchange(timed_, true)) return;
    timer_.expires_after(most);
    timer_.async_wait([this, self = shared_from_this(), outcome](error_code stopped) {
      if (stopped || closed_ || !timed_) return;
      if (relaying_) broken();
      else over(outcome);
    });
  }

  void upgraded() {
    stopTimer();
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    pool_.attempts_.erase(attempt);
    closed_ = true;  // to the pool
    --pool_.connections_;
    --pool_.upstreams_[host].connections;
    error_code ignored;
    timer_.cancel();
    socket_.cancel(ignored);
    const auto early = buffer_.data();
    const http::fields head = static_cast<const http::fields&>(reader_.parser().get().base());
    pool_.events_.onUpgraded(attempt, std::move(socket_),
                             std::string(static_cast<const char*>(early.data()), early.size()), head);
    pool_.connectMore(host);
  }

  // An answer that is longer than is held whole. Of one that is not served only the head counts.
  void begin() {
    stopTimer();
    const auto& head = reader_.parser().get();
    const Outcome outcome = outcomeOf(head);
    UpstreamResponse answer;
    answer.status = head.result_int();
    if (outcome != Outcome::served) {
      const auto self = shared_from_this();
      const AttemptId attempt = std::exchange(attempt_, 0);
      drop(self);
      return pool_.settle(attempt, outcome, std::move(answer));
    }
    relaying_ = true;
    answer.contentType = std::string(head[http::field::content_type]);
    answer.head = static_cast<const http::fields&>(head.base());
    std::optional<std::uint64_t> length;
    if (const auto known = reader_.parser().content_length()) length = *known;
    answer.body = reader_.takeBody();
    pool_.events_.onResponseBegun(attempt_, std::move(answer), length);
  }

  void pass(bool last) {
    stopTimer();
    std::string piece = reader_.takeBody();
    if (!last) return pool_.events_.onResponseBody(attempt_, std::move(piece), false);
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    relaying_ = false;
    pool_.attempts_.erase(attempt);
    if (reusable()) pool_.assign(self);
    else drop(self);
    pool_.events_.onResponseBody(attempt, std::move(piece), true);
  }

  // The request may have run. What has been begun can't be made good; its client is to see that it is not
  // whole.
  void broken() {
    if (!relaying_) return over(Outcome::reset);
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    relaying_ = false;
    pool_.attempts_.erase(attempt);
    drop(self);
    pool_.events_.onResponseTruncated(attempt);
  }

  // Bytes behind the answer belong to nothing that we asked for: no next answer may be read from there.
  bool reusable() { return reader_.parser().keep_alive() && buffer_.size() == 0 && alive(); }

  void stopTimer() {
    if (std::exchange(timed_, false)) timer_.cancel();
  }

  void answered() {
    const auto self = shared_from_this();
    const bool again = reusable();
    http::response<http::string_body> response = reader_.takeMessage();
    UpstreamResponse answer;
    const Outcome outcome = outcomeOf(response);
    answer.status = response.result_int();
    if (outcome == Outcome::served) {
      answer.contentType = std::string(response[http::field::content_type]);
      answer.body = std::move(response.body());
    }
    answer.head = std::move(static_cast<http::fields&>(response.base()));
    const AttemptId attempt = std::exchange(attempt_, 0);
    // Danger: the next attempt is started by what we tell of this one; the connection has to be free first.
    if (again) pool_.assign(self);
    else drop(self);
    pool_.settle(attempt, outcome, std::move(answer));
  }

  void over(Outcome outcome) {
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    drop(self);
    pool_.settle(attempt, outcome);
  }

  void drop(const std::shared_ptr<Connection>& self) {
    close();
    pool_.connectMore(self->host);  // attempts may wait for it
  }

  UpstreamPool& pool_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  MessageReader<false> reader_;
  std::string request_;       // until its last byte is written
  bool lastByteOut_ = false;  // or handed over to be
  Duration roundTrip_{};
  AttemptId attempt_ = 0;
  int interims_ = 0;
  bool closed_ = false, connecting_ = true, watching_ = false;
  bool timed_ = false;                     // something that has begun has to go on in time
  bool coming_ = false, chunked_ = false;  // the request: more of its body is to be fed
  bool relaying_ = false;                  // the answer goes on piece by piece
  bool watchingEarly_ = false;
  bool upgrade_ = false;  // 101 is an answer to the request
};

UpstreamPool::UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, UpstreamCallbacks& events)
    : io_(io), clock_(clock), limits_(limits), events_(events) {}
UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::send(AttemptId id, HostId host, const tcp::endpoint& endpoint, bool proveFirst) {
  Attempt& a = attempts_[id];
  a.host = host;
  a.proveFirst = proveFirst;
  Upstream& u = upstreams_[host];
  u.endpoint = endpoint;
  while (!u.idle.empty()) {
    const auto connection = u.idle.back();
    u.idle.pop_back();
    if (!connection->alive() || connection->endpoint != endpoint) {
      connection->close();
      continue;
    }
    if (!put(id, connection)) assign(connection);
    return;
  }
  u.waiting.push_back(id);
  connectMore(host);
  // Danger: behind other attempts the wait may outlast any one connect; it ends after the same time.
  a.wait.emplace(io_, limits_.connectTimeout);
  a.wait->async_wait([this, id](error_code stopped) {
    if (!stopped) fail(id);
  });
}

// Writes the attempt on the connection, unless the gateway no longer wants it to go out.
bool UpstreamPool::put(AttemptId id, const std::shared_ptr<Connection>& connection) {
  Outcome unsent = Outcome::connectFailed;
  std::optional<OutgoingRequest> request = events_.composeRequest(id, unsent);
  if (!request) {
    asio::post(io_, [this, id, unsent] { fail(id, unsent); });
    return false;
  }
  Attempt& a = attempts_[id];
  a.wait.reset();
  a.connection = connection;
  connection->carry(id, std::move(*request), a.proveFirst);
  return true;
}

void UpstreamPool::assign(const std::shared_ptr<Connection>& connection) {
  Upstream& u = upstreams_[connection->host];
  if (connection->endpoint != u.endpoint) {  // danger: the old address may be another host's by now
    connection->close();
    return connectMore(connection->host);
  }
  while (!u.waiting.empty()) {
    const AttemptId id = u.waiting.front();
    u.waiting.pop_front();
    if (put(id, connection)) return;
  }
  if (!u.open) return connection->close();
  connection->idleSince = clock_.now();
  u.idle.push_back(connection);
  connection->watch();
}

void UpstreamPool::connectMore(HostId host) {
  Upstream& u = upstreams_[host];
  // Danger: a connection costs the host real work; never more than attempts wait for, nor many at once.
  while (u.connecting.size() < std::min(u.waiting.size(), limits_.connecting)) {
    if (connections_ >= limits_.most && !shedIdle()) return;  // without descriptors nobody is answered
    const auto connection = std::make_shared<Connection>(*this, host);
    u.connecting.push_back(connection);
    connection->connect(u.endpoint);
  }
}

void UpstreamPool::connectEnded(const std::shared_ptr<Connection>& connection, bool good) {
  Upstream& u = upstreams_[connection->host];
  u.connecting.erase(std::remove(u.connecting.begin(), u.connecting.end(), connection), u.connecting.end());
  if (good) {
    assign(connection);
    return connectMore(connection->host);
  }
  // One connect stands for one attempt: the others have connects of their own, or get one of those in use.
  if (u.waiting.empty()) return;
  fail(u.waiting.front());
  connectMore(connection->host);
}

UpstreamPool::Connection* UpstreamPool::carrier(AttemptId id) {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : it->second.connection.get();
}

void UpstreamPool::sendBody(AttemptId id, std::string&& piece, bool last) {
  if (Connection* const c = carrier(id)) c->feed(piece, last);
}

void UpstreamPool::resumeReading(AttemptId id) {
  if (Connection* const c = carrier(id)) c->readOn();
}

bool UpstreamPool::giveUp(AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return false;
  const auto connection = it->second.connection;
  auto& waiting = upstreams_[it->second.host].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  attempts_.erase(it);
  if (!connection) return false;
  connection->close();
  return connection->lastByteOut();
}

void UpstreamPool::settle(AttemptId id, Outcome outcome, UpstreamResponse&& answer) {
  if (attempts_.erase(id) > 0) events_.onOutcome(id, outcome, std::move(answer));
}

void UpstreamPool::fail(AttemptId id, Outcome outcome) {  // it never went out
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.connection) return;
  auto& waiting = upstreams_[it->second.host].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  settle(id, outcome);
}

void UpstreamPool::setOpen(HostId host, bool open) {
  Upstream& u = upstreams_[host];
  u.open = open;
  if (open) return;
  for (const auto& connection : std::exchange(u.idle, {})) connection->close();
}

bool UpstreamPool::forget(HostId host) {
  const auto it = upstreams_.find(host);
  if (it == upstreams_.end()) return true;
  if (it->second.connections > 0) return false;
  for (const auto& [id, attempt] : attempts_)
    if (attempt.host == host) return false;
  upstreams_.erase(it);
  return true;
}

void UpstreamPool::sweep() {
  const Time before = clock_.now() - limits_.idleMost;
  for (auto& [host, u] : upstreams_) {
    const auto fresh = std::find_if(u.idle.begin(), u.idle.end(),
                                    [&](const auto& connection) { return connection->idleSince > before; });
    for (auto it = u.idle.begin(); it != fresh; ++it) (*it)->close();
    u.idle.erase(u.idle.begin(), fresh);
  }
}

bool UpstreamPool::shedIdle() {
  for (auto& [host, u] : upstreams_) {
    if (u.idle.empty()) continue;
    u.idle.front()->close();
    u.idle.erase(u.idle.begin());
    return true;
  }
  return false;
}

}  // namespace finchstile
