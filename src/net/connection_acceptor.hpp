// Accepts connections, also when some of the accepts fail. A failure says nothing about the connections that
// are served: most concern the one that was to be accepted, and others a resource of the system (accept(2)).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace finchstile {

/// Events of a ConnectionAcceptor.
struct AcceptorCallbacks {
  std::function<void(boost::asio::ip::tcp::socket&& socket)> onConnection;
  /// An accept has failed because the process has no free descriptor. It is tried again soon.
  std::function<void()> onDescriptorsExhausted = [] {};
};

/// Accepts from `acceptor`, which has to outlive it. Closing the acceptor ends that.
class ConnectionAcceptor {
 public:
  ConnectionAcceptor(boost::asio::ip::tcp::acceptor& acceptor, AcceptorCallbacks callbacks);

  /// To be called when the acceptor listens.
  void start();
  /// Accepts the connections that are in the queue now, without waiting for others.
  void acceptQueued();
  /// Cancels the pause after a failure. To be called when the acceptor is closed.
  void stop() { pause_.cancel(); }

 private:
  enum class Result {
    accepted,
    queueEmpty,
    connectionFailed,
    shortage,     ///< Of a resource of the system, which may have passed at the next call.
    noDescriptor  ///< The process has no free one.
  };

  void wait();
  void waitAfterPause();
  void acceptSome();
  Result acceptOne();

  boost::asio::ip::tcp::acceptor& acceptor_;
  AcceptorCallbacks callbacks_;
  boost::asio::steady_timer pause_;
};

}  // namespace finchstile
