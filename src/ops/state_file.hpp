// A small file shared by the processes of a gateway. It is replaced atomically, and read when it has changed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace finchstile::ops {

class StateFile {
 public:
  explicit StateFile(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }

  // Replaces the content, by renaming a temporary file in the same directory. On failure returns false and
  // keeps the old content.
  bool write(const std::string& text);

  // Returns the content if another process has replaced the file since the last call; the first call returns
  // any existing content. Returns nothing if the file has not changed or cannot be read.
  std::optional<std::string> readIfChanged();

 private:
  // Identifies a version of the file. It differs after each replacement, because the new file has another
  // inode.
  struct Version {
    std::uint64_t inode = 0;
    std::int64_t bytes = 0;
    std::int64_t modifiedSeconds = 0, modifiedNanoseconds = 0;
    bool operator==(const Version& other) const = default;
  };
  std::optional<Version> currentVersion() const;

  std::string path_;
  std::optional<Version> knownVersion_;
};

}  // namespace finchstile::ops
