// A small file that processes of one gateway share: written whole or not at all, read when it has changed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace finchstile::ops {

class StateFile {
 public:
  explicit StateFile(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  // By a temporary file beside it and a rename. False: the old content stands.
  bool write(const std::string& text);
  // What another process has written since the last look; the first look finds whatever is there.
  std::optional<std::string> readIfChanged();

 private:
  using Stamp =
      std::tuple<std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;  // inode, size, time of change
  std::optional<Stamp> look() const;

  std::string path_;
  std::optional<Stamp> seen_;
};

}  // namespace finchstile::ops
