// Reads one line of the simulator's protocol: a name, then fields "name=value" with spaces between. Values
// are converted to the types of the decision module here; nothing else of the adapter looks at their text.
#pragma once

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// A line that is not what the protocol allows. `what()` says what is wrong with it.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One field of a line. The views are valid as long as the line's text.
struct Field {
  std::string_view name, value;

  // Throws ProtocolError if the value is not a number of this type from its first to its last character.
  template <class Number>
  Number number() const {
    Number result{};
    const char* const end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, result);
    if (error != std::errc{} || parsed != end)
      throw ProtocolError("'" + std::string(value) + "' is no number (" + std::string(name) + ")");
    return result;
  }
  Duration nanoseconds() const { return Duration(number<std::int64_t>()); }
  // "1" and "true", "0" and "false"; throws ProtocolError on anything else.
  bool boolean() const;
};

// Takes the next part up to a space off the front of `rest`; it is empty between two spaces.
std::string_view nextPart(std::string_view& rest);

// Takes the next field off the front of `rest`. Returns false at the end of the line, and throws
// ProtocolError at a part without "=".
bool nextField(std::string_view& rest, Field& field);

// The outcome that a number stands for; throws ProtocolError if it stands for none.
Outcome outcomeOf(int code);

// Both ways between bytes and hexadecimal digits. No bytes are written as "-". `bytesFromHex` throws
// ProtocolError on an odd number of digits and on anything that is no digit.
std::string bytesFromHex(std::string_view digits);
void appendHex(std::string& out, std::string_view bytes);

void appendNumber(std::string& out, std::int64_t number);

}  // namespace finchstile::load_balancing::simulator
