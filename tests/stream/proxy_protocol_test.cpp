// PROXY protocol version 2: round trip, and rejection of headers that implementations could read differently.
#include "stream/proxy_protocol.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address.hpp>

namespace finchstile::stream {
namespace {

using Verdict = ProxyRead::Verdict;
using boost::asio::ip::make_address;
using boost::asio::ip::tcp;

const std::string kSignature("\r\n\r\n\0\r\nQUIT\n", 12);

std::string header(unsigned char command, unsigned char family, const std::string& rest) {
  std::string out = kSignature;
  out += static_cast<char>(command);
  out += static_cast<char>(family);
  out += static_cast<char>(rest.size() >> 8);
  out += static_cast<char>(rest.size() & 0xff);
  return out + rest;
}

const std::string kEnds("\x0a\x00\x00\x09\x0a\x00\x00\x01\x30\x39\x00\x50",
                        12);  // 10.0.0.9:12345 to 10.0.0.1:80

ProxyHeader ends(const char* from, const char* to) {
  ProxyHeader h;
  h.ends = ProxyHeader::Ends{tcp::endpoint(make_address(from), 12345), tcp::endpoint(make_address(to), 80)};
  return h;
}

TEST(ProxyProtocol, WrittenHeaderIsReadBack) {
  EXPECT_EQ(writeProxyHeader(ends("10.0.0.9", "10.0.0.1")), header(0x21, 0x11, kEnds));
  for (const auto& h : {ends("10.0.0.9", "10.0.0.1"), ends("2001:db8::9", "2001:db8::1")}) {
    const std::string bytes = writeProxyHeader(h) + "first bytes";
    const ProxyRead r = readProxyHeader(bytes);
    ASSERT_EQ(r.verdict, Verdict::good) << r.why;
    EXPECT_EQ(bytes.substr(r.used), "first bytes");
    ASSERT_TRUE(r.header.ends);
    EXPECT_EQ(r.header.ends->from, h.ends->from);
    EXPECT_EQ(r.header.ends->to, h.ends->to);
  }
}

TEST(ProxyProtocol, IncompleteHeaderNeedsMoreBytes) {
  const std::string whole = writeProxyHeader(ends("2001:db8::9", "2001:db8::1"));
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_EQ(readProxyHeader(whole.substr(0, n)).verdict, Verdict::more) << n;
}

TEST(ProxyProtocol, MixedAddressFamiliesAreWrittenAsLocal) {
  const std::string bytes = writeProxyHeader(ends("10.0.0.9", "2001:db8::1"));
  const ProxyRead r = readProxyHeader(bytes);
  EXPECT_EQ(r.verdict, Verdict::good);
  EXPECT_FALSE(r.header.ends);
  EXPECT_EQ(bytes, header(0x20, 0x00, ""));
}

TEST(ProxyProtocol, LocalHeaderIsAcceptedWithArbitraryPayload) {
  const ProxyRead r = readProxyHeader(header(0x20, 0x00, "anything at all") + "x");
  ASSERT_EQ(r.verdict, Verdict::good);
  EXPECT_FALSE(r.header.ends);
  EXPECT_EQ(r.used, 16u + 15u);
  EXPECT_EQ(readProxyHeader(header(0x20, 0x11, kEnds)).verdict, Verdict::good);
}

TEST(ProxyProtocol, InvalidHeaderIsRejectedAtTheFirstInvalidByte) {
  EXPECT_EQ(readProxyHeader("G").verdict, Verdict::bad);
  EXPECT_EQ(readProxyHeader("PROXY TCP4 10.0.0.9 10.0.0.1 1 2\r\n").verdict, Verdict::bad);  // version 1
  EXPECT_EQ(readProxyHeader(header(0x31, 0x11, kEnds)).verdict, Verdict::bad);               // version 3
  EXPECT_EQ(readProxyHeader(header(0x22, 0x11, kEnds)).verdict, Verdict::bad);  // unknown command
  EXPECT_EQ(readProxyHeader(header(0x21, 0x12, kEnds)).verdict, Verdict::bad);  // UDP
  EXPECT_EQ(readProxyHeader(header(0x21, 0x31, std::string(216, 'a'))).verdict, Verdict::bad);  // Unix
  EXPECT_EQ(readProxyHeader(header(0x21, 0x00, kEnds)).verdict,
            Verdict::bad);  // PROXY with an unspecified family
  EXPECT_EQ(readProxyHeader(header(0x21, 0x11, kEnds.substr(1))).verdict, Verdict::bad);
  EXPECT_EQ(readProxyHeader(header(0x21, 0x21, kEnds)).verdict,
            Verdict::bad);  // IPv4 addresses labelled as IPv6
  EXPECT_EQ(readProxyHeader(header(0x21, 0x11, std::string(513, 'a')).substr(0, 16)).verdict, Verdict::bad);
}

TEST(ProxyProtocol, TlvsMustFitIntoTheHeader) {
  const auto with = [](const std::string& fields) {
    return readProxyHeader(header(0x21, 0x11, kEnds + fields));
  };
  EXPECT_EQ(with(std::string("\x05\x00\x02id", 5)).verdict, Verdict::good);
  EXPECT_EQ(with(std::string("\x04\x00\x00", 3)).verdict, Verdict::good);   // empty value
  EXPECT_EQ(with(std::string("\x05\x00", 2)).verdict, Verdict::bad);        // truncated
  EXPECT_EQ(with(std::string("\x05\x00\x03id", 5)).verdict, Verdict::bad);  // exceeds the header
}

// Checksum of a hand-made header, computed independently of the implementation.
TEST(ProxyProtocol, Crc32cMismatchIsRejected) {
  const std::string withoutChecksum = header(0x21, 0x11, kEnds + std::string("\x03\x00\x04\0\0\0\0", 7));
  EXPECT_EQ(readProxyHeader(withoutChecksum).verdict, Verdict::bad);
  // Bitwise CRC-32C (RFC 3720, B.4).
  std::uint32_t crc = 0xFFFFFFFF;
  for (const char c : withoutChecksum) {
    crc ^= static_cast<unsigned char>(c);
    for (int k = 0; k < 8; ++k) crc = crc >> 1 ^ (crc & 1 ? 0x82F63B78u : 0u);
  }
  crc = ~crc;
  std::string withChecksum = withoutChecksum;
  for (std::size_t i = 0; i < 4; ++i)
    withChecksum[withoutChecksum.size() - 4 + i] = static_cast<char>(crc >> (24 - 8 * i) & 0xff);
  EXPECT_EQ(readProxyHeader(withChecksum).verdict, Verdict::good) << readProxyHeader(withChecksum).why;
  for (std::size_t at = 16; at < withChecksum.size(); ++at) {  // a flipped bit in addresses or TLVs
    std::string corrupted = withChecksum;
    corrupted[at] = static_cast<char>(corrupted[at] ^ 1);
    // With its type changed, the checksum is an ordinary TLV and not checked.
    if (at != 28) EXPECT_EQ(readProxyHeader(corrupted).verdict, Verdict::bad) << at;
  }
}

}  // namespace
}  // namespace finchstile::stream
