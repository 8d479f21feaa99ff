#include "ops/state_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "base/descriptor.hpp"

namespace finchstile::ops {
namespace {

constexpr mode_t kFileMode = 0600;

bool writeFile(const std::string& path, const std::string& text) {
  const Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (file.get() < 0) return false;
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t written = ::write(file.get(), text.data() + done, text.size() - done);
    if (written <= 0) return false;
    done += static_cast<std::size_t>(written);
  }
  return true;
}

}  // namespace

std::optional<StateFile::Version> StateFile::currentVersion() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return std::nullopt;
  return Version{status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

bool StateFile::write(const std::string& text) {
  // During a handover two processes may write at the same time, so each uses its own temporary file.
  const std::string temporaryPath = path_ + "." + std::to_string(::getpid());
  if (!writeFile(temporaryPath, text) || ::rename(temporaryPath.c_str(), path_.c_str()) != 0) {
    ::unlink(temporaryPath.c_str());
    return false;
  }
  knownVersion_ = currentVersion();
  return true;
}

std::optional<std::string> StateFile::readIfChanged() {
  const auto version = currentVersion();
  if (!version || version == knownVersion_) return std::nullopt;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text{std::istreambuf_iterator<char>(file), {}};
  // If the file was replaced after currentVersion(), the next call reads it again.
  knownVersion_ = version;
  return text;
}

}  // namespace finchstile::ops
