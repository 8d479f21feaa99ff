// Reads and writes an address and a port in the form of the settings, such as "10.0.0.4:8443".
#pragma once

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace finchstile {

// Parses an IP address and a port, separated by the last colon. Returns none if `text` has another form. Host
// names are not resolved.
inline std::optional<std::pair<boost::asio::ip::address, std::uint16_t>> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code addressError;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), addressError);
  if (addressError || digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
    return std::nullopt;
  return std::pair(address, port);
}

// The inverse of `parseAddress`, for endpoints of any protocol.
template <class Endpoint>
std::string addressText(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Parses a listen address as written by operators: an IPv6 address is in brackets, "[::1]:9000", and port 0
// is not permitted.
inline std::optional<std::pair<boost::asio::ip::address, std::uint16_t>> parseListenAddress(
    std::string_view text) {
  const std::size_t closingBracket = text.rfind("]:");
  const bool bracketed = !text.empty() && text.front() == '[' && closingBracket != std::string_view::npos;
  auto parsed = parseAddress(bracketed ? std::string(text.substr(1, closingBracket - 1)) +
                                             std::string(text.substr(closingBracket + 1))
                                       : std::string(text));
  if (!parsed || parsed->second == 0 || parsed->first.is_v6() != bracketed) return std::nullopt;
  return parsed;
}

}  // namespace finchstile
