#include "app/trace_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace finchstile {

TraceFile::TraceFile(std::string path, std::size_t most, std::size_t waitingMost)
    : path_(std::move(path)), most_(most), waitingMost_(waitingMost) {
  if (path_.empty()) fd_ = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 3);
  else openFile();
  if (fd_ < 0)
    throw std::runtime_error("trace.file: " + (path_.empty() ? std::string("standard error") : path_) +
                             " cannot be opened for appending: " + std::strerror(errno));
  thread_ = std::thread([this] { work(); });
}

TraceFile::~TraceFile() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_one();
  thread_.join();
  ::close(fd_);
}

void TraceFile::openFile() {
  fd_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
  struct stat found {};
  size_ = fd_ >= 0 && ::fstat(fd_, &found) == 0 ? static_cast<std::size_t>(found.st_size) : 0;
}

bool TraceFile::write(const std::string& lines) {
  {
    const std::lock_guard lock(mutex_);
    if (waiting_.size() + lines.size() > waitingMost_) return false;
    waiting_ += lines;
  }
  changed_.notify_one();
  return true;
}

std::uint64_t TraceFile::takeLost() {
  const std::lock_guard lock(mutex_);
  return std::exchange(lost_, 0);
}

void TraceFile::work() {
  for (;;) {
    std::string lines;
    bool last = false;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
      lines.swap(waiting_);
      last = ending_;
    }
    if (!lines.empty()) put(std::move(lines));
    if (last) return;
  }
}

// Danger: a block that could not be written whole leaves half a line, and the next one would be read as the
// rest of it.
void TraceFile::put(std::string&& lines) {
  const std::size_t mend = torn_ ? 1 : 0;  // a line feed that ends nobody's line
  lines.insert(0, mend, '\n');
  std::size_t done = 0;
  while (done < lines.size()) {
    const ssize_t n = ::write(fd_, lines.data() + done, lines.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    done += static_cast<std::size_t>(n);
  }
  size_ += done;
  if (done > 0) torn_ = lines[done - 1] != '\n';
  if (done < lines.size()) {
    const auto from = static_cast<std::ptrdiff_t>(std::max(done, mend));
    const std::lock_guard lock(mutex_);
    lost_ += static_cast<std::uint64_t>(std::count(lines.begin() + from, lines.end(), '\n'));
  }
  if (path_.empty() || size_ < most_) return;
  // The file that could not be put aside goes on growing: better too long than not written.
  if (std::rename(path_.c_str(), (path_ + ".1").c_str()) != 0) return;
  const int old = fd_;
  openFile();
  if (fd_ < 0) fd_ = old;
  else ::close(old), torn_ = false;
}

}  // namespace finchstile
