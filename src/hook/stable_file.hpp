// Reads a file that somebody may replace or write meanwhile.
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

// Returns the content that the file had at one moment. A file that is written in place while it is read would
// be a mixture of two versions, so it is read again, a few times, if its size or time of modification
// changes. Takes some 50 ms for a file that was just written. Throws FileError, whose text does not name the
// path.
std::string readStableFile(const std::string& path, std::size_t maxBytes);

}  // namespace finchstile::hook
