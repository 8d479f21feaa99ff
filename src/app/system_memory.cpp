#include "app/system_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <string>

namespace finchstile {
namespace {

// The allocator's memory says nothing under the address sanitizer, which keeps what was freed.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasurable = false;
#else
constexpr bool kMeasurable = true;
#endif

constexpr int kMinMappedBlockBytes = 64 * 1024;
constexpr int kMaxUnusedTopBytes = 128 * 1024;
constexpr int kMaxArenas = 2;
constexpr std::chrono::milliseconds kReleaseInterval(20);

int openStatus(const std::string& process) {
  return ::open(("/proc/" + process + "/statm").c_str(), O_RDONLY | O_CLOEXEC);
}

// The second number of the file, in pages. 0 if the process has ended.
std::size_t readResidentPages(const Descriptor& file) {
  std::array<char, 128> text{};
  const ssize_t size = file.get() < 0 ? -1 : ::pread(file.get(), text.data(), text.size(), 0);
  if (size <= 0) return 0;
  const char* const end = text.data() + size;
  const char* number = text.data();
  while (number < end && *number != ' ') ++number;
  std::size_t pages = 0;
  if (number < end) std::from_chars(number + 1, end, pages);
  return pages;
}

}  // namespace

SystemMemory::SystemMemory() : own_(openStatus("self")) {
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxUnusedTopBytes);
  ::mallopt(M_ARENA_MAX, kMaxArenas);
}

std::size_t SystemMemory::residentBytes() {
  if (!kMeasurable) return 0;
  const auto pageSize = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::size_t otherPages = other_ ? readResidentPages(*other_) : 0;
  return (readResidentPages(own_) + otherPages) * pageSize;
}

void SystemMemory::releaseUnused() {
  const auto now = std::chrono::steady_clock::now();
  if (now - releasedAt_ < kReleaseInterval) return;
  releasedAt_ = now;
  ::malloc_trim(0);
}

void SystemMemory::setOtherProcess(pid_t process) {
  other_ = process > 0 ? std::make_unique<Descriptor>(openStatus(std::to_string(process))) : nullptr;
}

}  // namespace finchstile
