// PROXY protocol version 2, binary format ("The PROXY protocol", section 2.2): the address of the client
// ahead of its first byte, received from a proxy in front of the gateway or sent to a host. TCP over IPv4 and
// IPv6 only. No I/O.
//
// Parsing is strict: a header that implementations could read differently, or that is not possible for TCP,
// is rejected together with its connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace finchstile::stream {

struct ProxyHeader {
  // Client address and the address it connected to. Empty: LOCAL, a connection of the proxy itself (health
  // checks).
  struct Ends {
    boost::asio::ip::tcp::endpoint from, to;
  };
  std::optional<Ends> ends;
};

inline constexpr std::size_t kMaxProxyHeaderBytes = 16 + 512;  // fixed part, addresses and TLVs

struct ProxyRead {
  enum class Verdict { more, good, bad } verdict = Verdict::more;
  ProxyHeader header;
  std::size_t used = 0;  // size of the header, if it is good
  const char* why = "";  // reason, if it is bad
};

// Parses the first bytes of a connection; `more`: call again once more bytes have arrived.
ProxyRead readProxyHeader(std::string_view bytes);

// Writes a header with both addresses if they are of one family; otherwise (an IPv4-mapped address beside an
// IPv4 one) a LOCAL header.
std::string writeProxyHeader(const ProxyHeader& header);

}  // namespace finchstile::stream
