#include "websocket/handshake.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <stdexcept>

#include "net/framing.hpp"

namespace finchstile::websocket {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr const char* kAcceptGuid = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";  // GUID of RFC 6455, 1.3
constexpr const char* kDeflate = "permessage-deflate";
constexpr std::size_t kMaxListItems = 32;  // subprotocols or extensions considered per message

std::string_view toView(beast::string_view s) { return {s.data(), s.size()}; }

// All values of a repeatable header as one list (RFC 9110, 5.3).
std::string joined(const Fields& f, http::field name) {
  std::string out;
  const auto range = f.equal_range(name);
  for (auto it = range.first; it != range.second; ++it)
    out.append(out.empty() ? "" : ", ").append(it->value().data(), it->value().size());
  return out;
}

bool hasToken(const Fields& f, http::field header, beast::string_view token) {
  return http::token_list{joined(f, header)}.exists(token);
}

std::vector<std::string> tokens(const std::string& list) {
  std::vector<std::string> out;
  for (const auto& token : http::token_list{list}) {
    out.emplace_back(token.data(), token.size());
    if (out.size() > kMaxListItems) break;
  }
  return out;
}

struct Extension {
  std::string name, definition;
};

// Splits at commas outside quotes; each extension keeps its parameters unchanged.
std::vector<Extension> extensions(const std::string& list) {
  std::vector<Extension> out;
  std::string one;
  bool quoted = false;
  const auto finish = [&] {
    const std::size_t from = one.find_first_not_of(" \t"), to = one.find_last_not_of(" \t");
    if (from != std::string::npos) {
      const std::string definition = one.substr(from, to - from + 1);
      const std::string name = definition.substr(0, definition.find_first_of("; \t"));
      out.push_back({name, definition});
    }
    one.clear();
  };
  for (const char c : list) {
    if (c == '"') quoted = !quoted;
    if (c == ',' && !quoted) finish();
    else one += c;
  }
  finish();
  if (out.size() > kMaxListItems) out.resize(kMaxListItems);
  return out;
}

// Whether `key` is sixteen bytes in canonical base64 (4.1, item 7). Another encoding of the same bytes would
// produce a different accept value.
bool isKey(std::string_view key) {
  if (key.size() != 24 || key.substr(22) != "==") return false;
  static constexpr std::string_view kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  if (!std::all_of(key.begin(), key.begin() + 22,
                   [](char c) { return kLetters.find(c) != std::string_view::npos; }))
    return false;
  return kLetters.find(key[21]) % 16 == 0;  // the unused bits of the last character are 0
}

bool isAllowed(const std::vector<std::string>& of, const std::string& one) {
  return of.empty() || std::find(of.begin(), of.end(), one) != of.end();
}

std::string protocolsFor(const RequestHead& head, const HandshakeRules& rules) {
  std::string out;
  for (const std::string& p : tokens(joined(head, http::field::sec_websocket_protocol)))
    if (isAllowed(rules.protocols, p)) out.append(out.empty() ? "" : ", ").append(p);
  return out;
}

std::string extensionsFor(const RequestHead& head, const HandshakeRules& rules) {
  std::string out;
  if (!rules.deflate) return out;
  for (const Extension& e : extensions(joined(head, http::field::sec_websocket_extensions)))
    if (beast::iequals(e.name, kDeflate)) out.append(out.empty() ? "" : ", ").append(e.definition);
  return out;
}

AcceptVerdict bad(const char* why) { return {false, why, false, {}}; }

}  // namespace

std::string acceptOf(std::string_view key) {
  const std::string text = std::string(key) + kAcceptGuid;
  unsigned char sum[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(text.data(), text.size(), sum, &size, EVP_sha1(), nullptr) != 1)
    throw std::runtime_error("the cryptographic library has no SHA-1");
  unsigned char out[64];
  const int n = EVP_EncodeBlock(out, sum, static_cast<int>(size));
  return {reinterpret_cast<const char*>(out), static_cast<std::size_t>(n)};
}

bool requestsWebSocket(const RequestHead& head) { return hasToken(head, http::field::upgrade, "websocket"); }

