#include "configuration/snapshot_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>

#include "base/descriptor.hpp"
#include "configuration/update.hpp"

namespace finchstile::configuration {
namespace {

using Operation = SnapshotFileError::Operation;

const char* participle(Operation operation) {
  switch (operation) {
    case Operation::create: return "made";
    case Operation::write: return "written";
    case Operation::sync: return "synced";
    case Operation::replace: return "replaced";
    case Operation::read:
    case Operation::checkSize: return "read";
  }
  return "";
}

[[noreturn]] void throwErrno(Operation operation, const std::string& path) {
  throw SnapshotFileError(operation,
                          path + " cannot be " + participle(operation) + ": " + std::strerror(errno));
}

void writeAndSync(int descriptor, const std::string& text, const std::string& path) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = ::write(descriptor, text.data() + written, text.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) throwErrno(Operation::write, path);
    written += static_cast<std::size_t>(count);
  }
  if (::fsync(descriptor) != 0) throwErrno(Operation::sync, path);
}

}  // namespace

void replaceFile(const std::string& path, const std::string& text) {
  // The name contains the process id, because during a handover two processes may write at the same time.
  const std::string temporary = path + "." + std::to_string(::getpid());
  try {
    const Descriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0) throwErrno(Operation::create, temporary);
    writeAndSync(file.get(), text, temporary);
    if (::rename(temporary.c_str(), path.c_str()) != 0) throwErrno(Operation::replace, path);
  } catch (const std::exception&) {
    ::unlink(temporary.c_str());
    throw;
  }
}

std::optional<std::string> readFileIfExists(const std::string& path) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) {
    if (errno == ENOENT) return std::nullopt;
    throwErrno(Operation::read, path);
  }
  const auto size = file.tellg();
  if (size < 0 || static_cast<std::size_t>(size) > kMaxUpdateBytes)
    throw SnapshotFileError(Operation::checkSize, path + " is larger than the maximum size of an update");
  file.seekg(0);
  std::string text(static_cast<std::size_t>(size), '\0');
  if (!file.read(text.data(), size)) throwErrno(Operation::read, path);
  return text;
}

}  // namespace finchstile::configuration
