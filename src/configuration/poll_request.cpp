#include "configuration/poll_request.hpp"

#include <charconv>
#include <map>

#include "base/percent.hpp"

namespace finchstile::configuration {
namespace {

constexpr std::size_t kMaxReasonBytes = 200;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

using QueryParameters = std::map<std::string, std::string, std::less<>>;

// Percent-encodes a value, and also the characters that separate parameters in a query.
std::string encodeQueryValue(const std::string& text) {
  std::string encoded;
  for (const char c : percentEncoded(text)) {
    if (c == '&') encoded += "%26";
    else if (c == '=') encoded += "%3d";
    else if (c == '+') encoded += "%2b";
    else if (c == '#') encoded += "%23";
    else encoded += c;
  }
  return encoded;
}

std::optional<QueryParameters> parseQuery(std::string_view query) {
  QueryParameters parameters;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const auto value = percentDecoded(pair.substr(equals + 1));
    if (!value) return std::nullopt;
    parameters.emplace(pair.substr(0, equals), *value);
  }
  return parameters;
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::uint64_t> findNumber(const QueryParameters& parameters, std::string_view name,
                                        int base = kDecimal) {
  const auto at = parameters.find(name);
  return at == parameters.end() ? std::nullopt : parseNumber(at->second, base);
}

// "EPOCH.REVISION.HASH"
std::optional<RejectedVersion> parseRejectedVersion(std::string_view text) {
  const std::size_t first = text.find('.');
  const std::size_t last = text.rfind('.');
  if (first == last) return std::nullopt;
  const auto epoch = parseNumber(text.substr(0, first), kDecimal);
  const auto revision = parseNumber(text.substr(first + 1, last - first - 1), kDecimal);
  const auto hash = parseNumber(text.substr(last + 1), kHexadecimal);
  if (!epoch || !revision || !hash) return std::nullopt;
  return RejectedVersion{{*epoch, *revision}, *hash, {}};
}

}  // namespace

std::string formatPollTarget(const PollRequest& request) {
  const VersionState& state = request.state;
  const auto maxWaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(request.maxWait).count();
  std::string target(kPollPath);
  target += "?gateway=" + encodeQueryValue(request.gatewayName);
  target += "&epoch=" + std::to_string(state.version.epoch);
  target += "&hash=" + formatHash(state.hash);
  target += "&timeout_ms=" + std::to_string(maxWaitMs);
  target += (state.needsSnapshot ? "&in_force=" : "&since=") + std::to_string(state.version.revision);
  if (state.rejected) {
    target += "&refused=" + describe(state.rejected->version) + "." + formatHash(state.rejected->hash);
    target += "&reason=" + encodeQueryValue(state.rejected->reason.substr(0, kMaxReasonBytes));
  }
  return target;
}

std::optional<PollRequest> parsePollTarget(std::string_view target) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos || target.substr(0, question) != kPollPath) return std::nullopt;
  const auto parameters = parseQuery(target.substr(question + 1));
  if (!parameters) return std::nullopt;
  const auto gateway = parameters->find("gateway");
  const auto epoch = findNumber(*parameters, "epoch");
  const auto hash = findNumber(*parameters, "hash", kHexadecimal);
  const auto maxWaitMs = findNumber(*parameters, "timeout_ms");
  const auto since = findNumber(*parameters, "since");
  const auto inForce = findNumber(*parameters, "in_force");
  if (!epoch || !maxWaitMs || !hash || gateway == parameters->end()) return std::nullopt;
  if (since.has_value() == inForce.has_value()) return std::nullopt;

  PollRequest request;
  request.gatewayName = gateway->second;
  request.maxWait = std::chrono::milliseconds(*maxWaitMs);
  request.state = {{*epoch, since ? *since : *inForce}, *hash, !since, std::nullopt};
  if (const auto refused = parameters->find("refused"); refused != parameters->end()) {
    request.state.rejected = parseRejectedVersion(refused->second);
    if (!request.state.rejected) return std::nullopt;
    if (const auto reason = parameters->find("reason"); reason != parameters->end())
      request.state.rejected->reason = reason->second;
  }
  return request;
}

}  // namespace finchstile::configuration
