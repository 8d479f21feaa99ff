// Splits a hook's source into tokens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hook/source.hpp"

namespace finchstile::hook {

struct Token {
  enum class Kind : std::uint8_t { end, name, integer, duration, text, sign };
  Kind kind = Kind::end;
  Position at;
  std::string text;         // of a name, a sign ("==", "{") or a text, with its escapes resolved
  std::int64_t number = 0;  // of an integer; nanoseconds of a duration
};

// The last token is `end`. Bytes that form no token are skipped and reported in `problems`.
std::vector<Token> lex(std::string_view source, std::vector<Problem>& problems);

}  // namespace finchstile::hook
