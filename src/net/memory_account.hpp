// The memory of the whole process against its limit: one account from which everything that may be refused,
// delayed or kept smaller asks for room before it grows. No I/O.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace finchstile {

/// What memory is wanted for. The earlier ones are refused first, so that clients which hold much leave room
/// for those that want little.
enum class MemoryUse : std::size_t {
  longInput,     ///< Bytes of a request beyond what each client may hold.
  longResponse,  ///< Bytes of a response that could be passed on in smaller pieces.
  connection,    ///< A client connection.
  request        ///< A complete request that is to be sent to a host.
};
inline constexpr std::size_t kMemoryUses = 4;

/// What a connection takes with its objects and the buffers that it always may fill.
inline constexpr std::size_t kBytesPerClientConnection = std::size_t{16} * 1024;
inline constexpr std::size_t kBytesPerUpstreamConnection = std::size_t{16} * 1024;

/// Where the account learns what the process takes.
class ProcessMemory {
 public:
  virtual ~ProcessMemory() = default;
  /// Resident memory in bytes, of all processes that share the limit; 0 if unknown.
  virtual std::size_t residentBytes() = 0;
  /// Returns unused memory to the system, unless that was done a moment ago.
  virtual void releaseUnused() = 0;
};

/// Decides what there is room for. Between two readings of the process's memory it counts what it has
/// granted.
class MemoryAccount {
 public:
  /// `limit` is in bytes. `process` must outlive the account.
  MemoryAccount(std::size_t limit, ProcessMemory& process) : limit_(limit), process_(process) { read(); }

  /// Whether there is room for `bytes` more.
  bool hasRoom(std::size_t bytes, MemoryUse use) {
    if (grantedSinceReading_ >= kMaxGrantedBytesPerReading) read();
    if (fitsInto(bytes, use)) return true;
    process_.releaseUnused();
    read();
    if (fitsInto(bytes, use)) return true;
    ++refused_[static_cast<std::size_t>(use)];
    return false;
  }
  /// As `hasRoom`. If there is room, the bytes are about to be allocated and count as taken.
  bool grant(std::size_t bytes, MemoryUse use) {
    if (!hasRoom(bytes, use)) return false;
    grantedSinceReading_ += bytes;
    return true;
  }
  /// Room that is kept for bytes that have yet to arrive has changed from `before` to `after` bytes.
  void changePromised(std::size_t before, std::size_t after) {
    promised_ -= before;
    promised_ += after;
  }
  /// Reads what the process takes. To be called a few times a second, since not all memory is asked for.
  void read() {
    resident_ = process_.residentBytes();
    grantedSinceReading_ = 0;
  }

  /// Bytes that there is room for.
  std::size_t room(MemoryUse use) const {
    const std::size_t taken = takenBytes();
    return limitFor(use) - std::min(limitFor(use), taken);
  }

  std::size_t limit() const { return limit_; }
  std::size_t residentBytes() const { return resident_; }
  std::size_t promisedBytes() const { return promised_; }
  /// How often there was no room, since the start.
  std::uint64_t refused(MemoryUse use) const { return refused_[static_cast<std::size_t>(use)]; }

 private:
  static constexpr std::size_t kMaxGrantedBytesPerReading = std::size_t{128} * 1024;
  // Parts of the limit, in percent, up to which there is room for each use. What is left is for memory that
  // nobody asks for, such as endpoint lists.
  static constexpr std::array<std::size_t, kMemoryUses> kPercentForUse{72, 78, 82, 88};

  std::size_t limitFor(MemoryUse use) const {
    return limit_ / 100 * kPercentForUse[static_cast<std::size_t>(use)];
  }
  std::size_t takenBytes() const { return resident_ + grantedSinceReading_ + promised_; }
  bool fitsInto(std::size_t bytes, MemoryUse use) const { return takenBytes() + bytes <= limitFor(use); }

  const std::size_t limit_;
  ProcessMemory& process_;
  std::size_t resident_ = 0, grantedSinceReading_ = 0, promised_ = 0;
  std::array<std::uint64_t, kMemoryUses> refused_{};
};

}  // namespace finchstile
