// The file that keeps the last accepted version. It is replaced as a whole, so a crash leaves the old or the
// new version.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace finchstile::configuration {

// The message is one line with the path and the system's reason.
class SnapshotFileError : public std::runtime_error {
 public:
  enum class Operation { create, write, sync, replace, read, checkSize };
  SnapshotFileError(Operation operation, const std::string& message)
      : std::runtime_error(message), operation_(operation) {}
  Operation operation() const { return operation_; }

 private:
  Operation operation_;
};

// Throws SnapshotFileError; the file is then as it was before.
void replaceFile(const std::string& path, const std::string& text);

// Empty: there is no such file. Throws SnapshotFileError if the file can not be read or is longer than any
// update.
std::optional<std::string> readFileIfExists(const std::string& path);

}  // namespace finchstile::configuration
