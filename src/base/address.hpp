// "10.0.0.4:8443": an address and a port, as settings have them.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace finchstile {

// Nothing if it is none. No names: nothing is looked up.
inline std::optional<std::pair<boost::asio::ip::address, std::uint16_t>> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), bad);
  if (bad || digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
    return std::nullopt;
  return std::pair(address, port);
}

// The same as operators write it: an IPv6 address in brackets, "[::1]:9000", and no port 0.
inline std::optional<std::pair<boost::asio::ip::address, std::uint16_t>> parseListenAddress(
    std::string_view text) {
  const std::size_t close = text.rfind("]:");
  const bool bracketed = !text.empty() && text.front() == '[' && close != std::string_view::npos;
  auto at =
      parseAddress(bracketed ? std::string(text.substr(1, close - 1)) + std::string(text.substr(close + 1))
                             : std::string(text));
  if (!at || at->second == 0 || at->first.is_v6() != bracketed) return std::nullopt;
  return at;
}

}  // namespace finchstile
