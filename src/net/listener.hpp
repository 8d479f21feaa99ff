// Accepts client connections and enforces limits on their number, age and idle time.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>

#include "net/buffer_budget.hpp"
#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/connection_acceptor.hpp"
#include "net/gateway_options.hpp"

namespace finchstile {

/// Owns the listening socket and the sessions. Sessions are kept in one list per state, so that the oldest
/// session of a state is found in constant time.
class Listener {
 public:
  /// The numbers of connections, and of bytes in their buffers, that are served at once.
  struct Limits {
    std::size_t connections = 0;
    std::size_t bufferBytes = BufferBudget::kUnlimited;
    MemoryAccount* memory = nullptr;  ///< Of the process; null if it has no limit.
  };
  /// Binds `endpoint` and listens.
  /// `inherited` is the descriptor of a socket that already listens at `endpoint` and may be shared with
  /// other processes, or below 0. Throws std::runtime_error if the address can't be bound or the descriptor
  /// is not such a socket.
  Listener(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint, int inherited,
           const Limits& limits, const ClientConnectionOptions& options, ClientCallbacks& callbacks);

  void setOptions(const ClientConnectionOptions& options) { options_ = options; }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void start() { connectionAcceptor_.start(); }
  /// Closes connections that exceed their time limits. To be called a few times a second.
  void sweep();
  bool inherited() const { return inherited_; }

  /// Starts a drain: responses send `Connection: close` from now on.
  void beginDrain() { draining_ = true; }
  /// Responses send `Connection: close`, and idle connections are closed from `closeIdleAt` on. New
  /// connections are still accepted.
  void enterLameDuck(Time closeIdleAt) { closeIdleAt_ = closeIdleAt; }
  void leaveLameDuck() { closeIdleAt_ = Time{}; }
  /// Hands connections over to another process as soon as they are idle; responses then leave connections
  /// open. `handOver` takes a duplicate of the descriptor. If it returns false, it is called again later. An
  /// empty function ends the hand-over.
  void handOver(std::function<bool(int fd)> handOver) { handOver_ = std::move(handOver); }
  /// Serves the connection of an idle client from another process. Takes ownership of the descriptor, also if
  /// it can't be used.
  void adopt(int fd);
  /// Responds to incomplete requests with 503 and closes their connections.
  void refuseIncompleteRequests();
  /// Accepts the connections in the accept queue, then stops accepting.
  void close();
  bool draining() const { return draining_ || closeIdleAt_ != Time{}; }
  bool closesAfterResponse() const { return draining() && !handOver_; }

  std::size_t size() const { return size_; }
  /// Whether a response is being written to a client.
  bool isWriting() const {
    return !sessions_[static_cast<std::size_t>(ClientSession::State::writing)].empty();
  }
  std::size_t maxConnections() const { return maxConnections_; }
  /// Number of connections beyond `maxConnections` that may exist while they are refused.
  std::size_t maxRefusedConnections() const { return maxRefused_; }
  /// Memory that the buffers of all clients take.
  std::size_t bufferedBytes() const { return bufferBudget_.held(); }
  /// How often a client was not read because others held too much, since the start.
  std::uint64_t pausedReads() const { return pausedReadCount_; }

 private:
  friend class ClientSession;
  using State = ClientSession::State;
  using Sessions = ClientSession::List;

  void bind(const tcp::endpoint& endpoint);
  void inherit(const tcp::endpoint& endpoint, int fd);
  void add(tcp::socket socket);
  bool hasMemoryForConnection();
  bool shedConnection();
  bool shedUnfinishedConnection();
  bool handOverSession(ClientSession& session);
  bool reserveInput(ClientSession& session);
  void resumePausedReads();
  void trimIdle();
  void endOldest(State state);
  void sweepExpiredIdle();
  void closeIdleSessions();
  Sessions& sessionsIn(State state) { return sessions_[static_cast<std::size_t>(state)]; }
  template <class Action>
  void forEachIn(State state, Action action);
  /// How long the oldest session has been in the state; below 0 if no session is in it.
  Duration oldestAge(State state) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  const std::size_t maxConnections_;
  const std::size_t maxRefused_;
  MemoryAccount* const memory_;
  ClientConnectionOptions options_;
  ClientCallbacks& callbacks_;
  tcp::acceptor acceptor_;
  ConnectionAcceptor connectionAcceptor_;
  BufferBudget bufferBudget_;
  std::deque<std::weak_ptr<ClientSession>> pausedReads_;  // in the order in which they paused
  std::uint64_t pausedReadCount_ = 0;
  std::array<Sessions, ClientSession::kOpenStates> sessions_;  // by state, in the order of entering it
  std::size_t size_ = 0;
  const bool inherited_;
  bool draining_ = false;
  std::function<bool(int)> handOver_;
  Time closeIdleAt_{};  // when closing of idle connections starts; 0 if they are kept
};

}  // namespace finchstile
