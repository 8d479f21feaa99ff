// Accepts clients' connections and keeps their number, their age and their idle time within limits.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/gateway_options.hpp"

namespace finchstile {

class Listener {
 public:
  /// Binds `endpoint` and listens. `maxConnections`: clients' connections that are served at once.
  /// `inherited`: the descriptor of a socket that listens at `endpoint` already and that other processes
  /// share, or below 0. Throws std::runtime_error if the address can't be bound or the descriptor is no such
  /// socket.
  Listener(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint, int inherited,
           std::size_t maxConnections, const ClientConnectionOptions& options, ClientCallbacks& callbacks);

  void setOptions(const ClientConnectionOptions& options) { options_ = options; }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void start() { accept(); }
  /// Ends connections that are slow or idle for too long. To be called a few times a second.
  void sweep();
  bool inherited() const { return inherited_; }

  /// From here on responses say `Connection: close`.
  void beginDrain() { draining_ = true; }
  /// Responses say `Connection: close`, and idle connections are closed from `closeIdleAt` on. Connections
  /// are accepted as before.
  void enterLameDuck(Time closeIdleAt) { closeIdleAt_ = closeIdleAt; }
  void leaveLameDuck() { closeIdleAt_ = Time{}; }
  /// Idle connections go to another process, one by one, as soon as they are idle; responses leave them open.
  /// `handOver` takes a copy of the descriptor. If it returns false, it is called again later. An empty
  /// function ends the hand-over.
  void handOver(std::function<bool(int fd)> handOver) { handOver_ = std::move(handOver); }
  /// Serves an idle client's connection from another process. Takes ownership of the descriptor, also if it
  /// is of no use.
  void adopt(int fd);
  /// Answers requests that have come in part with 503 and ends their connections.
  void refuseIncompleteRequests();
  /// Takes in what waits in the accept queue, then stops accepting.
  void close();
  bool draining() const { return draining_ || closeIdleAt_ != Time{}; }
  bool closesAfterResponse() const { return draining() && !handOver_; }

  std::size_t size() const { return size_; }
  std::size_t maxConnections() const { return maxConnections_; }
  /// Connections beyond `maxConnections` that may exist while they are being refused.
  std::size_t maxRefusedConnections() const { return maxRefused_; }

 private:
  friend class ClientSession;
  using State = ClientSession::State;
  using Sessions = ClientSession::List;

  void bind(const tcp::endpoint& endpoint);
  void inherit(const tcp::endpoint& endpoint, int fd);
  void accept();
  void add(tcp::socket socket);
  bool shedConnection();
  bool shedUnfinishedConnection();
  bool handOverSession(ClientSession& session);
  void trimIdle();
  void endOldest(State state);
  void sweepExpired(State state);
  void closeIdleSessions();
  Sessions& in(State state) { return sessions_[static_cast<std::size_t>(state)]; }
  template <class Action>
  void forEachIn(State state, Action action);
  /// How long the oldest session has been in the state; below 0: no session is.
  Duration oldestAge(State state) const;
  Duration maxAge(State state) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  const std::size_t maxConnections_;
  const std::size_t maxRefused_;
  ClientConnectionOptions options_;
  ClientCallbacks& callbacks_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptPause_;
  std::array<Sessions, ClientSession::kOpenStates> sessions_;  // by state, in the order of entering it
  std::size_t size_ = 0;
  const bool inherited_;
  bool draining_ = false;
  std::function<bool(int)> handOver_;
  Time closeIdleAt_{};  // idle connections are closed from then on, in a lame duck or a drain; 0: they are
                        // kept
};

}  // namespace finchstile
