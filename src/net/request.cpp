#include "net/request.hpp"

#include <algorithm>
#include <charconv>

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using load_balancing::Idempotency;
using std::chrono::milliseconds;

template <class Number>
bool parse(std::string_view text, Number& out, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

std::string_view classOfTarget(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

std::string_view cookie(std::string_view all, std::string_view name) {
  while (!all.empty()) {
    const std::size_t end = std::min(all.find(';'), all.size());
    std::string_view part = all.substr(0, end);
    all.remove_prefix(std::min(end + 1, all.size()));
    part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
    if (part.substr(0, name.size()) == name && part.substr(name.size(), 1) == "=")
      return part.substr(name.size() + 1);
  }
  return {};
}

std::uint64_t keyOf(std::string_view text) {  // the same at every gateway
  std::uint64_t key = 0;
  if (text.size() <= 16 && parse(text, key, 16)) return key;
  key = 0xcbf29ce484222325ULL;
  for (const unsigned char c : text) key = (key ^ c) * 0x100000001b3ULL;
  return key;
}

// The one value of a header; empty if it is missing or repeated: two readers might take different ones.
std::string_view only(const ClientRequest& message, const char* name) {
  const auto range = message.equal_range(name);
  if (range.first == range.second || std::next(range.first) != range.second) return {};
  return view(range.first->value());
}

}  // namespace

RequestReader::RequestReader(const load_balancing::Settings& settings) : tenants_(settings.tenants) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const auto& c = settings.classes[i];
    classOf_.emplace(c.name, Class{static_cast<std::uint32_t>(i), c.idempotency, c.clientTimeout});
  }
}

http::status RequestReader::read(const ClientRequest& message, load_balancing::Request& q) const {
  if (only(message, "X-Correlation-Id").empty()) return http::status::bad_request;
  std::int64_t left = 0;
  if (!parse(only(message, "X-Time-Left-Ms"), left) || left <= 0) return http::status::bad_request;
  const auto cls = classOf_.find(std::string(classOfTarget(view(message.target()))));
  if (cls == classOf_.end()) return http::status::not_found;
  const Class& c = cls->second;
  const bool safe = c.effect == Idempotency::idempotent;
  if (message.method() != (safe ? http::verb::get : http::verb::post))
    return http::status::method_not_allowed;
  if (safe && !message.body().empty()) return http::status::bad_request;
  const bool keyed = message.find("Idempotency-Key") != message.end();
  if (keyed != (c.effect == Idempotency::idempotentWithKey)) return http::status::bad_request;
  if (keyed && only(message, "Idempotency-Key").empty()) return http::status::bad_request;

  q.classIndex = c.index;
  // No client waits longer than its class allows; more would only make sums of times overflow.
  q.timeLeft = milliseconds(std::min<std::int64_t>(left, std::chrono::ceil<milliseconds>(c.giveUp).count()));
  q.tenantIndex = tenants_.find(view(message["X-Account"]));
  std::int64_t micros = 0;
  constexpr std::int64_t kCostMost = 24LL * 3600 * 1000 * 1000;
  if (parse(view(message["X-Weight-Hint"]), micros) && micros > 0)
    q.expectedWork = std::chrono::microseconds(std::min(micros, kCostMost));
  const std::string_view sid = cookie(view(message[http::field::cookie]), "sid");
  q.hasAffinityKey = !sid.empty();
  if (q.hasAffinityKey) q.affinityKey = keyOf(sid);
  return http::status::ok;
}

}  // namespace finchstile
