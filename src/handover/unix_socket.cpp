#include "handover/unix_socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace finchstile::handover {

std::optional<sockaddr_un> unixAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

int newUnixSocket() { return ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0); }

namespace {

std::optional<ucred> peerCredentials(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return std::nullopt;
  return peer;
}

}  // namespace

bool isPeerSameUser(int fd) {
  const std::optional<ucred> peer = peerCredentials(fd);
  return peer && peer->uid == ::geteuid();
}

pid_t peerProcess(int fd) {
  const std::optional<ucred> peer = peerCredentials(fd);
  return peer ? peer->pid : 0;
}

}  // namespace finchstile::handover
