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
  double retryAfterSeconds = 0;  // 0: no Retry-After header
};

class ControlLog {
 public:
  struct Settings {
    std::uint64_t epoch = 1;
    std::size_t retainedRevisions = 1000;  // latest revisions whose changes are kept
    double snapshotBytesPerSecond = 0;     // limit for snapshots; 0: no limit
  };
  // State that a gateway reported in its last poll.
  struct Report {
    configuration::Version activeVersion;
    std::optional<configuration::RejectedVersion> rejected;
  };

  ControlLog() = default;
  explicit ControlLog(const Settings& settings) : settings_(settings), version_{settings.epoch, 0} {}

  // Adds a revision. If a key occurs more than once in `changes`, its last document applies.
  configuration::Version publish(const std::vector<configuration::DocumentChange>& changes) {
    ++version_.revision;
    std::vector<std::string>& keys = changedKeys_[version_.revision];
    for (const configuration::DocumentChange& change : changes) {
      set(change);
      keys.push_back(change.key);
    }
    history_[version_.revision] = {version_.epoch, hash_};
    while (changedKeys_.size() > settings_.retainedRevisions) {
      history_.erase(changedKeys_.begin()->first);
      changedKeys_.erase(changedKeys_.begin());
    }
    serializedUpdates_.clear();
    return version_;
  }
  // Later revisions belong to `epoch`, as after a change of the writer.
  void changeEpoch(std::uint64_t epoch) { version_.epoch = epoch; }
  // Adds `offset` to the hash of later answers, as if the documents of this replica differed.
  void corruptHash(std::uint64_t offset) { hash_ += offset; }

  const configuration::Version& version() const { return version_; }
  std::uint64_t hash() const { return hash_; }
  const std::map<std::string, Report>& reports() const { return reports_; }
  std::uint64_t snapshotsSent() const { return snapshotsSent_; }
  // Number of gateways whose last poll reported `version` or a newer one as active.
  std::size_t countGatewaysAtLeast(const configuration::Version& version) const {
    return static_cast<std::size_t>(std::count_if(
        reports_.begin(), reports_.end(), [&](const auto& r) { return r.second.activeVersion >= version; }));
  }

  void recordPoll(const configuration::PollRequest& poll) {
    reports_[poll.gatewayName] = {poll.state.version, poll.state.rejected};
  }
  // Returns nullopt if there is nothing newer; the poll may then be held. `now` is in seconds.
  std::optional<ControlReply> answer(const configuration::PollRequest& poll, double now) {
    const configuration::VersionState& state = poll.state;
    if (state.rejected && state.rejected->version == version_ && state.rejected->hash == hash_)
      return std::nullopt;
    if (version_.revision == 0 || state.version > version_) return std::nullopt;
    if (state.version == version_ && state.hash == hash_ && !state.needsSnapshot) return std::nullopt;
    const auto base = history_.find(state.version.revision);
    const bool isRetainedAncestor = base != history_.end() && base->second.epoch == state.version.epoch &&
                                    base->second.hash == state.hash &&
                                    state.version.revision < version_.revision;
    if (isRetainedAncestor && !state.needsSnapshot)
      return ControlReply{200, changesSince(state.version.revision), 0};
    return snapshot(now);
  }
  ControlReply unchangedReply() const {
    return {200, configuration::serializeUpdate(version_, hash_, false, {}), 0};
  }

 private:
  struct RevisionState {
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
    std::string& text = serializedUpdates_[revision];
    if (!text.empty()) return text;
    std::set<std::string> keys;
    for (auto it = changedKeys_.upper_bound(revision); it != changedKeys_.end(); ++it)
      keys.insert(it->second.begin(), it->second.end());
    std::vector<std::string> entries;
    entries.reserve(keys.size());
    for (const std::string& key : keys) entries.push_back(configuration::serializeEntry(documents_.at(key)));
    return text = configuration::serializeUpdate(version_, hash_, false, entries);
  }
  ControlReply snapshot(double now) {
    std::string& text = serializedUpdates_[kSnapshotKey];
    if (text.empty()) {
      std::vector<std::string> entries;
      for (const auto& [key, change] : documents_)
        if (change.document) entries.push_back(configuration::serializeEntry(change));
      text = configuration::serializeUpdate(version_, hash_, true, entries);
    }
    if (settings_.snapshotBytesPerSecond > 0) {
      if (nextSnapshotAt_ > now) return {503, "", nextSnapshotAt_ - now};
      nextSnapshotAt_ = now + static_cast<double>(text.size()) / settings_.snapshotBytesPerSecond;
    }
    ++snapshotsSent_;
    return {200, text, 0};
  }

  static constexpr std::uint64_t kSnapshotKey = UINT64_MAX;  // key of the snapshot in serializedUpdates_

  Settings settings_;
  configuration::Version version_{1, 0};
  std::uint64_t hash_ = 0;
  std::map<std::string, configuration::DocumentChange> documents_;
  std::map<std::uint64_t, std::vector<std::string>> changedKeys_;  // keys changed by each revision
  std::map<std::uint64_t, RevisionState> history_;
  std::map<std::uint64_t, std::string>
      serializedUpdates_;  // serialized updates to the present version, by base revision
  std::map<std::string, Report> reports_;
  double nextSnapshotAt_ = 0;  // in seconds; snapshots are refused with 503 before this time
  std::uint64_t snapshotsSent_ = 0;
};

}  // namespace finchstile::fake_upstream
