// The operators' address: HTTP/1.1, one call for each connection. Callers that say nothing, or half a call,
// hold a place for a while and never keep others out: beyond the limit the one that has been silent longest
// goes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "ops/call.hpp"

namespace finchstile::ops {

using boost::asio::ip::tcp;

struct Reply {
  unsigned status = 200;  // 2xx: yes; 4xx, 5xx: no
  std::string body;       // text/plain
};

class CallEvents {
 public:
  virtual ~CallEvents() = default;
  virtual Reply onCall(const Call& call) = 0;
};

class Server {
 public:
  struct Limits {
    std::size_t most = 32;                                                // connections at once
    std::chrono::milliseconds silence = std::chrono::milliseconds(5000);  // for a call to come in whole
    std::size_t bytes = 8192;                                             // of a call
  };

  // Throws boost::system::system_error if the address can't be listened at.
  Server(boost::asio::io_context& io, const tcp::endpoint& at, CallEvents& events, Limits limits);
  ~Server();

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t size() const { return sessions_.size(); }
  void close();

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;
  void accept();

  boost::asio::io_context& io_;
  CallEvents& events_;
  const Limits limits_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Sessions sessions_;  // the one that came first in front
};

}  // namespace finchstile::ops
