// A directory in memory that does to a log what disks and machines do: it tears writes, loses what was not
// synced, and fails from any operation on.
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

// In a crash any length of what was not synced may be lost, and the last byte of the rest may be wrong. Of
// the changes of the directory that were not synced, all from some point on are lost.
class FaultyDirectory : public LogDirectory {
 public:
  explicit FaultyDirectory(std::uint32_t seed) : random_(seed) {}
  std::uint64_t operations = 0;
  std::uint64_t failFrom = 0;  // this operation and all after it fail; 0: none

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

  // The process ends and the machine runs on: everything that was written is there.
  void kill() { failFrom = 0; }

  // The machine stops and starts again.
  void crash() {
    // The directory is as it was synced, or as it was at some moment since.
    history_.push_back(files_);
    const std::size_t pick = random_() % (history_.size() + 1);
    files_ = pick == 0 ? synced_ : history_[pick - 1];
    for (auto& [name, content] : files_) {
      const auto copy = std::make_shared<Content>(*content);
      const std::size_t unsynced = copy->bytes.size() - copy->syncedBytes;
      if (unsynced > 0) {
        copy->bytes.resize(copy->syncedBytes + random_() % (unsynced + 1));
        // A last part that was never written. If an earlier one were missing, it would be damage.
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
      if (!succeeds && directory_.operations > directory_.failFrom) return false;  // not the first to fail
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

  // Returns whether the operation that begins succeeds.
  bool nextOperation() { return ++operations < failFrom || failFrom == 0; }
  void recordChange() { history_.push_back(files_); }

  std::mt19937 random_;
  Files files_, synced_;
  std::vector<Files> history_;  // before each change since the directory was synced
};

}  // namespace finchstile::testing
