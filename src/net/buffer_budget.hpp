// A limit on the bytes that the connections of all clients hold in buffers together.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace finchstile {

class BufferAccount;

/// Half of the limit is divided equally among the clients: no client waits for room within its share. The
/// other half is a pool for what clients hold beyond their shares.
class BufferBudget {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  /// `limit` is in bytes. A share has at least `minShare` bytes, even if all of them exceed the limit.
  BufferBudget(std::size_t limit, std::size_t maxClients, std::size_t minShare)
      : share_(limit == kUnlimited ? limit
                                   : std::max(minShare, limit / 2 / std::max<std::size_t>(1, maxClients))),
        poolSize_(limit / 2) {}

  std::size_t share() const { return share_; }
  /// Bytes that all clients hold.
  std::size_t held() const { return held_; }

 private:
  friend class BufferAccount;
  std::size_t beyondShare(std::size_t bytes) const { return bytes - std::min(bytes, share_); }

  std::size_t share_, poolSize_;
  std::size_t held_ = 0, poolUsed_ = 0;
};

/// What one client holds. The budget must outlive each use of the account, but not the account itself.
class BufferAccount {
 public:
  explicit BufferAccount(BufferBudget& budget) : budget_(budget) {}

  /// Returns true if `bytes` more than are held fit into the share or an earlier reservation.
  bool hasRoom(std::size_t bytes) const {
    return held_ + bytes <= charged() || budget_.beyondShare(held_ + bytes) == 0;
  }
  /// Reserves room for `bytes` more than are held, until `endReservation`. Returns false and reserves nothing
  /// if neither the share nor the pool has that room.
  bool tryReserve(std::size_t bytes) {
    const std::size_t needed = std::max(charged(), held_ + bytes);
    const std::size_t more = budget_.beyondShare(needed) - budget_.beyondShare(charged());
    if (more > 0 && budget_.poolUsed_ + more > budget_.poolSize_) return false;
    update(held_, needed);
    return true;
  }
  void endReservation() { update(held_, 0); }
  /// Sets what the client holds. Bytes that nobody could refuse, such as those of a response, may take more
  /// than the pool has.
  void set(std::size_t bytes) { update(bytes, reserved_); }

 private:
  std::size_t charged() const { return std::max(held_, reserved_); }
  void update(std::size_t held, std::size_t reserved) {
    budget_.poolUsed_ -= budget_.beyondShare(charged());
    budget_.held_ -= held_;
    held_ = held;
    reserved_ = reserved;
    budget_.held_ += held_;
    budget_.poolUsed_ += budget_.beyondShare(charged());
  }

  BufferBudget& budget_;
  std::size_t held_ = 0;
  std::size_t reserved_ = 0;  // the bytes that may be held
};

}  // namespace finchstile
