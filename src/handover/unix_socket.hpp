// The local sockets over which processes of one gateway find each other.
#pragma once

#include <sys/un.h>

#include <optional>
#include <string>

namespace finchstile::handover {

// Returns nothing if the path is empty or too long for an address.
std::optional<sockaddr_un> unixAddress(const std::string& path);

// A non-blocking socket that keeps message boundaries; below 0 on failure, with errno set.
int newUnixSocket();

// Whether the process at the other end runs as this process' user. Client connections are handed to it.
bool isPeerOwnUser(int fd);

}  // namespace finchstile::handover
