// Parses and serializes the updates that a control machine sends: JSON in the format of discovery's endpoint
// lists, with an epoch and a hash. No I/O.
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

// Limit for the text of one update; enough for 131,072 tenants with long names.
inline constexpr std::size_t kMaxUpdateBytes = std::size_t{32} * 1024 * 1024;

struct Update {
  Version version;
  std::uint64_t hash = 0;   // of the configuration after the update
  bool isSnapshot = false;  // the entries are the complete configuration, not changes to the active one
  std::vector<DocumentChange> changes;
  std::vector<ValidationError> errors;  // of all invalid entries; `changes` omits these
};

// The text as a whole is not a valid update.
class UpdateParseError : public std::runtime_error {
 public:
  enum class Code {
    invalidJson,    // not JSON, or a field is missing or has the wrong type
    invalidHash,    // the hash is not 16 hexadecimal digits
    invalidEntries  // the entries are not an array
  };
  UpdateParseError(Code code, const std::string& message) : std::runtime_error(message), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

// Throws UpdateParseError with a message of one line. Errors in single entries are collected in
// `Update::errors` instead.
Update parseUpdate(std::string_view text);

// Return the JSON text of one entry, and of an update with such entries.
std::string serializeEntry(const DocumentChange& change);
std::string serializeUpdate(const Version& version, std::uint64_t hash, bool isSnapshot,
                            const std::vector<std::string>& entries);

}  // namespace finchstile::configuration
