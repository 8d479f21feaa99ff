// Owner of a file descriptor, which it closes on destruction. Below 0 it owns none.
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
  int release() { return std::exchange(fd_, -1); }  // the caller owns the descriptor from now on

 private:
  int fd_;
};

}  // namespace finchstile
