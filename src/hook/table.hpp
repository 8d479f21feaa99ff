// An immutable map from text to text: a hash table with open addressing over one block of bytes. A lookup
// allocates no memory.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hook/source.hpp"

namespace finchstile::hook {

inline constexpr std::size_t kMaxTableBytes = std::size_t{32} * 1024 * 1024;
inline constexpr std::size_t kMaxTableEntries = 1'000'000;
inline constexpr std::size_t kMaxTableTextBytes = 1024;  // of a key, and of a value

class Table {
 public:
  Table() = default;

  // Reads a line per entry: `key`, or `key = value`. Blanks around both, empty lines and lines that begin
  // with `#` are ignored. If the first line is `#entries N`, there must be N entries, which detects a
  // truncated file. Duplicate keys are errors. On errors returns none and adds them to `problems`.
  static std::optional<Table> parse(std::string_view text, std::vector<Problem>& problems);
  // A table with empty values. Duplicate keys are stored once.
  static Table of(const std::vector<std::string>& keys);

  bool contains(std::string_view key) const { return find(key) != nullptr; }
  // The value of the key; empty if there is none.
  std::string_view lookUp(std::string_view key) const;
  std::size_t size() const { return entries_; }
  // Memory use of the entries.
  std::size_t bytes() const { return bytes_.capacity() + slots_.capacity() * sizeof(Slot); }

 private:
  class Parser;
  struct Slot {
    std::uint32_t at = 0;  // of the key in bytes_; the value follows it
    std::uint16_t keySize = 0;
    std::uint16_t valueSize = 0;
    std::uint32_t hash = 0;  // 0: the slot is free
  };
  static std::uint32_t hashOf(std::string_view key);
  const Slot* find(std::string_view key) const;
  void reserve(std::size_t entries);
  // Returns false if the key is already present.
  bool add(std::string_view key, std::string_view value);

  std::string bytes_;
  std::vector<Slot> slots_;  // a power of two of them, at most half in use; none without entries
  std::size_t entries_ = 0;
};

}  // namespace finchstile::hook
