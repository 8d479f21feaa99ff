// Unix domain sockets that connect the processes of a gateway.
#pragma once

#include <sys/types.h>
#include <sys/un.h>

#include <optional>
#include <string>

namespace finchstile::handover {

// Returns nothing if the path is empty or too long for a socket address.
std::optional<sockaddr_un> unixAddress(const std::string& path);

// Returns a non-blocking socket that preserves message boundaries; negative on failure, with errno set.
int newUnixSocket();

// Returns whether the peer process runs as the same user as this process. Only such a process may receive
// client connections.
bool isPeerSameUser(int fd);

// The peer process; 0 if it is unknown.
pid_t peerProcess(int fd);

}  // namespace finchstile::handover
