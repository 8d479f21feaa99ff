// State of a fake control machine: the documents, the keys changed by each revision, and the version that
// each gateway last reported. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/document.hpp"
#include "configuration/poll_request.hpp"
#include "configuration/update.hpp"

namespace finchstile::fake_upstream {

struct ControlReply {
  unsigned status = 200;
  std::string body;
  double retryAfter = 0;  // in seconds; 0: no Retry-After header
};

class ControlLog {
 public:
  struct Settings {
    std::uint64_t epoch = 1;
    std::size_t kept = 1000;         // latest revisions whose changes are kept
    double wholeBytesPerSecond = 0;  // limit for snapshots; 0: no limit
  };
  // State that a gateway reported in its last poll.
  struct Report {
    configuration::Version inForce;
    std::optional<configuration::RejectedVersion> turnedDown;
  };

  ControlLog() = default;
  explicit ControlLog(const Settings& settings) : settings_(settings), version_{settings.epoch, 0} {}

  // Adds a revision. If a key occurs more than once in `changes`, its last document applies.
  configuration::Version publish(const std::vector<configuration::DocumentChange>& changes) {
    ++version_.revision;
    std::vector<std::string>& keys = changed_[version_.revision];
    for (const configuration::DocumentChange& change : changes) {
      set(change);
      keys.push_back(change.key);
    }
    history_[version_.revision] = {version_.epoch, hash_};
    while (changed_.size() > settings_.kept) {
      history_.erase(changed_.begin()->first);
      changed_.erase(changed_.begin());
    }
    cached_.clear();
    return version_;
  }
  // Later revisions belong to `epoch`, as after a change of the writer.
  void takeOver(std::uint64_t epoch) { version_.epoch = epoch; }
  // Makes later answers carry a wrong hash, like a replica whose documents differ.
  void miscount(std::uint64_t by) { hash_ += by; }

  const configuration::Version& version() const { return version_; }
  std::uint64_t hash() const { return hash_; }
  const std::map<std::string, Report>& reports() const { return reports_; }
  std::uint64_t wholes() const { return wholes_; }
  std::size_t have(const configuration::Version& version) const {
    return static_cast<std::size_t>(std::count_if(
        reports_.begin(), reports_.end(), [&](const auto& r) { return r.second.inForce >= version; }));
  }

  void note(const configuration::PollRequest& poll) {
    reports_[poll.gatewayName] = {poll.state.version, poll.state.rejected};
  }
  // Returns nullopt if there is nothing newer; the poll may then be held. `now` is in seconds.
  std::optional<ControlReply> answer(const configuration::PollRequest& poll, double now) {
    const configuration::VersionState& at = poll.state;
    if (at.rejected && at.rejected->version == version_ && at.rejected->hash == hash_) return std::nullopt;
    if (version_.revision == 0 || at.version > version_) return std::nullopt;
    if (at.version == version_ && at.hash == hash_ && !at.needsSnapshot) return std::nullopt;
    const auto known = history_.find(at.version.revision);
    const bool ancestor = known != history_.end() && known->second.epoch == at.version.epoch &&
                          known->second.hash == at.hash && at.version.revision < version_.revision;
    if (ancestor && !at.needsSnapshot) return ControlReply{200, changesSince(at.version.revision), 0};
    return whole(now);
  }
  ControlReply noNews() const { return {200, configuration::serializeUpdate(version_, hash_, false, {}), 0}; }

 private:
  struct Point {
    std::uint64_t epoch = 0, hash = 0;
  };

  void set(const configuration::DocumentChange& change) {
    auto& entry = documents_[change.key];
    if (entry.document) hash_ -= hashOf(*entry.document);
    if (change.document) hash_ += hashOf(*change.document);
    entry = change;
  }
  static std::uint64_t hashOf(const configuration::Document& document) {
    return std::visit([](const auto& d) { return configuration::documentHash(d); }, document);
  }
  const std::string& changesSince(std::uint64_t revision) {
    std::string& text = cached_[revision];
    if (!text.empty()) return text;
    std::set<std::string> keys;
    for (auto it = changed_.upper_bound(revision); it != changed_.end(); ++it)
      keys.insert(it->second.begin(), it->second.end());
    std::vector<std::string> entries;
    entries.reserve(keys.size());
    for (const std::string& key : keys) entries.push_back(configuration::serializeEntry(documents_.at(key)));
    return text = configuration::serializeUpdate(version_, hash_, false, entries);
  }
  ControlReply whole(double now) {
    std::string& text = cached_[kWhole];
    if (text.empty()) {
      std::vector<std::string> entries;
      for (const auto& [key, change] : documents_)
        if (change.document) entries.push_back(configuration::serializeEntry(change));
      text = configuration::serializeUpdate(version_, hash_, true, entries);
    }
    if (settings_.wholeBytesPerSecond > 0) {
      if (freeAt_ > now) return {503, "", freeAt_ - now};
      freeAt_ = now + static_cast<double>(text.size()) / settings_.wholeBytesPerSecond;
    }
    ++wholes_;
    return {200, text, 0};
  }

  static constexpr std::uint64_t kWhole = UINT64_MAX;  // key of the snapshot in cached_

  Settings settings_;
  configuration::Version version_{1, 0};
  std::uint64_t hash_ = 0;
  std::map<std::string, configuration::DocumentChange> documents_;
  std::map<std::uint64_t, std::vector<std::string>> changed_;  // keys changed by each revision
  std::map<std::uint64_t, Point> history_;
  std::map<std::uint64_t, std::string>
      cached_;  // serialized updates to the present version, by base revision
  std::map<std::string, Report> reports_;
  double freeAt_ = 0;
  std::uint64_t wholes_ = 0;
};

}  // namespace finchstile::fake_upstream
