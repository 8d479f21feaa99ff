#include "ops/state_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "base/descriptor.hpp"

namespace finchstile::ops {

std::optional<StateFile::Stamp> StateFile::look() const {
  struct stat s {};
  if (::stat(path_.c_str(), &s) != 0) return std::nullopt;
  return Stamp{s.st_ino, s.st_size, s.st_mtim.tv_sec, s.st_mtim.tv_nsec};
}

bool StateFile::write(const std::string& text) {
  // Two processes may write at once while one takes over from the other: each has a file of its own.
  const std::string beside = path_ + "." + std::to_string(::getpid());
  {
    const Descriptor file(::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0) return false;
    for (std::size_t done = 0; done < text.size();) {
      const ssize_t n = ::write(file.get(), text.data() + done, text.size() - done);
      if (n <= 0) {
        ::unlink(beside.c_str());
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
  }
  if (::rename(beside.c_str(), path_.c_str()) != 0) {
    ::unlink(beside.c_str());
    return false;
  }
  seen_ = look();
  return true;
}

std::optional<std::string> StateFile::readIfChanged() {
  const auto now = look();
  if (!now || now == seen_) return std::nullopt;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text{std::istreambuf_iterator<char>(file), {}};
  seen_ = now;  // a change after the look shows at the next one
  return text;
}

}  // namespace finchstile::ops
