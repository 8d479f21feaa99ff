#include "stream/proxy_protocol.hpp"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <cstdint>
#include <cstring>

namespace finchstile::stream {
namespace {

namespace ip = boost::asio::ip;
using ip::tcp;

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr std::size_t kFixed = 16;
constexpr unsigned char kLocal = 0x20, kProxy = 0x21, kTcp4 = 0x11, kTcp6 = 0x21, kUnspec = 0x00;
constexpr unsigned char kTypeCrc = 0x03;  // PP2_TYPE_CRC32C
constexpr std::size_t kEnds4 = 12, kEnds6 = 36;

unsigned char byteAt(std::string_view b, std::size_t i) { return static_cast<unsigned char>(b[i]); }
std::size_t wordAt(std::string_view b, std::size_t i) { return byteAt(b, i) * 256u + byteAt(b, i + 1); }

template <class Bytes, class Address>
ProxyHeader::Ends readEnds(std::string_view b) {
  Bytes from, to;
  std::memcpy(from.data(), b.data(), from.size());
  std::memcpy(to.data(), b.data() + from.size(), to.size());
  const std::size_t ports = 2 * from.size();
  return {tcp::endpoint(Address(from), static_cast<std::uint16_t>(wordAt(b, ports))),
          tcp::endpoint(Address(to), static_cast<std::uint16_t>(wordAt(b, ports + 2)))};
}

std::uint32_t crcWithout(std::string_view header, std::size_t at) {  // with the four bytes of the sum as 0
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  static constexpr char kNone[4] = {};
  crc.process_bytes(header.data(), at);
  crc.process_bytes(kNone, sizeof kNone);
  crc.process_bytes(header.data() + at + 4, header.size() - at - 4);
  return crc.checksum();
}

// Null: good. The fields themselves are not ours to know, but for the sum.
const char* checkFields(std::string_view header, std::size_t at) {
  bool summed = false;
  while (at < header.size()) {
    if (header.size() - at < 3) return "a field is cut off";
    const std::size_t length = wordAt(header, at + 1);
    if (header.size() - at - 3 < length) return "a field reaches beyond the header";
    if (byteAt(header, at) == kTypeCrc) {
      if (length != 4 || std::exchange(summed, true)) return "not one sum of four bytes";
      const std::size_t v = at + 3;
      const std::uint32_t told = static_cast<std::uint32_t>(wordAt(header, v) << 16 | wordAt(header, v + 2));
      if (told != crcWithout(header, v)) return "the sum does not fit";
    }
    at += 3 + length;
  }
  return nullptr;
}

ProxyRead bad(const char* why) {
  ProxyRead r;
  r.verdict = ProxyRead::Verdict::bad;
  r.why = why;
  return r;
}

template <class Bytes>
void append(std::string& out, const Bytes& from, const Bytes& to) {
  out.append(reinterpret_cast<const char*>(from.data()), from.size());
  out.append(reinterpret_cast<const char*>(to.data()), to.size());
}

void appendWord(std::string& out, std::size_t word) {
  out += static_cast<char>(word >> 8 & 0xff);
  out += static_cast<char>(word & 0xff);
}

}  // namespace

ProxyRead readProxyHeader(std::string_view b) {
  const std::size_t known = std::min(b.size(), kSignature.size());
  if (b.substr(0, known) != kSignature.substr(0, known)) return bad("not a header of version 2");
  if (b.size() < kFixed) return {};
  const unsigned char command = byteAt(b, 12), family = byteAt(b, 13);
  if (command != kLocal && command != kProxy) return bad("neither LOCAL nor PROXY of version 2");
  const std::size_t length = wordAt(b, 14);
  if (kFixed + length > kMaxProxyHeaderBytes) return bad("longer than is taken");
  const std::size_t ends = family == kTcp4 ? kEnds4 : family == kTcp6 ? kEnds6 : 0;
  if (family != kTcp4 && family != kTcp6 && (family != kUnspec || command != kLocal))
    return bad("not TCP over IPv4 or IPv6");
  if (length < ends) return bad("too short for its addresses");
  if (b.size() < kFixed + length) return {};
  const std::string_view header = b.substr(0, kFixed + length);
  ProxyRead r;
  // Of LOCAL without a family all that follows is to be passed over (2.2.1).
  if (family != kUnspec)
    if (const char* why = checkFields(header, kFixed + ends)) return bad(why);
  if (command == kProxy)
    r.header.ends = family == kTcp4
                        ? readEnds<ip::address_v4::bytes_type, ip::address_v4>(header.substr(kFixed))
                        : readEnds<ip::address_v6::bytes_type, ip::address_v6>(header.substr(kFixed));
  r.verdict = ProxyRead::Verdict::good;
  r.used = header.size();
  return r;
}

std::string writeProxyHeader(const ProxyHeader& h) {
  std::string out(kSignature);
  const bool four = h.ends && h.ends->from.address().is_v4() && h.ends->to.address().is_v4();
  const bool six = h.ends && h.ends->from.address().is_v6() && h.ends->to.address().is_v6();
  if (!four && !six) {
    out += static_cast<char>(kLocal);
    out += static_cast<char>(kUnspec);
    appendWord(out, 0);
    return out;
  }
  out += static_cast<char>(kProxy);
  out += static_cast<char>(four ? kTcp4 : kTcp6);
  appendWord(out, four ? kEnds4 : kEnds6);
  if (four) append(out, h.ends->from.address().to_v4().to_bytes(), h.ends->to.address().to_v4().to_bytes());
  else append(out, h.ends->from.address().to_v6().to_bytes(), h.ends->to.address().to_v6().to_bytes());
  appendWord(out, h.ends->from.port());
  appendWord(out, h.ends->to.port());
  return out;
}

}  // namespace finchstile::stream
