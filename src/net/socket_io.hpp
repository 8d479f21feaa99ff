// Transfers on non-blocking TCP sockets that go on after a short, interrupted or momentarily failed system
// call.
//
// Asio registers sockets for edges. After a write that took only a part it waits for an edge, although the
// send buffer may have room already; then no edge comes. `async_wait` registers the socket anew, which
// reports room that is there, so that each wait here follows a call that found none.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstddef>
#include <memory>
#include <utility>

namespace finchstile {

/// Whether a transfer that ended with this errno says nothing about its connection and may be tried again:
/// recv(2), send(2).
inline bool isTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

/// As above. False if there was no error.
inline bool isTransient(const boost::system::error_code& error) {
  return error.category() == boost::system::system_category() && isTransient(error.value());
}

/// Writes some of `bytes`, at least one of them unless there is an error, and then calls
/// `handler(error_code, size)`, never from within this function. `socket` has to be non-blocking, and both it
/// and the bytes have to exist until then.
template <class Handler>
void asyncWriteSome(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer bytes, Handler handler) {
  boost::system::error_code error;
  const std::size_t written = socket.write_some(bytes, error);
  if (!isTransient(error)) {
    boost::asio::post(socket.get_executor(),
                      [handler = std::move(handler), error, written]() mutable { handler(error, written); });
    return;
  }
  socket.async_wait(
      boost::asio::ip::tcp::socket::wait_write,
      [&socket, bytes, handler = std::move(handler)](boost::system::error_code waitError) mutable {
        if (waitError) return handler(waitError, 0);
        asyncWriteSome(socket, bytes, std::move(handler));
      });
}

/// As `asyncWriteSome`, for all of `bytes`.
template <class Handler>
void asyncWriteAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer bytes, Handler handler,
                   std::size_t writtenBefore = 0) {
  asyncWriteSome(socket, bytes,
                 [&socket, bytes, writtenBefore, handler = std::move(handler)](
                     boost::system::error_code error, std::size_t size) mutable {
                   const std::size_t written = writtenBefore + size;
                   const boost::asio::const_buffer rest = bytes + size;
                   if (error || rest.size() == 0) return handler(error, written);
                   asyncWriteAll(socket, rest, std::move(handler), written);
                 });
}

/// Calls `readAgain()` when the socket has bytes to read, after a read that ended with a transient error.
/// Asio would wait for further bytes.
template <class Action>
void retryRead(boost::asio::ip::tcp::socket& socket, Action readAgain) {
  socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                    [readAgain = std::move(readAgain)](boost::system::error_code) mutable { readAgain(); });
}

/// Writes as much of `bytes` as the send buffer takes now, and returns how much that is. Errors end the
/// write.
inline std::size_t writeNow(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer bytes) {
  std::size_t written = 0;
  while (bytes.size() > 0) {
    boost::system::error_code error;
    const std::size_t size = socket.write_some(bytes, error);
    if (error && error != boost::asio::error::interrupted) break;
    bytes += size;
    written += size;
  }
  return written;
}

}  // namespace finchstile
