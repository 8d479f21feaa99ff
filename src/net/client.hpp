// The client side: accepts, parses, and answers each request once.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/header_line.hpp"
#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"
#include "net/gateway_options.hpp"

namespace finchstile {

using boost::asio::ip::tcp;
using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

using RelayId = std::uint64_t;  // an answer that is passed on piece by piece

struct PartialResponse {  // what an answer is that is not whole: `body` has the first of it
  std::optional<std::uint64_t> length;
  RelayId relay = 0;
};

struct Response {
  boost::beast::http::status status = boost::beast::http::status::ok;
  std::string body;
  std::string contentType;
  std::vector<HeaderLine> headers;  // further ones
  Duration retryAfter{};            // 0: none
  bool close = false;
  std::optional<PartialResponse> partial;
};

inline Response plainResponse(boost::beast::http::status status) {
  Response a;
  a.status = status;
  return a;
}

class ClientSession;

class ClientCallbacks {
 public:
  virtual ~ClientCallbacks() = default;
  // `whole`: all of it is here. Else more of its body comes when the session is asked to `pull`, a piece each
  // time, the last one marked.
  virtual void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                               bool whole) = 0;
  virtual void onClientBody(load_balancing::RequestId request, std::string&& piece, bool last) = 0;
  virtual void onClientDisconnected(load_balancing::RequestId request) = 0;
  // All pieces of its answer that were handed over have been written; or its client takes no more.
  virtual void onResponseWritten(RelayId relay) = 0;
  virtual void onResponseAborted(RelayId relay) = 0;
};

class Listener {
 public:
  // Holds `most` client connections at the most. `inherited`: the descriptor of a socket that listens at `at`
  // already and that other processes share, or below 0; throws std::runtime_error if it is no such thing.
  Listener(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& at, int inherited,
           std::size_t most, const ClientConnectionOptions& tuning, ClientCallbacks& events);

  void setOptions(const ClientConnectionOptions& tuning) { tuning_ = tuning; }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void start() { accept(); }
  void sweep();  // ends what is slow or idle for too long; to be called a few times a second
  bool inherited() const { return inherited_; }
  bool shedIdle();  // gives a descriptor back, from a connection that has nothing under way, if there is one

  void beginDrain() { draining_ = true; }  // answers say `Connection: close` from here on
  // The same, and connections at rest are closed from `restEnds` on; accepts as before. `takeBack` ends it.
  void enterLameDuck(Time restEnds) { away_ = restEnds; }
  void leaveLameDuck() { away_ = Time{}; }
  // Connections at rest go to another process, one by one, as soon as they rest; answers leave them open.
  // `give` takes a copy of the descriptor, and is asked again later if it says no. An empty one ends it.
  void handOver(std::function<bool(int fd)> give) { give_ = std::move(give); }
  // A connection of a client at rest, from another process; the descriptor is ours, also if it is of no use.
  void adopt(int fd);
  // Answers what has come in part with a refusal, and ends its connection: its last byte would find nobody.
  void refuseHalf();
  void close();  // takes in what waits in the accept queue, then stops accepting
  bool draining() const { return draining_ || away_ != Time{}; }
  bool closesAfterAnswer() const { return draining() && !give_; }
  std::size_t size() const { return size_; }
  std::size_t most() const { return most_; }
  std::size_t spare() const { return spare_; }

 private:
  friend class ClientSession;
  // fresh: its first request has not come in full yet. waiting: for the answer, with all of the request here
  // or not. writing: the client is to take bytes. passing: the host is to give more of the answer.
  enum class State { fresh, idle, reading, waiting, writing, passing, lingering, closed };
  using Sessions = std::list<std::shared_ptr<ClientSession>>;

  void takeOver(const tcp::endpoint& at, int fd);
  void accept();
  void take(tcp::socket socket);
  bool shedOther();  // the same, but for those that linger
  Sessions& in(State state) { return sessions_[static_cast<std::size_t>(state)]; }
  template <class Act>
  void each(State state, Act act);
  Duration age(State state) const;  // of the one that has been in it for the longest; below 0: none is
  void trimIdle();
  bool giveAway(ClientSession& session);
  void endOldest(State state);
  Duration limit(State state) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  std::size_t most_;
  std::size_t spare_;  // beyond `most_`: those that are turned away, while their ends are read out
  ClientConnectionOptions tuning_;
  ClientCallbacks& events_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::array<Sessions, 7> sessions_;  // by state, in the order in which they entered it
  std::size_t size_ = 0;
  const bool inherited_;
  bool draining_ = false;
  std::function<bool(int)> give_;
  Time away_{};  // clients are sent away, and none may rest from then on; 0: they are not
};

// One client connection. It passes a request on only when the one before has been answered. Of a request's
// body and of an answer that are too long to be held whole one piece is under way at a time: who does not
// take it holds up nobody but the one that sends it.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(tcp::socket socket, Listener& listener);

  void start() { await(); }
  // Danger: a client that went away while its answer was prepared has none coming; a second answer would be
  // taken for that of the next request. Both are dropped here.
  void respond(Response&& answer);
  void setRequest(load_balancing::RequestId id) { request_ = id; }
  void pull();  // the next piece of a request that is not whole yet
  // Whether its client has closed the connection; the news may lie behind bytes that are not read yet. If so,
  // it is told of as gone soon, not from within the call.
  bool gone();
  // Of an answer that is parted. Each piece is to wait for `onClientTook`; `cut` ends it so that the client
  // can tell that it is not whole.
  void pass(std::string&& piece, bool last);
  void cut();
  // Its connection leaves HTTP in place of an answer, with what was read behind the request. None: its client
  // has gone.
  struct Left {
    tcp::socket socket;
    std::string early;
  };
  std::optional<Left> leave();
  tcp::endpoint from() const;  // of its client; none if it has gone

 private:
  friend class Listener;
  using State = Listener::State;

  void await();
  void onReadable();
  std::size_t receive(std::size_t most, boost::system::error_code& error);
  void read();
  void advance();
  void sayContinue();
  void parsed(bool whole);
  void refuse(boost::beast::http::status status);
  void refuseInput(boost::system::error_code error);
  void tooSlow();
  bool overdue() const;
  void lookForEnd();
  bool atEnd();
  void turnAway();
  void drop();
  void passPart();
  void startHead(const Response& answer, std::optional<std::uint64_t> length);
  void write();
  void written();
  void linger();
  void discard();
  void closeIdle();
  void close();
  void enter(State state);

  Listener& listener_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  MessageReader<true> reader_;
  std::string out_;  // still to be written, from `written_` on
  std::size_t written_ = 0;
  RelayId relay_ = 0;  // its answer comes in pieces; 0: it does not
  bool more_ = false, chunked_ = false, unbounded_ = false;
  State state_ = State::fresh;
  Listener::Sessions::iterator place_{};
  Time since_{};
  load_balancing::RequestId request_ = 0;  // 0: none, or the client has already been told of as gone
  std::size_t discarded_ = 0;
  unsigned version_ = 11;
  bool begun_ = false;    // bytes of a request have come
  bool partial_ = false;  // one that is passed on has not come in whole yet
  bool pulled_ = false;   // and a piece of it is asked for
  Duration held_{};       // time for which nothing was asked for
  Time heldSince_{}, heard_{};
  bool awaiting_ = false;    // a wait for bytes is out
  bool continuing_ = false;  // the word to go on is being written
  bool keepAlive_ = true, headOnly_ = false;
};

}  // namespace finchstile
