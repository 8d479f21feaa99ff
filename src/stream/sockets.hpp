// Socket helpers shared by the relay and the stream handlers.
#pragma once

#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace finchstile::stream {

// Formats as "10.0.0.4:9000" or "[::1]:9000".
inline std::string textOf(const boost::asio::ip::tcp::endpoint& e) {
  const std::string address = e.address().to_string();
  return (e.address().is_v6() ? "[" + address + "]:" : address + ":") + std::to_string(e.port());
}

// Whether the connection is reset or lost. Unlike reading SO_ERROR, this does not clear the error: bytes
// received before the reset can still be read, and then the reset.
inline bool isBroken(boost::asio::ip::tcp::socket& socket) {
  pollfd query{socket.native_handle(), 0, 0};
  return ::poll(&query, 1, 0) > 0 && (query.revents & POLLERR) != 0;
}

// Makes close() send a reset. After an orderly close the peer would take the bytes that it has received for
// the complete stream, and a stream that was never established for an empty one.
inline void resetAtClose(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

}  // namespace finchstile::stream
