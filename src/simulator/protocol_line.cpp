#include "simulator/protocol_line.hpp"

namespace finchstile::load_balancing::simulator {

bool Field::boolean() const {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throw ProtocolError("'" + std::string(value) + "' is not a boolean (" + std::string(name) + ")");
}

std::string_view nextToken(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view token = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return token;
}

bool nextField(std::string_view& rest, Field& field) {
  while (!rest.empty()) {
    const std::string_view token = nextToken(rest);
    if (token.empty()) continue;
    const std::size_t equals = token.find('=');
    if (equals == std::string_view::npos) throw ProtocolError("missing '=' in '" + std::string(token) + "'");
    field = {token.substr(0, equals), token.substr(equals + 1)};
    return true;
  }
  return false;
}

Outcome outcomeOf(int code) {
  switch (code) {
    case 10: return Outcome::served;
    case 20: return Outcome::error;
    case 30: return Outcome::rejectedForCapacity;
    case 40: return Outcome::timeout;
    case 50: return Outcome::connectFailed;
    case 60: return Outcome::reset;
    case 70: return Outcome::cancelled;
    case 80: return Outcome::notSent;
    default: throw ProtocolError("unknown disposition " + std::to_string(code));
  }
}

std::string bytesFromHex(std::string_view digits) {
  if (digits.size() % 2 != 0) throw ProtocolError("odd number of hex digits");
  std::string bytes;
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    unsigned value = 0;
    const char* const begin = digits.data() + i;
    const auto [end, error] = std::from_chars(begin, begin + 2, value, 16);
    if (error != std::errc{} || end != begin + 2) throw ProtocolError("invalid hex digits");
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

void appendHex(std::string& out, std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  if (bytes.empty()) out += '-';
  for (const unsigned char byte : bytes) {
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
}

void appendNumber(std::string& out, std::int64_t number) {
  char buffer[24];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, number).ptr;
  out.append(buffer, end);
}

}  // namespace finchstile::load_balancing::simulator
