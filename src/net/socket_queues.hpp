// What the kernel holds for a TCP socket: bytes that were not read yet, and bytes that the peer has not
// acknowledged yet.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace finchstile {

/// Bytes that have arrived and were not read. 0 if the socket is closed.
inline std::size_t unreadBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCINQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

/// Bytes that were written and that the peer's system has not acknowledged. 0 if the socket is closed.
inline std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

/// Size of the receive buffer, with the kernel's own overhead. 0 if the socket is closed.
inline std::size_t receiveBufferBytes(const boost::asio::ip::tcp::socket& socket) {
  boost::asio::socket_base::receive_buffer_size size;
  boost::system::error_code error;
  socket.get_option(size, error);
  return error ? 0 : static_cast<std::size_t>(size.value());
}

/// Whether the peer takes bytes while a write waits for room in the send buffer. No I/O.
class AcknowledgementProgress {
 public:
  /// To be called after each write that the socket has taken.
  void reset() { unacknowledged_.reset(); }
  /// Returns true if the number of unacknowledged bytes has changed since the previous call after `reset`. It
  /// only grows if the socket takes more bytes, for which the peer has made room.
  bool advanced(std::size_t unacknowledged) {
    const std::optional<std::size_t> previous = std::exchange(unacknowledged_, unacknowledged);
    return previous && unacknowledged != *previous;
  }

 private:
  std::optional<std::size_t> unacknowledged_;
};

}  // namespace finchstile
