// A limit on the bytes that the connections of all clients hold in buffers together.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

#include "net/memory_account.hpp"

namespace finchstile {

class BufferAccount;

/// Half of the limit is divided equally among the clients: no client waits for room within its share. The
/// other half is a pool for what clients hold beyond their shares.
class BufferBudget {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  /// `limit` is in bytes. A share has at least `minShare` bytes, even if all of them exceed the limit.
  /// `memory` limits what is held beyond the shares as well; it may be null, and must outlive the budget
  /// otherwise.
  BufferBudget(std::size_t limit, std::size_t maxClients, std::size_t minShare,
               MemoryAccount* memory = nullptr)
      : memory_(memory),
        share_(limit == kUnlimited ? limit
                                   : std::max(minShare, limit / 2 / std::max<std::size_t>(1, maxClients))),
        poolSize_(limit / 2) {}

  std::size_t share() const { return share_; }
  /// Bytes that all clients hold.
  std::size_t held() const { return held_; }

 private:
  friend class BufferAccount;
  std::size_t beyondShare(std::size_t bytes) const { return bytes - std::min(bytes, share_); }
  bool hasRoomInPool(std::size_t bytes) const {
    if (bytes == 0) return true;
    return poolUsed_ + bytes <= poolSize_ && (!memory_ || memory_->hasRoom(bytes, MemoryUse::longInput));
  }

  MemoryAccount* const memory_;
  std::size_t share_, poolSize_;
  std::size_t held_ = 0, poolUsed_ = 0;
};

/// What one client holds. The budget must outlive each use of the account, but not the account itself.
class BufferAccount {
 public:
  explicit BufferAccount(BufferBudget& budget) : budget_(budget) {
    if (budget_.memory_) budget_.memory_->changePromised(0, unused());
  }

  /// Returns true if `bytes` more than are held fit into the share or an earlier reservation.
  bool hasRoom(std::size_t bytes) const {
    return held_ + bytes <= charged() || budget_.beyondShare(held_ + bytes) == 0;
  }
  /// What may be held without asking for room.
  std::size_t freeShare() const {
    const std::size_t own = std::max(budget_.share_, reserved_);
    return own - std::min(own, held_);
  }
  /// Reserves room for `bytes` more than are held, until `endReservation`. Returns false and reserves nothing
  /// if neither the share nor the pool has that room.
  bool tryReserve(std::size_t bytes) {
    const std::size_t needed = std::max(charged(), held_ + bytes);
    const std::size_t more = budget_.beyondShare(needed) - budget_.beyondShare(charged());
    if (!budget_.hasRoomInPool(more)) return false;
    update(held_, needed);
    return true;
  }
  void endReservation() { update(held_, 0); }
  /// The client sends no more requests: neither a reservation nor its share is kept for it.
  void end() {
    const std::size_t unusedBefore = unused();
    ended_ = true;
    if (budget_.memory_) budget_.memory_->changePromised(unusedBefore, 0);
    update(held_, 0);
  }
  /// Sets what the client holds. Bytes that nobody could refuse, such as those of a response, may take more
  /// than the pool has.
  void set(std::size_t bytes) { update(bytes, reserved_); }

 private:
  std::size_t charged() const { return std::max(held_, reserved_); }
  // Room that is kept for this client. Its share counts, since nobody asks before it is used.
  std::size_t unused() const {
    if (!budget_.memory_ || ended_) return 0;
    return std::max(charged(), budget_.share_) - std::min(held_, std::max(charged(), budget_.share_));
  }
  void update(std::size_t held, std::size_t reserved) {
    const std::size_t unusedBefore = unused();
    budget_.poolUsed_ -= budget_.beyondShare(charged());
    budget_.held_ -= held_;
    held_ = held;
    reserved_ = reserved;
    budget_.held_ += held_;
    budget_.poolUsed_ += budget_.beyondShare(charged());
    if (budget_.memory_) budget_.memory_->changePromised(unusedBefore, unused());
  }

  BufferBudget& budget_;
  std::size_t held_ = 0;
  std::size_t reserved_ = 0;  // the bytes that may be held
  bool ended_ = false;
};

}  // namespace finchstile
