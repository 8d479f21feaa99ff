// The updates that a control machine sends: JSON in the form of discovery's endpoint lists, with an epoch and
// a hash. No I/O.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/document.hpp"
#include "configuration/validation_error.hpp"
#include "configuration/version.hpp"

namespace finchstile::configuration {

// Of the text of one update: 131,072 tenants with long names fit.
inline constexpr std::size_t kMaxUpdateBytes = std::size_t{32} * 1024 * 1024;

struct Update {
  Version version;
  std::uint64_t hash = 0;   // of the set that the update leads to
  bool isSnapshot = false;  // the entries are the complete set; otherwise they are changes to the active one
  std::vector<DocumentChange> changes;
  std::vector<ValidationError> errors;  // of all faulty entries, which `changes` leaves out
};

// The text as a whole is no update.
class UpdateParseError : public std::runtime_error {
 public:
  enum class Code {
    invalidJson,    // no JSON, or a field that is missing or of another type
    invalidHash,    // the hash is not 16 hexadecimal digits
    invalidEntries  // the entries are no list
  };
  UpdateParseError(Code code, const std::string& message) : std::runtime_error(message), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

// Throws UpdateParseError with a message of one line. Faults of single entries are collected in `errors`
// instead.
Update parseUpdate(std::string_view text);

// The JSON of one entry, and of an update with such entries.
std::string serializeEntry(const DocumentChange& change);
std::string serializeUpdate(const Version& version, std::uint64_t hash, bool isSnapshot,
                            const std::vector<std::string>& entries);

}  // namespace finchstile::configuration
