// What the kernel holds for a TCP socket: bytes that were not read yet, and bytes that the peer has not
// acknowledged yet.
#pragma once

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
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

/// Whether the peer's window is certainly open, so that what it has written arrives. What counts is the
/// memory that the receive queue takes, which can be many times its bytes. False if that is not known.
inline bool receiveQueueHasRoom(boost::asio::ip::tcp::socket& socket) {
  constexpr std::uint32_t kMaxUsedPart =
      4;  // a quarter of the buffer; the rest is for the window and overhead
  std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
  socklen_t size = sizeof memory;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_MEMINFO, memory.data(), &size) != 0) return false;
  return memory[SK_MEMINFO_RMEM_ALLOC] < memory[SK_MEMINFO_RCVBUF] / kMaxUsedPart;
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
