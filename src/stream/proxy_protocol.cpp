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
constexpr std::size_t kFixedHeaderBytes = 16;
constexpr unsigned char kLocal = 0x20, kProxy = 0x21, kTcp4 = 0x11, kTcp6 = 0x21, kUnspec = 0x00;
constexpr unsigned char kCrc32cType = 0x03;  // PP2_TYPE_CRC32C
constexpr std::size_t kIpv4AddressBytes = 12, kIpv6AddressBytes = 36;

unsigned char byteAt(std::string_view b, std::size_t i) { return static_cast<unsigned char>(b[i]); }
std::size_t uint16At(std::string_view b, std::size_t i) { return byteAt(b, i) * 256u + byteAt(b, i + 1); }

template <class Bytes, class Address>
ProxyHeader::Ends readEnds(std::string_view b) {
  Bytes from, to;
  std::memcpy(from.data(), b.data(), from.size());
  std::memcpy(to.data(), b.data() + from.size(), to.size());
  const std::size_t ports = 2 * from.size();
  return {tcp::endpoint(Address(from), static_cast<std::uint16_t>(uint16At(b, ports))),
          tcp::endpoint(Address(to), static_cast<std::uint16_t>(uint16At(b, ports + 2)))};
}

std::uint32_t crcWithZeroedChecksum(
    std::string_view header,
    std::size_t at) {  // CRC-32C with the four checksum bytes at `at` taken as 0
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  static constexpr char kNone[4] = {};
  crc.process_bytes(header.data(), at);
  crc.process_bytes(kNone, sizeof kNone);
  crc.process_bytes(header.data() + at + 4, header.size() - at - 4);
  return crc.checksum();
}

// Returns the error, or null if valid. Values of TLVs other than the checksum are not interpreted.
const char* checkFields(std::string_view header, std::size_t at) {
  bool hasChecksum = false;
  while (at < header.size()) {
    if (header.size() - at < 3) return "TLV header is truncated";
    const std::size_t length = uint16At(header, at + 1);
    if (header.size() - at - 3 < length) return "TLV exceeds the header";
    if (byteAt(header, at) == kCrc32cType) {
      if (length != 4 || std::exchange(hasChecksum, true)) return "CRC-32C must occur once with 4 bytes";
      const std::size_t v = at + 3;
      const std::uint32_t storedCrc =
          static_cast<std::uint32_t>(uint16At(header, v) << 16 | uint16At(header, v + 2));
      if (storedCrc != crcWithZeroedChecksum(header, v)) return "CRC-32C mismatch";
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

void appendUint16(std::string& out, std::size_t word) {
  out += static_cast<char>(word >> 8 & 0xff);
  out += static_cast<char>(word & 0xff);
}

}  // namespace

ProxyRead readProxyHeader(std::string_view b) {
  const std::size_t known = std::min(b.size(), kSignature.size());
  if (b.substr(0, known) != kSignature.substr(0, known)) return bad("no PROXY protocol version 2 signature");
  if (b.size() < kFixedHeaderBytes) return {};
  const unsigned char command = byteAt(b, 12), family = byteAt(b, 13);
  if (command != kLocal && command != kProxy)
    return bad("version and command are neither LOCAL nor PROXY of version 2");
  const std::size_t length = uint16At(b, 14);
  if (kFixedHeaderBytes + length > kMaxProxyHeaderBytes) return bad("header exceeds 528 bytes");
  const std::size_t ends = family == kTcp4 ? kIpv4AddressBytes : family == kTcp6 ? kIpv6AddressBytes : 0;
  if (family != kTcp4 && family != kTcp6 && (family != kUnspec || command != kLocal))
    return bad("not TCP over IPv4 or IPv6");
  if (length < ends) return bad("header is too short for its address family");
  if (b.size() < kFixedHeaderBytes + length) return {};
  const std::string_view header = b.substr(0, kFixedHeaderBytes + length);
  ProxyRead r;
  // For LOCAL with an unspecified family, the rest of the header must be ignored (2.2.1).
  if (family != kUnspec)
    if (const char* why = checkFields(header, kFixedHeaderBytes + ends)) return bad(why);
  if (command == kProxy)
    r.header.ends =
        family == kTcp4
            ? readEnds<ip::address_v4::bytes_type, ip::address_v4>(header.substr(kFixedHeaderBytes))
            : readEnds<ip::address_v6::bytes_type, ip::address_v6>(header.substr(kFixedHeaderBytes));
  r.verdict = ProxyRead::Verdict::good;
  r.used = header.size();
  return r;
}

std::string writeProxyHeader(const ProxyHeader& h) {
  std::string out(kSignature);
  const bool isIpv4 = h.ends && h.ends->from.address().is_v4() && h.ends->to.address().is_v4();
  const bool isIpv6 = h.ends && h.ends->from.address().is_v6() && h.ends->to.address().is_v6();
  if (!isIpv4 && !isIpv6) {
    out += static_cast<char>(kLocal);
    out += static_cast<char>(kUnspec);
    appendUint16(out, 0);
    return out;
  }
  out += static_cast<char>(kProxy);
  out += static_cast<char>(isIpv4 ? kTcp4 : kTcp6);
  appendUint16(out, isIpv4 ? kIpv4AddressBytes : kIpv6AddressBytes);
  if (isIpv4) append(out, h.ends->from.address().to_v4().to_bytes(), h.ends->to.address().to_v4().to_bytes());
  else append(out, h.ends->from.address().to_v6().to_bytes(), h.ends->to.address().to_v6().to_bytes());
  appendUint16(out, h.ends->from.port());
  appendUint16(out, h.ends->to.port());
  return out;
}

}  // namespace finchstile::stream
