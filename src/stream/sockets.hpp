// Small things that the relay and the fronts do with sockets alike.
#pragma once

#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace finchstile::stream {

// "10.0.0.4:9000" or "[::1]:9000".
inline std::string textOf(const boost::asio::ip::tcp::endpoint& e) {
  const std::string address = e.address().to_string();
  return (e.address().is_v6() ? "[" + address + "]:" : address + ":") + std::to_string(e.port());
}

// The other side has reset it, or it is lost. Unlike SO_ERROR this takes nothing away: what came ahead of the
// reset can still be read, and the reset behind it.
inline bool isBroken(boost::asio::ip::tcp::socket& socket) {
  pollfd look{socket.native_handle(), 0, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & POLLERR) != 0;
}

// The other side is to see a reset at the close. Danger: ended in order, what it has would look like all
// there is, and a stream that never was like one that had nothing to say.
inline void resetAtClose(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

}  // namespace finchstile::stream
