// What the kernel holds for a TCP socket.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace finchstile {

/// Bytes that have arrived and were not read. 0 if the socket is closed.
inline std::size_t unreadBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCINQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

/// Size of the receive buffer, with the kernel's own overhead. 0 if the socket is closed.
inline std::size_t receiveBufferBytes(const boost::asio::ip::tcp::socket& socket) {
  boost::asio::socket_base::receive_buffer_size size;
  boost::system::error_code error;
  socket.get_option(size, error);
  return error ? 0 : static_cast<std::size_t>(size.value());
}

}  // namespace finchstile
