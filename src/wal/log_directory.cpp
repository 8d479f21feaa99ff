#include "wal/log_directory.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/descriptor.hpp"

namespace finchstile::wal {
namespace {

constexpr mode_t kDirectoryMode = 0700;
constexpr mode_t kFileMode = 0600;

class DiskFile : public LogFile {
 public:
  explicit DiskFile(int fd) : fd_(fd) {}

  bool append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(fd_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }

  bool sync() override { return ::fdatasync(fd_.get()) == 0; }

 private:
  Descriptor fd_;
};

// Reads up to `size` bytes. Returns fewer if the file is shorter, and nothing on a read error.
std::optional<std::string> readBytes(const Descriptor& file, std::size_t size) {
  std::string bytes(size, '\0');
  std::size_t bytesRead = 0;
  while (bytesRead < size) {
    const ssize_t count = ::read(file.get(), bytes.data() + bytesRead, size - bytesRead);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return std::nullopt;
    if (count == 0) break;
    bytesRead += static_cast<std::size_t>(count);
  }
  bytes.resize(bytesRead);
  return bytes;
}

class DiskDirectory : public LogDirectory {
 public:
  DiskDirectory(std::string path, int fd) : path_(std::move(path)), fd_(fd) {}

  std::unique_ptr<LogFile> create(const std::string& name) override {
    constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
    const int fd = ::openat(fd_.get(), name.c_str(), kFlags, kFileMode);
    return fd < 0 ? nullptr : std::make_unique<DiskFile>(fd);
  }

  std::optional<std::string> read(const std::string& name) override {
    const Descriptor file(::openat(fd_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat status {};
    if (file.get() < 0 || ::fstat(file.get(), &status) != 0) return std::nullopt;
    return readBytes(file, static_cast<std::size_t>(status.st_size));
  }

  bool sync(const std::string& name) override {
    const Descriptor file(::openat(fd_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    return file.get() >= 0 && ::fdatasync(file.get()) == 0;
  }

  std::vector<std::string> list() override {
    struct CloseDirectory {
      void operator()(DIR* directory) const { ::closedir(directory); }
    };
    std::vector<std::string> names;
    const std::unique_ptr<DIR, CloseDirectory> directory(::opendir(path_.c_str()));
    if (!directory) return names;
    while (const dirent* entry = ::readdir(directory.get()))
      if (entry->d_name[0] != '.') names.emplace_back(entry->d_name);
    return names;
  }

  bool rename(const std::string& from, const std::string& to) override {
    return ::renameat(fd_.get(), from.c_str(), fd_.get(), to.c_str()) == 0;
  }

  bool remove(const std::string& name) override { return ::unlinkat(fd_.get(), name.c_str(), 0) == 0; }

  bool syncDirectory() override { return ::fsync(fd_.get()) == 0; }

 private:
  std::string path_;
  Descriptor fd_;
};

}  // namespace

std::unique_ptr<LogDirectory> openLogDirectory(const std::string& path) {
  using Code = LogDirectoryError::Code;
  const auto fail = [&path](Code code, const char* cause) {
    throw LogDirectoryError(code, path + ": " + cause);
  };
  if (::mkdir(path.c_str(), kDirectoryMode) != 0 && errno != EEXIST)
    fail(Code::cannotCreate, std::strerror(errno));
  Descriptor fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd.get() < 0) fail(Code::cannotOpen, std::strerror(errno));
  // Two processes that write the same segments would destroy the records of both. The operating system
  // releases the lock with the descriptor, however the process ends.
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK) fail(Code::inUse, "another process uses it");
    fail(Code::cannotLock, std::strerror(errno));
  }
  return std::make_unique<DiskDirectory>(path, fd.release());
}

}  // namespace finchstile::wal
