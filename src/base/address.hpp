// Parsing of "10.0.0.4:8443": IP address and port of settings.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace finchstile {

// Empty if invalid. Host names are not resolved.
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

// Listen address in the notation of operator settings: IPv6 in brackets, as in "[::1]:9000"; port 0 is
// rejected.
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
