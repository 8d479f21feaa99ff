#include "app/trace_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace finchstile {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr int kFirstOwnDescriptor = 3;

std::string describeOpenError(const std::string& path, int errorNumber) {
  const std::string file = path.empty() ? "standard error" : path;
  return "trace.file: " + file + " cannot be opened for appending: " + std::strerror(errorNumber);
}

}  // namespace

TraceFileError::TraceFileError(const std::string& path, int errorNumber)
    : std::runtime_error(describeOpenError(path, errorNumber)), errorNumber_(errorNumber) {}

TraceFile::TraceFile(std::string path, std::size_t maxFileBytes, std::size_t maxQueuedBytes)
    : path_(std::move(path)), maxFileBytes_(maxFileBytes), maxQueuedBytes_(maxQueuedBytes) {
  if (path_.empty()) descriptor_ = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, kFirstOwnDescriptor);
  else openFile();
  if (descriptor_ < 0) throw TraceFileError(path_, errno);
  writer_ = std::thread([this] { runWriter(); });
}

TraceFile::~TraceFile() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  writer_.join();
  ::close(descriptor_);
}

void TraceFile::openFile() {
  descriptor_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor_ < 0) {
    fileBytes_ = 0;
    return;
  }
  struct stat status {};
  const bool known = ::fstat(descriptor_, &status) == 0;
  fileBytes_ = known ? static_cast<std::size_t>(status.st_size) : 0;
}

bool TraceFile::write(const std::string& lines) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() + lines.size() > maxQueuedBytes_) return false;
    queue_ += lines;
  }
  changed_.notify_one();
  return true;
}

std::uint64_t TraceFile::takeLostLines() {
  const std::lock_guard lock(mutex_);
  return std::exchange(lostLines_, 0);
}

void TraceFile::runWriter() {
  for (;;) {
    std::string block;
    bool last = false;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      block.swap(queue_);
      last = stopping_;
    }
    if (!block.empty()) writeBlock(std::move(block));
    if (last) return;
  }
}

void TraceFile::writeBlock(std::string block) {
  // A short write leaves an incomplete line in the file. A line feed before the next block keeps its first
  // line from being read as the rest of that line. This line feed is not counted as a line.
  const std::size_t repairBytes = endsWithinLine_ ? 1 : 0;
  block.insert(0, repairBytes, '\n');
  const std::size_t written = writeAll(block);
  fileBytes_ += written;
  if (written > 0) endsWithinLine_ = block[written - 1] != '\n';
  if (written < block.size()) {
    const auto firstLost = static_cast<std::ptrdiff_t>(std::max(written, repairBytes));
    const auto lost = std::count(block.begin() + firstLost, block.end(), '\n');
    const std::lock_guard lock(mutex_);
    lostLines_ += static_cast<std::uint64_t>(lost);
  }
  if (!path_.empty() && fileBytes_ >= maxFileBytes_) rotate();
}

// Returns the number of bytes written, which is less than the size of `block` only after an error.
std::size_t TraceFile::writeAll(const std::string& block) const {
  std::size_t written = 0;
  while (written < block.size()) {
    const ssize_t count = ::write(descriptor_, block.data() + written, block.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  return written;
}

// A file that cannot be renamed or replaced continues to grow: an oversized log is better than a lost one.
void TraceFile::rotate() {
  const std::string rotatedPath = path_ + ".1";
  if (std::rename(path_.c_str(), rotatedPath.c_str()) != 0) return;
  const int previous = descriptor_;
  openFile();
  if (descriptor_ < 0) {
    descriptor_ = previous;
    return;
  }
  ::close(previous);
  endsWithinLine_ = false;
}

}  // namespace finchstile
