// An error in an update, as reported to the control machine and to the operator. No I/O.
#pragma once

#include <string>
#include <vector>

namespace finchstile::configuration {

// Identifies the invalid part of an update and describes what is expected.
struct ValidationError {
  std::string key;      // of the document, "entry N" for an entry without a valid key, or "hash"
  std::string field;    // empty: the entry as a whole
  std::string message;  // continues "KEY.FIELD: "
};

// One line: "KEY.FIELD: MESSAGE".
std::string describe(const ValidationError& error);
// One line with the first few errors and the number of further ones.
std::string describe(const std::vector<ValidationError>& errors);

}  // namespace finchstile::configuration
