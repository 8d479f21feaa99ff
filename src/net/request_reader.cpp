#include "net/request_reader.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

#include "net/string_view.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using load_balancing::Idempotency;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kMaxExpectedWork = std::chrono::hours(24);

template <class Number>
bool parse(std::string_view text, Number& out, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

std::string_view classNameOf(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Returns the value of a cookie in a Cookie header; empty if the cookie is missing.
std::string_view cookieValue(std::string_view header, std::string_view name) {
  while (!header.empty()) {
    const std::size_t end = std::min(header.find(';'), header.size());
    std::string_view cookie = header.substr(0, end);
    header.remove_prefix(std::min(end + 1, header.size()));
    cookie.remove_prefix(std::min(cookie.find_first_not_of(' '), cookie.size()));
    if (cookie.substr(0, name.size()) == name && cookie.substr(name.size(), 1) == "=")
      return cookie.substr(name.size() + 1);
  }
  return {};
}

// Returns the affinity key of a session, which must be the same at all gateways: the session id itself if it
// is a hexadecimal number of at most 16 digits, otherwise its FNV-1a hash.
std::uint64_t affinityKeyOf(std::string_view sessionId) {
  constexpr std::size_t kMaxHexDigits = 16;
  constexpr int kHexBase = 16;
  constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
  std::uint64_t key = 0;
  if (sessionId.size() <= kMaxHexDigits && parse(sessionId, key, kHexBase)) return key;
  key = kFnvOffsetBasis;
  for (const unsigned char c : sessionId) key = (key ^ c) * kFnvPrime;
  return key;
}

// Returns the value of a header that occurs exactly once. Returns an empty view if it is missing or repeated:
// recipients of a repeated header might use different values.
std::string_view singleValue(const ClientRequest& message, const char* name) {
  const auto range = message.equal_range(name);
  if (range.first == range.second || std::next(range.first) != range.second) return {};
  return view(range.first->value());
}

}  // namespace

RequestReader::RequestReader(const load_balancing::Settings& settings) : tenants_(settings.tenants) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const auto& c = settings.classes[i];
    classes_.emplace(c.name, RequestClass{static_cast<std::uint32_t>(i), c.idempotency, c.clientTimeout});
  }
}

http::status RequestReader::checkForm(const ClientRequest& message, const RequestClass& requestClass) {
  const bool idempotent = requestClass.idempotency == Idempotency::idempotent;
  if (message.method() != (idempotent ? http::verb::get : http::verb::post))
    return http::status::method_not_allowed;
  if (idempotent && !message.body().empty()) return http::status::bad_request;
  const bool hasKey = message.find("Idempotency-Key") != message.end();
  if (hasKey != (requestClass.idempotency == Idempotency::idempotentWithKey))
    return http::status::bad_request;
  if (hasKey && singleValue(message, "Idempotency-Key").empty()) return http::status::bad_request;
  return http::status::ok;
}

http::status RequestReader::read(const ClientRequest& message, load_balancing::Request& out) const {
  if (singleValue(message, "X-Correlation-Id").empty()) return http::status::bad_request;
  std::int64_t timeLeftMs = 0;
  if (!parse(singleValue(message, "X-Time-Left-Ms"), timeLeftMs) || timeLeftMs <= 0)
    return http::status::bad_request;
  const auto found = classes_.find(std::string(classNameOf(view(message.target()))));
  if (found == classes_.end()) return http::status::not_found;
  const RequestClass& requestClass = found->second;
  if (const http::status status = checkForm(message, requestClass); status != http::status::ok) return status;

  out.classIndex = requestClass.index;
  // No client waits longer than its class allows. Larger values would only make time arithmetic overflow.
  const auto maxTimeLeft = std::chrono::ceil<milliseconds>(requestClass.clientTimeout);
  out.timeLeft = milliseconds(std::min<std::int64_t>(timeLeftMs, maxTimeLeft.count()));
  out.tenantIndex = tenants_.find(view(message["X-Account"]));
  std::int64_t workUs = 0;
  if (parse(view(message["X-Weight-Hint"]), workUs) && workUs > 0)
    out.expectedWork = std::min(microseconds(workUs), kMaxExpectedWork);
  const std::string_view sessionId = cookieValue(view(message[http::field::cookie]), "sid");
  out.hasAffinityKey = !sessionId.empty();
  if (out.hasAffinityKey) out.affinityKey = affinityKeyOf(sessionId);
  return http::status::ok;
}

}  // namespace finchstile
