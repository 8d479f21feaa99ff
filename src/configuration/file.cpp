#include "configuration/file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "base/descriptor.hpp"
#include "configuration/client.hpp"

namespace finchstile::configuration {
namespace {

[[noreturn]] void fail(const std::string& what, const std::string& path) {
  throw std::runtime_error(path + " can not be " + what + ": " + std::strerror(errno));
}

void writeAll(int fd, const std::string& text, const std::string& path) {
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t written = ::write(fd, text.data() + done, text.size() - done);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) fail("written", path);
    done += static_cast<std::size_t>(written);
  }
  if (::fsync(fd) != 0) fail("synced", path);
}

}  // namespace

void writeWhole(const std::string& path, const std::string& text) {
  // Two processes of a gateway may write at once while one takes over from the other.
  const std::string beside = path + "." + std::to_string(::getpid());
  try {
    const Descriptor file(::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0) fail("made", beside);
    writeAll(file.get(), text, beside);
    if (::rename(beside.c_str(), path.c_str()) != 0) fail("replaced", path);
  } catch (const std::exception&) {
    ::unlink(beside.c_str());
    throw;
  }
}

std::optional<std::string> readWhole(const std::string& path) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) {
    if (errno == ENOENT) return std::nullopt;
    fail("read", path);
  }
  const auto size = file.tellg();
  if (size < 0 || static_cast<std::size_t>(size) > kUpdateMost)
    throw std::runtime_error(path + " is larger than any version that was written there");
  file.seekg(0);
  std::string text(static_cast<std::size_t>(size), '\0');
  if (!file.read(text.data(), size)) fail("read", path);
  return text;
}

}  // namespace finchstile::configuration
