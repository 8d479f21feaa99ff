// The PROXY protocol, version 2, binary ("The PROXY protocol", section 2.2): who the client is, ahead of its
// first byte, from a proxy before us or to a host behind us. TCP over IPv4 and IPv6 only. No I/O.
//
// Read strictly: a header that two readers could take differently, or that says what can not be for TCP, is
// bad, and so is the connection that it came on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace finchstile::stream {

struct ProxyHeader {
  // Of the client, and where it connected to. None: LOCAL, the proxy speaks for itself (health checks).
  struct Ends {
    boost::asio::ip::tcp::endpoint from, to;
  };
  std::optional<Ends> ends;
};

inline constexpr std::size_t kMaxProxyHeaderBytes = 16 + 512;  // addresses and further fields (TLVs)

struct ProxyRead {
  enum class Verdict { more, good, bad } verdict = Verdict::more;
  ProxyHeader header;
  std::size_t used = 0;  // bytes of it, if it is good
  const char* why = "";  // if it is bad
};

// Of the first bytes of a connection; `more` asks for more of them.
ProxyRead readProxyHeader(std::string_view bytes);

// Both of one family, else (a mapped address beside a plain one) the header says LOCAL.
std::string writeProxyHeader(const ProxyHeader& header);

}  // namespace finchstile::stream
