// Listen addresses for programs that a test starts: chosen while they are free, and kept from other tests.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <vector>

namespace finchstile::testing {

// Returns a loopback address that no other running process of a test uses. The port of a program is free
// until the program starts and between its restarts; on 127.0.0.1 a process of another test could take it
// then and receive this test's requests.
inline boost::asio::ip::address_v4 ownLoopbackAddress() {
  const auto pid = static_cast<unsigned>(getpid());  // at most 2^22, so the second part is at most 66
  return boost::asio::ip::address_v4{(127u << 24) | ((1 + pid / (254 * 254)) << 16) |
                                     ((1 + pid / 254 % 254) << 8) | (1 + pid % 254)};
}

// Returns `count` different endpoints on which nothing listens.
inline std::vector<boost::asio::ip::tcp::endpoint> reserveEndpoints(boost::asio::io_context& io,
                                                                    std::size_t count) {
  using boost::asio::ip::tcp;
  std::vector<tcp::acceptor> reserved;  // all open until the last port is drawn, so that the ports differ
  std::vector<tcp::endpoint> endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    reserved.emplace_back(io, tcp::endpoint(ownLoopbackAddress(), 0));
    endpoints.push_back(reserved.back().local_endpoint());
  }
  return endpoints;
}

inline boost::asio::ip::tcp::endpoint reserveEndpoint(boost::asio::io_context& io) {
  return reserveEndpoints(io, 1).front();
}

}  // namespace finchstile::testing
