// What the kernel holds for a TCP socket: bytes that were not read yet, and bytes that the peer has not
// acknowledged yet.
#pragma once

#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "net/clock.hpp"

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

/// The kernel's state of a TCP connection (tcp(7), TCP_INFO). All zero if the socket is closed.
inline tcp_info connectionInfo(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return info;
}

/// How long ago the last bytes arrived, read or not.
inline Duration timeSinceLastBytes(boost::asio::ip::tcp::socket& socket) {
  return std::chrono::milliseconds(connectionInfo(socket).tcpi_last_data_recv);
}

/// How long ago bytes were sent; on a connection that has sent none, how long ago it was established.
inline Duration timeSinceLastSend(boost::asio::ip::tcp::socket& socket) {
  return std::chrono::milliseconds(connectionInfo(socket).tcpi_last_data_sent);
}

/// Whether the peer's window is certainly open, so that what it has written arrives. What counts is the
/// memory that the receive queue takes, which can be many times its bytes. False if that is not known.
inline bool receiveQueueHasRoom(boost::asio::ip::tcp::socket& socket) {
  constexpr std::uint32_t kMaxUsedPart = 4;  // half of the buffer can be overhead
  std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
  socklen_t size = sizeof memory;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_MEMINFO, memory.data(), &size) != 0) return false;
  return memory[SK_MEMINFO_RMEM_ALLOC] < memory[SK_MEMINFO_RCVBUF] / kMaxUsedPart;
}

/// How long the peer has taken nothing of a write that waits for room in the send buffer. The buffer has room
/// only when much of it is free, so that a slow peer makes progress long before. No I/O.
class WriteProgress {
 public:
  /// A write begins, or the socket has taken a part of it.
  void restart(Time now) {
    progressAt_ = checkedAt_ = now;
    unacknowledged_.reset();
  }
  /// Time since the last progress, which is dated to the check before the one that sees it. Any change of
  /// `unacknowledged` is progress: it grows only if the socket takes bytes for which the peer has made room.
  Duration stalledFor(Time now, std::size_t unacknowledged) {
    const std::optional<std::size_t> previous = std::exchange(unacknowledged_, unacknowledged);
    if (previous && unacknowledged != *previous) progressAt_ = checkedAt_;
    checkedAt_ = now;
    return now - progressAt_;
  }

 private:
  Time progressAt_{}, checkedAt_{};
  std::optional<std::size_t> unacknowledged_;
};

}  // namespace finchstile
