// Resident memory of this process, and of the one that it replaces or that replaces it: both share one limit.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <memory>

#include "base/descriptor.hpp"
#include "net/memory_account.hpp"

namespace finchstile {

/// Reads /proc/PID/statm (proc(5)).
class SystemMemory : public ProcessMemory {
 public:
  static constexpr std::size_t kMaxDescriptors = 2;

  /// Also makes the allocator return large blocks as soon as they are free, so that the process does not keep
  /// the most that it ever took.
  SystemMemory();

  std::size_t residentBytes() override;
  void releaseUnused() override;
  /// The other process of a replacement; 0 if there is none.
  void setOtherProcess(pid_t process);

 private:
  Descriptor own_;
  std::unique_ptr<Descriptor> other_;
  std::chrono::steady_clock::time_point releasedAt_{};
};

}  // namespace finchstile
