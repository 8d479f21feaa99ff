// An in-memory log directory that injects the faults of disks and machines: torn writes, loss of unsynced
// data, and failure of all operations from a given one on.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "wal/log_directory.hpp"

namespace finchstile::testing {

using wal::LogDirectory;
using wal::LogFile;

// Fault model: a crash may truncate the unsynced part of a file at any length and may corrupt the last byte
// that remains of it. Renames and removals that were not synced are lost from some point on.
class FaultyDirectory : public LogDirectory {
 public:
  explicit FaultyDirectory(std::uint32_t seed) : random_(seed) {}
  std::uint64_t operations = 0;
  std::uint64_t failFrom = 0;  // number of the first operation that fails, with all later ones; 0: none

  std::unique_ptr<LogFile> create(const std::string& name) override {
    if (!nextOperation()) return nullptr;
    const auto content = std::make_shared<Content>();
    files_[name] = content;
    return std::make_unique<Handle>(*this, content);
  }

  std::optional<std::string> read(const std::string& name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) return std::nullopt;
    return it->second->bytes;
  }

  bool sync(const std::string& name) override {
    if (!nextOperation()) return false;
    const auto& content = files_.at(name);
    content->syncedBytes = content->bytes.size();
    return true;
  }

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, content] : files_) names.push_back(name);
    return names;
  }

  bool rename(const std::string& from, const std::string& to) override {
    if (!nextOperation()) return false;
    recordChange();
    files_[to] = files_.at(from);
    files_.erase(from);
    return true;
  }

  bool remove(const std::string& name) override {
    if (!nextOperation()) return false;
    recordChange();
    return files_.erase(name) > 0;
  }

  bool syncDirectory() override {
    if (!nextOperation()) return false;
    history_.clear();
    synced_ = files_;
    return true;
  }

  // The process ends and the machine keeps running: all written data remains.
  void kill() { failFrom = 0; }

  // The machine stops and starts again: applies the fault model and clears `failFrom`.
  void crash() {
    // The directory returns to its last synced state or to any later one.
    history_.push_back(files_);
    const std::size_t pick = random_() % (history_.size() + 1);
    files_ = pick == 0 ? synced_ : history_[pick - 1];
    for (auto& [name, content] : files_) {
      const auto copy = std::make_shared<Content>(*content);
      const std::size_t unsynced = copy->bytes.size() - copy->syncedBytes;
      if (unsynced > 0) {
        copy->bytes.resize(copy->syncedBytes + random_() % (unsynced + 1));
        // Only the last block may not have reached the disk: a missing earlier one would be corruption.
        if (copy->bytes.size() > copy->syncedBytes && random_() % 3 == 0) copy->bytes.back() ^= 0x55;
      }
      copy->syncedBytes = copy->bytes.size();
      content = copy;
    }
    synced_ = files_;
    history_.clear();
    failFrom = 0;
  }

  std::map<std::string, std::string> contents() const {
    std::map<std::string, std::string> out;
    for (const auto& [name, content] : files_) out[name] = content->bytes;
    return out;
  }

  void damage(const std::string& name, std::size_t at) { files_.at(name)->bytes.at(at) ^= 0x10; }

 private:
  struct Content {
    std::string bytes;
    std::size_t syncedBytes = 0;
  };
  using Files = std::map<std::string, std::shared_ptr<Content>>;

  class Handle : public LogFile {
   public:
    Handle(FaultyDirectory& directory, std::shared_ptr<Content> content)
        : directory_(directory), content_(std::move(content)) {}

    bool append(std::string_view bytes) override {
      const bool succeeds = directory_.nextOperation();
      // Only the first failing append writes a part of its bytes.
      if (!succeeds && directory_.operations > directory_.failFrom) return false;
      content_->bytes += succeeds ? bytes : bytes.substr(0, directory_.random_() % (bytes.size() + 1));
      return succeeds;
    }

    bool sync() override {
      if (!directory_.nextOperation()) return false;
      content_->syncedBytes = content_->bytes.size();
      return true;
    }

   private:
    FaultyDirectory& directory_;
    std::shared_ptr<Content> content_;
  };

  // Counts an operation and returns whether it succeeds.
  bool nextOperation() { return ++operations < failFrom || failFrom == 0; }
  void recordChange() { history_.push_back(files_); }

  std::mt19937 random_;
  Files files_, synced_;
  std::vector<Files> history_;  // state before each rename or removal since the last sync of the directory
};

}  // namespace finchstile::testing
