// The upstream side: connections to the hosts, and the attempts that they carry.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"

namespace finchstile {

using boost::asio::ip::tcp;
using AttemptId = std::uint64_t;  // never used again
using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct UpstreamResponse {
  unsigned status = 0;
  std::string body, contentType;
  boost::beast::http::fields head;  // of a whole answer, whatever its status
};

struct OutgoingRequest {
  UpstreamRequest message;
  bool bodyComplete =
      true;              // else more of its body follows: by its Content-Length, or chunked if it has none
  bool upgrade = false;  // it asks for a connection that leaves HTTP: 101 is an answer to it
};

class UpstreamCallbacks {
 public:
  virtual ~UpstreamCallbacks() = default;
  // Called right before the first byte would be written; nothing goes out if it returns none.
  // `unsent`, if there is nothing to send: how the attempt ended; as it stands, it could not be sent there.
  virtual std::optional<OutgoingRequest> composeRequest(AttemptId attempt,
                                                        load_balancing::Outcome& unsent) = 0;
  // Whether the last byte of one that waited for its connection's proof may still go out.
  virtual bool maySendLastByte(AttemptId attempt) = 0;
  // What there was of a request that is not whole has been written; `feed` has the next piece.
  virtual void onRequestBodyWanted(AttemptId attempt) = 0;
  // The head of its final answer is here: whatever comes of it, the host has done its work.
  virtual void onResponseHeaders(AttemptId attempt) = 0;
  // Once for each attempt that was not given up, unless its answer has begun; never from within a call of
  // UpstreamPool.
  virtual void onOutcome(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& answer) = 0;
  // A served answer that is too long to be held whole, with its body as far as it has come. Each further
  // piece waits for `readOn`; the last one, or a cut, ends the attempt.
  virtual void onResponseBegun(AttemptId attempt, UpstreamResponse&& answer,
                               std::optional<std::uint64_t> length) = 0;
  virtual void onResponseBody(AttemptId attempt, std::string&& piece, bool last) = 0;
  virtual void onResponseTruncated(AttemptId attempt) = 0;
  // Answered by 101: the connection is no more of the pool's. It ends the attempt.
  virtual void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                          const boost::beast::http::fields& head) = 0;
};

class UpstreamPool {
 public:
  struct Limits {
    Duration connectTimeout{};
    Duration answerMost{};                               // between the bytes of an answer that has begun
    Duration idleMost{};                                 // idle connections are closed after this
    std::size_t connecting = 4;                          // connections being opened to one host at once
    std::size_t most = 256;                              // connections in all
    Duration proofLeast = std::chrono::milliseconds(1);  // a last byte that waits for proof waits so long
  };

  UpstreamPool(boost::asio::io_context& io, const Clock& clock, Limits limits, UpstreamCallbacks& events);
  ~UpstreamPool();

  // With `proveFirst` the last byte waits until the connection has outlived the bytes before by a round trip.
  void send(AttemptId attempt, load_balancing::HostId host, const tcp::endpoint& endpoint,
            bool proveFirst = false);
  // Closes the attempt's connection; no outcome comes any more. True if its last byte may have gone out.
  bool giveUp(AttemptId attempt);
  void sendBody(AttemptId attempt, std::string&& piece, bool last);
  void resumeReading(AttemptId attempt);
  void setOpen(load_balancing::HostId host, bool open);  // not open: connections are not kept
  bool forget(load_balancing::HostId host);              // false while an attempt or connection is there
  void setConnectionOptions(std::size_t connecting, Duration proofLeast) {
    limits_.connecting = connecting;
    limits_.proofLeast = proofLeast;
  }
  void sweep();     // to be called about once a second
  bool shedIdle();  // gives a descriptor back; false if there is none to give

  std::size_t connections() const { return connections_; }
  std::size_t most() const { return limits_.most; }
  std::size_t upstreams() const { return upstreams_.size(); }
  std::size_t opened() const { return opened_; }  // since the start
  std::size_t sends() const { return sends_; }    // attempts whose last byte was written, since the start

 private:
  class Connection;
  struct Upstream {
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
    std::deque<AttemptId> waiting;                  // attempts that have no connection yet
    std::vector<std::shared_ptr<Connection>> connecting;
    std::size_t connections = 0;  // in all
    tcp::endpoint endpoint;
    bool open = true;
  };
  struct Attempt {
    load_balancing::HostId host = load_balancing::kNone;
    bool proveFirst = false;
    std::shared_ptr<Connection> connection;         // null while it waits,
    std::optional<boost::asio::steady_timer> wait;  // for this long at the most
  };

  void assign(const std::shared_ptr<Connection>& connection);  // a waiting attempt, or idle
  bool put(AttemptId attempt, const std::shared_ptr<Connection>& connection);
  void connectMore(load_balancing::HostId host);
  void connectEnded(const std::shared_ptr<Connection>& connection, bool good);
  Connection* carrier(AttemptId attempt);  // null: it has none, or is over
  void settle(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& answer = {});
  void fail(AttemptId attempt, load_balancing::Outcome outcome = load_balancing::Outcome::connectFailed);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Limits limits_;
  UpstreamCallbacks& events_;
  std::unordered_map<load_balancing::HostId, Upstream> upstreams_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::size_t connections_ = 0, opened_ = 0, sends_ = 0;
};

}  // namespace finchstile
