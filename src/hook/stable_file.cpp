#include "hook/stable_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <optional>

#include "base/descriptor.hpp"

namespace finchstile::hook {
namespace {

constexpr int kMaxReads = 5;
constexpr useconds_t kRetryDelayUs = 20'000;
constexpr useconds_t kSettleTimeUs = 50'000;
constexpr double kSettleTimeSeconds = 0.05;

[[noreturn]] void throwSystemError() { throw FileError(FileErrorCode::cannotRead, std::strerror(errno)); }

// st_ctim is not compared: it changes when another file is renamed over this one, which does not change the
// content of the open file.
bool isUnchanged(const struct stat& before, const struct stat& after) {
  return before.st_size == after.st_size && before.st_mtim.tv_sec == after.st_mtim.tv_sec &&
         before.st_mtim.tv_nsec == after.st_mtim.tv_nsec;
}

double ageSeconds(const struct stat& file) {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec - file.st_mtim.tv_sec) +
         static_cast<double>(now.tv_nsec - file.st_mtim.tv_nsec) / 1e9;
}

// Fills `content`. Returns false if the file is shorter.
bool readInto(const Descriptor& file, std::string& content) {
  std::size_t size = 0;
  while (size < content.size()) {
    const ssize_t count = ::read(file.get(), content.data() + size, content.size() - size);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throwSystemError();
    if (count == 0) return false;
    size += static_cast<std::size_t>(count);
  }
  return true;
}

// Returns none if the file changed during the read.
std::optional<std::string> readOnce(const std::string& path, std::size_t maxBytes) {
  // Without O_NONBLOCK, opening a FIFO would block until a writer opens it.
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat before {};
  if (file.get() < 0 || ::fstat(file.get(), &before) != 0) throwSystemError();
  if (!S_ISREG(before.st_mode)) throw FileError(FileErrorCode::notRegularFile, "is no ordinary file");
  if (static_cast<std::uint64_t>(before.st_size) > maxBytes)
    throw FileError(FileErrorCode::tooLarge, "has more than " + std::to_string(maxBytes) + " bytes");
  std::string content(static_cast<std::size_t>(before.st_size), '\0');
  if (!readInto(file, content)) return std::nullopt;
  // File times advance in steps of some milliseconds. A write in the same step as the read would not change
  // st_mtim, so a recently written file must stay unchanged for the settle time.
  if (ageSeconds(before) < kSettleTimeSeconds) ::usleep(kSettleTimeUs);
  struct stat after {};
  if (::fstat(file.get(), &after) != 0 || !isUnchanged(before, after)) return std::nullopt;
  return content;
}

}  // namespace

std::string readStableFile(const std::string& path, std::size_t maxBytes) {
  for (int i = 0; i < kMaxReads; ++i) {
    if (i > 0) ::usleep(kRetryDelayUs);
    if (auto content = readOnce(path, maxBytes)) return std::move(*content);
  }
  throw FileError(FileErrorCode::changing,
                  "changes while it is read; write a new file and rename it into place");
}

}  // namespace finchstile::hook
