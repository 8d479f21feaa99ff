// Reads a file that another process may replace or write concurrently.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace finchstile::hook {

enum class FileErrorCode { cannotRead, notRegularFile, tooLarge, changing };

class FileError : public std::runtime_error {
 public:
  FileError(FileErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}
  FileErrorCode code() const { return code_; }

 private:
  FileErrorCode code_;
};

// Returns a consistent snapshot of the file. A file that is written in place while it is read could yield a
// mixture of two versions, so the read is retried a few times if the size or modification time changes. Takes
// about 50 ms for a file that was just written. Throws FileError, whose text does not contain the path.
std::string readStableFile(const std::string& path, std::size_t maxBytes);

}  // namespace finchstile::hook