HandshakeVerdict checkRequest(const RequestHead& head, const HandshakeRules& rules) {
  if (head.method() != http::verb::get || head.version() != 11) return {400, "not a GET of HTTP/1.1"};
  if (head.count(http::field::host) != 1) return {400, "not one Host"};
  if (!hasToken(head, http::field::connection, "upgrade")) return {400, "Connection does not name Upgrade"};
  if (head.count(http::field::content_length) + head.count(http::field::transfer_encoding) > 0)
    return {400, "a body"};
  if (head.count(http::field::sec_websocket_version) != 1 || head[http::field::sec_websocket_version] != "13")
    return {426, "not version 13"};
  if (head.count(http::field::sec_websocket_key) != 1 || !isKey(toView(head[http::field::sec_websocket_key])))
    return {400, "not one key of sixteen bytes"};
  if (head.count(http::field::sec_websocket_accept) > 0) return {400, "an answer's header in a request"};
  const auto offered = tokens(joined(head, http::field::sec_websocket_protocol));
  if (head.count(http::field::sec_websocket_protocol) > 0 && offered.empty()) return {400, "no subprotocol"};
  if (offered.size() > kMaxListItems) return {400, "too many subprotocols"};
  for (std::size_t i = 0; i < offered.size(); ++i)
    if (std::find(offered.begin(), offered.begin() + static_cast<std::ptrdiff_t>(i), offered[i]) !=
        offered.begin() + static_cast<std::ptrdiff_t>(i))
      return {400, "a subprotocol twice"};
  if (!rules.origins.empty()) {
    if (head.count(http::field::origin) != 1) return {403, "not one Origin"};
    if (!isAllowed(rules.origins, std::string(toView(head[http::field::origin]))))
      return {403, "an Origin that may not ask"};
  }
  return {};
}

std::vector<HeaderLine> headersForHost(const RequestHead& head, const HandshakeRules& rules) {
  std::vector<HeaderLine> out{
      {"Connection", "Upgrade"},
      {"Upgrade", "websocket"},
      {"Sec-WebSocket-Version", "13"},
      {"Sec-WebSocket-Key", std::string(toView(head[http::field::sec_websocket_key]))}};
  if (std::string p = protocolsFor(head, rules); !p.empty())
    out.push_back({"Sec-WebSocket-Protocol", std::move(p)});
  if (std::string e = extensionsFor(head, rules); !e.empty())
    out.push_back({"Sec-WebSocket-Extensions", std::move(e)});
  if (const auto origin = head[http::field::origin]; !origin.empty())
    out.push_back({"Origin", std::string(toView(origin))});
  if (const auto cookie = head[http::field::cookie]; !cookie.empty())
    out.push_back({"Cookie", std::string(toView(cookie))});
  return out;
}

AcceptVerdict checkAccept(const RequestHead& request, const Fields& answer, const HandshakeRules& rules) {
  if (!hasToken(answer, http::field::upgrade, "websocket")) return bad("Upgrade does not name websocket");
  if (!hasToken(answer, http::field::connection, "upgrade")) return bad("Connection does not name Upgrade");
  const std::string accept = acceptOf(toView(request[http::field::sec_websocket_key]));
  if (answer.count(http::field::sec_websocket_accept) != 1 ||
      toView(answer[http::field::sec_websocket_accept]) != accept)
    return bad("Sec-WebSocket-Accept does not match the key");
  AcceptVerdict v;
  v.toClient = {{"Connection", "Upgrade"}, {"Upgrade", "websocket"}, {"Sec-WebSocket-Accept", accept}};
  const auto chosen = tokens(joined(answer, http::field::sec_websocket_protocol));
  if (chosen.size() > 1) return bad("response names more than one subprotocol");
  if (answer.count(http::field::sec_websocket_protocol) > 0) {
    const auto offered = tokens(protocolsFor(request, rules));
    if (chosen.empty() || std::find(offered.begin(), offered.end(), chosen[0]) == offered.end())
      return bad("response names a subprotocol that was not offered");
    v.toClient.push_back({"Sec-WebSocket-Protocol", chosen[0]});
  }
  const std::string agreedExtensions = joined(answer, http::field::sec_websocket_extensions);
  for (const Extension& e : extensions(agreedExtensions)) {
    if (!beast::iequals(e.name, kDeflate) || v.deflate || extensionsFor(request, rules).empty())
      return bad("response names an extension that was not offered, or names it twice");
    v.deflate = true;
  }
  if (v.deflate) v.toClient.push_back({"Sec-WebSocket-Extensions", agreedExtensions});
  v.good = true;
  return v;
}

}  // namespace finchstile::websocket
