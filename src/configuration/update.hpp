// What a control machine answers, from JSON: in the form of discovery's lists, with an epoch and a hash. No
// I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/document.hpp"

namespace finchstile::configuration {

// Versions rise in this order. An epoch is of one writer: a later one fences off those before it.
struct Version {
  std::uint64_t epoch = 0, revision = 0;
  auto operator<=>(const Version&) const = default;
};
std::string describe(const Version& version);  // "EPOCH.REVISION"

struct Update {
  Version version;
  std::uint64_t hash = 0;  // of the set that it leads to
  bool whole = false;      // the entries are the set; else what has changed in it
  std::vector<Change> changes;
  std::vector<Problem> problems;  // entries that make no sense, all of them
};

// Throws std::runtime_error with one line if the text as a whole is no update; what is wrong with single
// entries stands in `problems`.
Update parseUpdate(std::string_view text);

// The entry of a change, and the update as a whole, as text. `entries` are such entries.
std::string entryText(const Change& change);
std::string updateText(const Version& version, std::uint64_t hash, bool whole,
                       const std::vector<std::string>& entries);

std::string hashText(std::uint64_t hash);  // 16 hexadecimal digits

}  // namespace finchstile::configuration
