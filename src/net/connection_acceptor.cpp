#include "net/connection_acceptor.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace finchstile {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Calls of accept before the event loop's other handlers run.
constexpr int kMaxAcceptsPerTurn = 16;
// After failures that are likely to go on; without the pause the loop would spin.
constexpr std::chrono::milliseconds kPauseAfterFailure(20);
// A shortage of the system is likely to go on behind so many failures in a row. A pause at each would leave
// little time to accept where some accepts fail, and every connection in the queue would wait for it.
constexpr int kMaxShortagesInARow = 4;
// The last chance of the connections in the queue is not given up at a failure that may pass.
constexpr int kMaxFailuresOfQueue = 64;

bool isShortage(const error_code& error) {
  const int code = error.value();
  return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM || code == ENOSPC;
}

// The error of an accept may have passed, or may concern the whole system.
bool hasFreeDescriptor(int any) {
  const int copy = ::fcntl(any, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return false;
  ::close(copy);
  return true;
}

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(tcp::acceptor& acceptor, AcceptorCallbacks callbacks)
    : acceptor_(acceptor), callbacks_(std::move(callbacks)), pause_(acceptor.get_executor()) {}

void ConnectionAcceptor::start() {
  acceptor_.non_blocking(true);
  // Otherwise Asio waits for the next connection behind one that was aborted.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  wait();
}

void ConnectionAcceptor::wait() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    acceptSome();
  });
}

void ConnectionAcceptor::waitAfterPause() {
  pause_.expires_after(kPauseAfterFailure);
  pause_.async_wait([this](error_code cancelled) {
    if (!cancelled && acceptor_.is_open()) wait();
  });
}

void ConnectionAcceptor::acceptSome() {
  int failures = 0, shortagesInARow = 0;
  for (int calls = 0; calls < kMaxAcceptsPerTurn && acceptor_.is_open(); ++calls) {
    const Result result = acceptOne();
    if (result == Result::queueEmpty) return wait();
    if (result == Result::noDescriptor) return waitAfterPause();
    if (result == Result::accepted) shortagesInARow = 0;
    if (result == Result::shortage && ++shortagesInARow == kMaxShortagesInARow) return waitAfterPause();
    if (result == Result::connectionFailed) ++failures;
  }
  if (!acceptor_.is_open()) return;
  if (failures == kMaxAcceptsPerTurn) return waitAfterPause();
  wait();
}

ConnectionAcceptor::Result ConnectionAcceptor::acceptOne() {
  error_code error;
  tcp::socket socket(acceptor_.get_executor());
  acceptor_.accept(socket, error);
  if (!error) {
    callbacks_.onConnection(std::move(socket));
    return Result::accepted;
  }
  if (error == asio::error::would_block || error == asio::error::try_again) return Result::queueEmpty;
  if (!isShortage(error)) return Result::connectionFailed;
  if (error.value() != EMFILE || hasFreeDescriptor(acceptor_.native_handle())) return Result::shortage;
  callbacks_.onDescriptorsExhausted();
  return Result::noDescriptor;
}

void ConnectionAcceptor::acceptQueued() {
  for (int failures = 0; failures < kMaxFailuresOfQueue;) {
    const Result result = acceptOne();
    if (result == Result::queueEmpty) return;
    if (result != Result::accepted) ++failures;
  }
}

}  // namespace finchstile
