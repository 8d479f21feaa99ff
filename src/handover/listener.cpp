#include "handover/listener.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "handover/unix_socket.hpp"

namespace finchstile::handover {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kAcceptQueue = 4;
constexpr mode_t kSocketMode = 0600;

}  // namespace

HandoverListener::HandoverListener(asio::io_context& io, const std::string& path,
                                   std::function<void(std::shared_ptr<Channel>)> onConnect)
    : io_(io), path_(path), onConnect_(std::move(onConnect)), socket_(io) {
  const std::string temporaryPath = path + "." + std::to_string(::getpid());
  try {
    listenAt(temporaryPath);
  } catch (...) {
    ::unlink(temporaryPath.c_str());
    throw;
  }
  waitForConnection();
}

void HandoverListener::listenAt(const std::string& temporaryPath) {
  using Code = HandoverListenerError::Code;
  const auto fail = [this](Code code, const char* step, int error) {
    throw HandoverListenerError(code, path_ + ": " + step + ": " + std::strerror(error));
  };
  const auto address = unixAddress(temporaryPath);
  if (!address) return fail(Code::invalidPath, "not a valid socket path", ENAMETOOLONG);
  const int fd = newUnixSocket();
  if (fd < 0) fail(Code::noSocket, "cannot create a socket", errno);
  socket_.assign(fd);
  ::unlink(temporaryPath.c_str());
  const auto* const at = reinterpret_cast<const sockaddr*>(&*address);
  if (::bind(fd, at, sizeof *address) != 0) fail(Code::cannotBind, "cannot bind the socket", errno);
  ::chmod(temporaryPath.c_str(), kSocketMode);
  if (::listen(fd, kAcceptQueue) != 0) fail(Code::cannotListen, "cannot listen on the socket", errno);
  struct stat status {};
  if (::stat(temporaryPath.c_str(), &status) == 0) inode_ = status.st_ino;
  if (::rename(temporaryPath.c_str(), path_.c_str()) != 0)
    fail(Code::cannotRename, "cannot rename the socket to this path", errno);
}

HandoverListener::~HandoverListener() {
  *alive_ = false;
  struct stat status {};
  if (::stat(path_.c_str(), &status) == 0 && status.st_ino == inode_) ::unlink(path_.c_str());
}

void HandoverListener::waitForConnection() {
  const auto onReadable = [this, alive = alive_](error_code error) {
    if (error || !*alive) return;
    acceptOne();
    waitForConnection();
  };
  socket_.async_wait(asio::posix::stream_descriptor::wait_read, onReadable);
}

void HandoverListener::acceptOne() {
  const int fd = ::accept4(socket_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0) return;
  auto channel = std::make_shared<Channel>(io_, fd);
  if (isPeerSameUser(fd)) onConnect_(std::move(channel));
  else channel->close();
}

}  // namespace finchstile::handover
