// A small file that the processes of one gateway share. It is replaced as a whole, and read when it has
// changed.
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

  // Writes a temporary file beside it and renames that. Returns false if the old content stays.
  bool write(const std::string& text);

  // What another process has written since the last call. The first call returns whatever is there. Nothing
  // if the file has not changed, or cannot be read.
  std::optional<std::string> readIfChanged();

 private:
  // Differs for each version of the file: a rename brings another inode.
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
