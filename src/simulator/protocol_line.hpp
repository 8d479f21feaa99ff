// Parsing of one line of the simulator's protocol: an event name, then space-separated fields "name=value".
// Values are converted to the types of the decision module.
#pragma once

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// Thrown for a malformed line. `what()` describes the error.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One field of a line. The views are valid as long as the line's text.
struct Field {
  std::string_view name, value;

  // Throws ProtocolError unless the whole value is a number of this type.
  template <class Number>
  Number number() const {
    Number result{};
    const char* const end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, result);
    if (error != std::errc{} || parsed != end)
      throw ProtocolError("'" + std::string(value) + "' is not a number (" + std::string(name) + ")");
    return result;
  }
  Duration nanoseconds() const { return Duration(number<std::int64_t>()); }
  // Accepts "1", "true", "0" and "false"; throws ProtocolError on other values.
  bool boolean() const;
};

// Removes the text up to the next space from the front of `rest` and returns it; empty between two adjacent
// spaces.
std::string_view nextToken(std::string_view& rest);

// Removes the next field from the front of `rest`. Returns false at the end of the line. Throws ProtocolError
// on a token without "=".
bool nextField(std::string_view& rest, Field& field);

// The outcome for a number of the protocol; throws ProtocolError if it is unknown.
Outcome outcomeOf(int code);

// Conversion between bytes and hexadecimal digits. `appendHex` writes "-" for no bytes. `bytesFromHex` throws
// ProtocolError on an odd number of digits or on other characters.
std::string bytesFromHex(std::string_view digits);
void appendHex(std::string& out, std::string_view bytes);

void appendNumber(std::string& out, std::int64_t number);

}  // namespace finchstile::load_balancing::simulator
