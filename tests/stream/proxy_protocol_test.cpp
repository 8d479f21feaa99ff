// The PROXY protocol, version 2: what is written is read back, and what two readers could take differently is
// turned down.
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

TEST(ProxyProtocol, WhatIsWrittenIsReadBack) {
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

TEST(ProxyProtocol, EachPartOfOneAsksForMore) {
  const std::string whole = writeProxyHeader(ends("2001:db8::9", "2001:db8::1"));
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_EQ(readProxyHeader(whole.substr(0, n)).verdict, Verdict::more) << n;
}

TEST(ProxyProtocol, MixedFamiliesSayLocal) {
  const std::string bytes = writeProxyHeader(ends("10.0.0.9", "2001:db8::1"));
  const ProxyRead r = readProxyHeader(bytes);
  EXPECT_EQ(r.verdict, Verdict::good);
  EXPECT_FALSE(r.header.ends);
  EXPECT_EQ(bytes, header(0x20, 0x00, ""));
}

TEST(ProxyProtocol, LocalIsTakenWithWhateverFollows) {
  const ProxyRead r = readProxyHeader(header(0x20, 0x00, "anything at all") + "x");
  ASSERT_EQ(r.verdict, Verdict::good);
  EXPECT_FALSE(r.header.ends);
  EXPECT_EQ(r.used, 16u + 15u);
  EXPECT_EQ(readProxyHeader(header(0x20, 0x11, kEnds)).verdict, Verdict::good);
}

TEST(ProxyProtocol, OtherThingsAreBadAsSoonAsThatIsSeen) {
  EXPECT_EQ(readProxyHeader("G").verdict, Verdict::bad);
  EXPECT_EQ(readProxyHeader("PROXY TCP4 10.0.0.9 10.0.0.1 1 2\r\n").verdict, Verdict::bad);  // version 1
  EXPECT_EQ(readProxyHeader(header(0x31, 0x11, kEnds)).verdict, Verdict::bad);               // version 3
  EXPECT_EQ(readProxyHeader(header(0x22, 0x11, kEnds)).verdict, Verdict::bad);  // no such command
  EXPECT_EQ(readProxyHeader(header(0x21, 0x12, kEnds)).verdict, Verdict::bad);  // UDP
  EXPECT_EQ(readProxyHeader(header(0x21, 0x31, std::string(216, 'a'))).verdict, Verdict::bad);  // Unix
  EXPECT_EQ(readProxyHeader(header(0x21, 0x00, kEnds)).verdict, Verdict::bad);  // PROXY of nothing known
  EXPECT_EQ(readProxyHeader(header(0x21, 0x11, kEnds.substr(1))).verdict, Verdict::bad);
  EXPECT_EQ(readProxyHeader(header(0x21, 0x21, kEnds)).verdict, Verdict::bad);  // IPv4 said to be IPv6
  EXPECT_EQ(readProxyHeader(header(0x21, 0x11, std::string(513, 'a')).substr(0, 16)).verdict, Verdict::bad);
}

TEST(ProxyProtocol, FurtherFieldsHaveToFit) {
  const auto with = [](const std::string& fields) {
    return readProxyHeader(header(0x21, 0x11, kEnds + fields));
  };
  EXPECT_EQ(with(std::string("\x05\x00\x02id", 5)).verdict, Verdict::good);
  EXPECT_EQ(with(std::string("\x04\x00\x00", 3)).verdict, Verdict::good);   // a field of no bytes
  EXPECT_EQ(with(std::string("\x05\x00", 2)).verdict, Verdict::bad);        // cut off
  EXPECT_EQ(with(std::string("\x05\x00\x03id", 5)).verdict, Verdict::bad);  // beyond the end
}

// The check value of CRC-32C (RFC 3720, B.4) over a header made by hand.
TEST(ProxyProtocol, ASumIsChecked) {
  const std::string none = header(0x21, 0x11, kEnds + std::string("\x03\x00\x04\0\0\0\0", 7));
  EXPECT_EQ(readProxyHeader(none).verdict, Verdict::bad);
  // Bit by bit, as the definition has it.
  std::uint32_t crc = 0xFFFFFFFF;
  for (const char c : none) {
    crc ^= static_cast<unsigned char>(c);
    for (int k = 0; k < 8; ++k) crc = crc >> 1 ^ (crc & 1 ? 0x82F63B78u : 0u);
  }
  crc = ~crc;
  std::string summed = none;
  for (std::size_t i = 0; i < 4; ++i)
    summed[none.size() - 4 + i] = static_cast<char>(crc >> (24 - 8 * i) & 0xff);
  EXPECT_EQ(readProxyHeader(summed).verdict, Verdict::good) << readProxyHeader(summed).why;
  for (std::size_t at = 16; at < summed.size(); ++at) {  // any bit of addresses or fields
    std::string spoilt = summed;
    spoilt[at] = static_cast<char>(spoilt[at] ^ 1);
    // A sum under another type is just a field.
    if (at != 28) EXPECT_EQ(readProxyHeader(spoilt).verdict, Verdict::bad) << at;
  }
}

}  // namespace
}  // namespace finchstile::stream
