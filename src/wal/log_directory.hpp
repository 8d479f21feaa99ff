// The file system operations that a log uses, as an interface, so that tests can make each of them fail.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::wal {

class LogFile {
 public:
  virtual ~LogFile() = default;

  // Returns false on failure. Any part of the bytes may be in the file then, and bytes appended later may
  // not be readable.
  virtual bool append(std::string_view bytes) = 0;

  // Returns true if everything that was appended now survives a crash of the machine.
  virtual bool sync() = 0;
};

// The files of one directory, by their names without a path. syncDirectory() and LogFile::sync() may run on
// another thread at the same time as the other calls.
class LogDirectory {
 public:
  virtual ~LogDirectory() = default;

  // Creates an empty file, replacing one of that name. Returns null on failure.
  virtual std::unique_ptr<LogFile> create(const std::string& name) = 0;

  // Returns the contents of a file, or nothing on failure.
  virtual std::optional<std::string> read(const std::string& name) = 0;

  // Like LogFile::sync(), for a file that any process has written.
  virtual bool sync(const std::string& name) = 0;

  // Returns the names of all files; none on failure.
  virtual std::vector<std::string> list() = 0;

  // Replaces the file `to` if there is one. Returns false on failure.
  virtual bool rename(const std::string& from, const std::string& to) = 0;

  // Returns false on failure.
  virtual bool remove(const std::string& name) = 0;

  // Returns true if all creations, renames and removals so far survive a crash of the machine.
  virtual bool syncDirectory() = 0;
};

// Thrown if a directory cannot be used. The text is the path and the cause.
class LogDirectoryError : public std::runtime_error {
 public:
  enum class Code { cannotCreate, cannotOpen, inUse, cannotLock };

  LogDirectoryError(Code code, const std::string& text) : std::runtime_error(text), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

// Opens a directory on disk and creates it if it is missing. It is locked against other processes and other
// objects of this one until the returned object is destroyed. Throws LogDirectoryError.
std::unique_ptr<LogDirectory> openLogDirectory(const std::string& path);

}  // namespace finchstile::wal
