// HTTP/1.1 server of the administration interface, with one call per connection. Clients that are idle or
// send an incomplete call cannot block others: when there are too many connections, the oldest one is closed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "net/connection_acceptor.hpp"
#include "ops/admin_call.hpp"

namespace finchstile::ops {

using boost::asio::ip::tcp;

struct Reply {
  unsigned status = 200;
  std::string body;  // sent as text/plain
};

class AdminCallHandler {
 public:
  virtual ~AdminCallHandler() = default;
  virtual Reply onCall(const AdminCall& call) = 0;
};

class AdminServer {
 public:
  struct Limits {
    std::size_t maxConnections = 32;
    std::chrono::milliseconds callTimeout = std::chrono::milliseconds(5000);  // for receiving a complete call
    std::size_t maxCallBytes = 8192;  // of the header, and of the body
  };

  // Starts listening immediately. `handler` must outlive the server. Throws boost::system::system_error if it
  // cannot listen at the address.
  AdminServer(boost::asio::io_context& io, const tcp::endpoint& listenAddress, AdminCallHandler& handler,
              Limits limits);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t openConnections() const { return sessions_.size(); }

  // Closes the listener and all connections.
  void close();

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  void startSession(tcp::socket&& socket);

  boost::asio::io_context& io_;
  AdminCallHandler& handler_;
  const Limits limits_;
  tcp::acceptor acceptor_;
  ConnectionAcceptor connectionAcceptor_;
  Sessions sessions_;  // oldest first
};

}  // namespace finchstile::ops
