// Types shared by the lexer, parser and compiler of hooks: positions, problems, types, limits of a source.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::hook {

enum class Type : std::uint8_t { integer, boolean, text, duration };
inline constexpr std::uint8_t kTypes = 4;
std::string_view nameOf(Type type);  // in messages

struct Position {
  std::uint32_t line = 0;    // from 1
  std::uint32_t column = 0;  // from 1, in bytes
};

// An error in a source or a table.
struct Problem {
  Position at;
  std::string message;
};

// "FILE:LINE:COLUMN: MESSAGE"
std::string describe(const std::string& file, const Problem& problem);

// Limits that bound the memory, stack and time of compiling any source.
inline constexpr std::size_t kMaxSourceBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxLiteralBytes = 4096;  // of one text
inline constexpr std::size_t kMaxDepth = 100;          // of nested blocks and expressions
inline constexpr std::size_t kMaxProblems = 20;        // reported for one source; further ones are omitted

}  // namespace finchstile::hook
