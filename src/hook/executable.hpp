// A verified program with its tables and compiled patterns.
#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "hook/program.hpp"
#include "hook/table.hpp"

namespace re2 {
class RE2;
}

namespace finchstile::hook {

// Limit of the memory of one pattern, including its automata.
inline constexpr std::size_t kMaxPatternMemoryBytes = std::size_t{256} * 1024;

// Immutable. Only linkProgram() creates one, so every executable has passed the verifier.
class Executable {
 public:
  ~Executable();
  Executable(const Executable&) = delete;
  Executable& operator=(const Executable&) = delete;

  const Program& program() const { return program_; }
  bool handles(Handler handler) const {
    return program_.handlers[static_cast<std::size_t>(handler)].has_value();
  }

  // For the interpreter. Indexes are operands of verified instructions.
  bool setContains(std::size_t set, std::string_view text) const { return sets_[set].contains(text); }
  const Table& table(std::size_t index) const { return *tables_[index]; }
  bool patternMatches(std::size_t pattern, std::string_view text) const;

 private:
  using Tables = std::vector<std::shared_ptr<const Table>>;
  friend std::shared_ptr<const Executable> linkProgram(Program program, Tables tables);
  Executable();

  Program program_;
  std::vector<Table> sets_;
  std::vector<std::unique_ptr<re2::RE2>> patterns_;
  Tables tables_;
};

enum class LinkErrorCode {
  programNotVerified,
  tableMissing,
  patternInvalid  // not in RE2 syntax, or larger than kMaxPatternMemoryBytes
};

class LinkError : public std::runtime_error {
 public:
  LinkError(LinkErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}
  LinkErrorCode code() const { return code_; }

 private:
  LinkErrorCode code_;
};

// Verifies the program, compiles its patterns and binds its tables, which are in the order of
// Program::tables. Throws LinkError.
std::shared_ptr<const Executable> linkProgram(Program program,
                                              std::vector<std::shared_ptr<const Table>> tables);

}  // namespace finchstile::hook
