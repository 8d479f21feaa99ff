// The file that stores the last accepted version. It is replaced atomically, so after a crash it contains the
// old or the new version.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace finchstile::configuration {

// The message is one line with the path and, for system calls, the system's error.
class SnapshotFileError : public std::runtime_error {
 public:
  enum class Operation { create, write, sync, replace, read, checkSize };
  SnapshotFileError(Operation operation, const std::string& message)
      : std::runtime_error(message), operation_(operation) {}
  Operation operation() const { return operation_; }

 private:
  Operation operation_;
};

// Replaces the content of the file. Throws SnapshotFileError, in which case the content is unchanged.
void replaceFile(const std::string& path, const std::string& text);

// Returns nothing if the file does not exist. Throws SnapshotFileError if the file cannot be read or is
// larger than any update.
std::optional<std::string> readFileIfExists(const std::string& path);

}  // namespace finchstile::configuration
