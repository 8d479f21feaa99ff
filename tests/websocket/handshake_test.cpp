// The opening handshake: what may be asked, what goes on, what is an answer to it.
#include "websocket/handshake.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http/verb.hpp>

namespace finchstile::websocket {
namespace {

namespace http = boost::beast::http;

const std::string kKey = "dGhlIHNhbXBsZSBub25jZQ==";  // of RFC 6455, 1.3

RequestHead good() {
  RequestHead h;
  h.method(http::verb::get);
  h.target("/stock/live");
  h.version(11);
  h.set("Host", "api");
  h.set("Connection", "Upgrade");
  h.set("Upgrade", "websocket");
  h.set("Sec-WebSocket-Version", "13");
  h.set("Sec-WebSocket-Key", kKey);
  return h;
}

unsigned status(const RequestHead& h, const HandshakeRules& rules = {}) {
  return checkRequest(h, rules).status;
}

std::string line(const std::vector<HeaderLine>& lines, const std::string& name) {
  for (const HeaderLine& l : lines)
    if (l.name == name) return l.value;
  return "-";
}

TEST(Handshake, TheExampleOfTheStandardIsAccepted) {
  EXPECT_EQ(acceptOf(kKey), "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=");
  EXPECT_EQ(status(good()), 0u);
  EXPECT_TRUE(requestsWebSocket(good()));
}

TEST(Handshake, TokensComeInAnyCaseAndList) {
  RequestHead h = good();
  h.set("Connection", "keep-alive, UPGRADE");
  h.set("Upgrade", "h2c, WebSocket");
  EXPECT_TRUE(requestsWebSocket(h));
  EXPECT_EQ(status(h), 0u);
  h.erase("Connection");
  h.insert("Connection", "keep-alive");
  h.insert("Connection", "upgrade");
  EXPECT_EQ(status(h), 0u);
}

TEST(Handshake, WhatMayNotBeAskedIsNamed) {
  struct Row {
    const char* what;
    std::function<void(RequestHead&)> change;
    unsigned status;
  };
  const Row rows[] = {
      {"another method", [](auto& h) { h.method(http::verb::post); }, 400},
      {"HTTP/1.0", [](auto& h) { h.version(10); }, 400},
      {"no Host", [](auto& h) { h.erase("Host"); }, 400},
      {"two Hosts", [](auto& h) { h.insert("Host", "other"); }, 400},
      {"no Connection", [](auto& h) { h.erase("Connection"); }, 400},
      {"Connection without it", [](auto& h) { h.set("Connection", "keep-alive"); }, 400},
      {"a body", [](auto& h) { h.set("Content-Length", "3"); }, 400},
      {"a body in chunks", [](auto& h) { h.set("Transfer-Encoding", "chunked"); }, 400},
      {"no version", [](auto& h) { h.erase("Sec-WebSocket-Version"); }, 426},
      {"version 8", [](auto& h) { h.set("Sec-WebSocket-Version", "8"); }, 426},
      {"two versions", [](auto& h) { h.insert("Sec-WebSocket-Version", "13"); }, 426},
      {"no key", [](auto& h) { h.erase("Sec-WebSocket-Key"); }, 400},
      {"two keys", [](auto& h) { h.insert("Sec-WebSocket-Key", kKey); }, 400},
      {"a short key", [](auto& h) { h.set("Sec-WebSocket-Key", "dGhlIHNhbXBsZQ=="); }, 400},
      {"a key that is no base64", [](auto& h) { h.set("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25j!Q=="); },
       400},
      {"bits beyond the key", [](auto& h) { h.set("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZR=="); }, 400},
      {"an accept", [](auto& h) { h.set("Sec-WebSocket-Accept", "x"); }, 400},
      {"a subprotocol twice", [](auto& h) { h.set("Sec-WebSocket-Protocol", "a, b, a"); }, 400},
      {"no subprotocol", [](auto& h) { h.set("Sec-WebSocket-Protocol", " , "); }, 400}};
  for (const Row& r : rows) {
    RequestHead h = good();
    r.change(h);
    EXPECT_EQ(status(h), r.status) << r.what;
  }
}

TEST(Handshake, OnlyOriginsOfTheListMayAsk) {
  HandshakeRules rules;
  rules.origins = {"https://yard.example.org"};
  RequestHead h = good();
  EXPECT_EQ(status(h, rules), 403u);
  h.set("Origin", "https://yard.example.org");
  EXPECT_EQ(status(h, rules), 0u);
  h.set("Origin", "https://yard.example.org.evil.example");
  EXPECT_EQ(status(h, rules), 403u);
  h.set("Origin", "https://other.example.org");
  EXPECT_EQ(status(h, {}), 0u);
}

TEST(Handshake, WhatGoesOnToTheHost) {
  RequestHead h = good();
  h.set("Sec-WebSocket-Protocol", "chat, stock.v2");
  h.set("Sec-WebSocket-Extensions", "permessage-deflate; client_max_window_bits, x-secret; a=\"b,c\"");
  h.set("Origin", "https://a");
  const auto lines = headersForHost(h, {});
  EXPECT_EQ(line(lines, "Sec-WebSocket-Key"), kKey);
  EXPECT_EQ(line(lines, "Sec-WebSocket-Protocol"), "chat, stock.v2");
  EXPECT_EQ(line(lines, "Sec-WebSocket-Extensions"), "permessage-deflate; client_max_window_bits");
  EXPECT_EQ(line(lines, "Origin"), "https://a");
  HandshakeRules rules;
  rules.protocols = {"stock.v2"};
  rules.deflate = false;
  EXPECT_EQ(line(headersForHost(h, rules), "Sec-WebSocket-Protocol"), "stock.v2");
  EXPECT_EQ(line(headersForHost(h, rules), "Sec-WebSocket-Extensions"), "-");
}

Fields answer() {
  Fields f;
  f.set("Connection", "Upgrade");
  f.set("Upgrade", "websocket");
  f.set("Sec-WebSocket-Accept", "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=");
  return f;
}

TEST(Handshake, TheHostsAnswerHasToBeTheOneToThisRequest) {
  RequestHead h = good();
  h.set("Sec-WebSocket-Protocol", "a, b");
  h.set("Sec-WebSocket-Extensions", "permessage-deflate");
  EXPECT_TRUE(checkAccept(h, answer(), {}).good);
  struct Row {
    const char* what;
    std::function<void(Fields&)> change;
    bool good;
  };
  const Row rows[] = {
      {"the wrong accept", [](auto& f) { f.set("Sec-WebSocket-Accept", "AAAAAAAAAAAAAAAAAAAAAAAAAAA="); },
       false},
      {"no accept", [](auto& f) { f.erase("Sec-WebSocket-Accept"); }, false},
      {"two accepts", [](auto& f) { f.insert("Sec-WebSocket-Accept", "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="); },
       false},
      {"no Upgrade", [](auto& f) { f.erase("Upgrade"); }, false},
      {"another Upgrade", [](auto& f) { f.set("Upgrade", "h2c"); }, false},
      {"no Connection", [](auto& f) { f.erase("Connection"); }, false},
      {"an offered subprotocol", [](auto& f) { f.set("Sec-WebSocket-Protocol", "b"); }, true},
      {"another subprotocol", [](auto& f) { f.set("Sec-WebSocket-Protocol", "c"); }, false},
      {"two subprotocols", [](auto& f) { f.set("Sec-WebSocket-Protocol", "a, b"); }, false},
      {"deflate",
       [](auto& f) { f.set("Sec-WebSocket-Extensions", "permessage-deflate; server_no_context_takeover"); },
       true},
      {"deflate twice",
       [](auto& f) { f.set("Sec-WebSocket-Extensions", "permessage-deflate, permessage-deflate"); }, false},
      {"another extension", [](auto& f) { f.set("Sec-WebSocket-Extensions", "x-other"); }, false}};
  for (const Row& r : rows) {
    Fields f = answer();
    r.change(f);
    EXPECT_EQ(checkAccept(h, f, {}).good, r.good) << r.what;
  }
  Fields f = answer();
  f.set("Sec-WebSocket-Extensions", "permessage-deflate");
  EXPECT_TRUE(checkAccept(h, f, {}).deflate);
  HandshakeRules refuse;
  refuse.deflate = false;
  EXPECT_FALSE(checkAccept(h, f, refuse).good);  // it was never offered
  EXPECT_FALSE(checkAccept(h, answer(), refuse).deflate);
}

}  // namespace
}  // namespace finchstile::websocket
