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

bool isPeerSameUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

}  // namespace finchstile::handover
