#include "configuration/poll.hpp"

#include <charconv>
#include <map>

#include "base/percent.hpp"

namespace finchstile::configuration {
namespace {

constexpr std::size_t kReasonLongest = 200;  // bytes

// In a query "&", "=" and "+" have a meaning of their own.
std::string encoded(const std::string& text) {
  std::string out;
  for (const char c : percentEncoded(text)) {
    if (c == '&') out += "%26";
    else if (c == '=') out += "%3d";
    else if (c == '+') out += "%2b";
    else if (c == '#') out += "%23";
    else out += c;
  }
  return out;
}

std::optional<std::uint64_t> number(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

using Parameters = std::map<std::string, std::string, std::less<>>;

std::optional<Parameters> parameters(std::string_view query) {
  Parameters all;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const auto value = percentDecoded(pair.substr(equals + 1));
    if (!value) return std::nullopt;
    all.emplace(pair.substr(0, equals), *value);
  }
  return all;
}

std::optional<std::uint64_t> numberOf(const Parameters& all, std::string_view name, int base = 10) {
  const auto at = all.find(name);
  return at == all.end() ? std::nullopt : number(at->second, base);
}

// "EPOCH.REVISION.HASH"
std::optional<Position::TurnedDown> readTurnedDown(std::string_view text) {
  const std::size_t first = text.find('.'), last = text.rfind('.');
  if (first == last) return std::nullopt;
  const auto epoch = number(text.substr(0, first), 10);
  const auto revision = number(text.substr(first + 1, last - first - 1), 10);
  const auto hash = number(text.substr(last + 1), 16);
  if (!epoch || !revision || !hash) return std::nullopt;
  return Position::TurnedDown{{*epoch, *revision}, *hash, {}};
}

}  // namespace

std::string pollTarget(const Poll& poll) {
  const Position& at = poll.position;
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(poll.wait).count();
  std::string target = std::string(kPollPath) + "?gateway=" + encoded(poll.gateway) +
                       "&epoch=" + std::to_string(at.version.epoch) + "&hash=" + hashText(at.hash) +
                       "&timeout_ms=" + std::to_string(wait);
  target += (at.wantsWhole ? "&in_force=" : "&since=") + std::to_string(at.version.revision);
  if (at.turnedDown) {
    const Position::TurnedDown& down = *at.turnedDown;
    target += "&refused=" + describe(down.version) + "." + hashText(down.hash) +
              "&reason=" + encoded(down.reason.substr(0, kReasonLongest));
  }
  return target;
}

std::optional<Poll> parsePollTarget(std::string_view target) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos || target.substr(0, question) != kPollPath) return std::nullopt;
  const auto all = parameters(target.substr(question + 1));
  if (!all) return std::nullopt;
  const auto epoch = numberOf(*all, "epoch"), wait = numberOf(*all, "timeout_ms");
  const auto hash = numberOf(*all, "hash", 16);
  const auto since = numberOf(*all, "since"), inForce = numberOf(*all, "in_force");
  const auto gateway = all->find("gateway");
  if (!epoch || !wait || !hash || gateway == all->end() || since.has_value() == inForce.has_value())
    return std::nullopt;
  Poll poll;
  poll.gateway = gateway->second;
  poll.wait = std::chrono::milliseconds(*wait);
  poll.position = {{*epoch, since ? *since : *inForce}, *hash, !since, std::nullopt};
  if (const auto refused = all->find("refused"); refused != all->end()) {
    poll.position.turnedDown = readTurnedDown(refused->second);
    if (!poll.position.turnedDown) return std::nullopt;
    if (const auto reason = all->find("reason"); reason != all->end())
      poll.position.turnedDown->reason = reason->second;
  }
  return poll;
}

}  // namespace finchstile::configuration
