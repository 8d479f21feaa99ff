// Owns a file descriptor and closes it on destruction; a negative value means none.
#pragma once

#include <unistd.h>

#include <utility>

namespace finchstile {

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }  // transfers ownership to the caller

 private:
  int fd_;
};

}  // namespace finchstile
