#include "wal/log_recovery.hpp"

#include <algorithm>

namespace finchstile::wal {
namespace {

void ignoreRecord(std::string_view /*record*/) {}

}  // namespace

void LogRecovery::selectSegments() {
  findSegments();
  readSegments();
  removeUnstartedSegments();
  removeSegmentsBeforeSnapshot();
  // The check of a segment may remove those after it.
  for (std::size_t i = 0; i < segments_.size(); ++i) checkSegment(i);
}

void LogRecovery::findSegments() {
  for (const std::string& name : directory_.list()) {
    if (name == kUnfinishedSnapshotName) directory_.remove(name);
    const std::uint64_t number = segmentNumber(name);
    if (number == 0) continue;
    Segment segment;
    segment.number = number;
    segment.name = name;
    segments_.push_back(std::move(segment));
  }
  std::sort(segments_.begin(), segments_.end(),
            [](const Segment& a, const Segment& b) { return a.number < b.number; });
  if (!segments_.empty()) newestNumber_ = segments_.back().number;
}

std::string LogRecovery::contentOf(const Segment& segment) const {
  return directory_.read(segment.name).value_or("");
}

// Only one segment at a time is held in memory. All are read before any is checked, since later segments
// show whether an unreadable part is a torn tail.
void LogRecovery::readSegments() {
  for (Segment& segment : segments_) {
    const std::string bytes = contentOf(segment);
    segment.contents = readSegment(bytes, ignoreRecord);
    segment.bytes = bytes.size();
    segment.validBytes = bytes.size();
    const auto& marks = segment.contents.syncedSegments;
    knownSyncedSegments_.insert(marks.begin(), marks.end());
  }
}

void LogRecovery::removeFrom(std::size_t index) {
  while (segments_.size() > index) {
    report_.truncatedBytes += segments_.back().bytes;
    directory_.remove(segments_.back().name);
    segments_.pop_back();
  }
}

// A segment whose header is incomplete was being created at the crash, and none of its records was synced.
void LogRecovery::removeUnstartedSegments() {
  while (!segments_.empty()) {
    const SegmentContents& contents = segments_.back().contents;
    if (contents.hasHeader || contents.readableAfterUnreadable) return;
    removeFrom(segments_.size() - 1);
  }
}

void LogRecovery::removeSegmentsBeforeSnapshot() {
  std::size_t first = 0;
  for (std::size_t i = 0; i < segments_.size(); ++i)
    if (segments_[i].contents.header.snapshot) first = i;
  for (std::size_t i = 0; i < first; ++i) directory_.remove(segments_[i].name);
  segments_.erase(segments_.begin(), segments_.begin() + static_cast<std::ptrdiff_t>(first));
}

void LogRecovery::describe(const Segment& segment, const char* problem, std::size_t number) {
  if (!report_.description.empty()) report_.description += "; ";
  report_.description += segment.name + problem + std::to_string(number);
}

void LogRecovery::checkSegment(std::size_t index) {
  Segment& segment = segments_[index];
  const Segment* const next = index + 1 < segments_.size() ? &segments_[index + 1] : nullptr;
  const bool nextFollows = next && next->number == segment.number + 1;
  // If records at the end of an older segment are lost, all later segments are discarded, unless the older
  // one is known to have been synced to its end: then the loss is damage.
  const bool wasSynced = knownSyncedSegments_.count(segment.number) > 0 ||
                         (nextFollows && next->contents.header.previousValidBytes != kUnknownBytes);
  if (nextFollows && next->contents.header.previousValidBytes < segment.bytes) {
    segment.validBytes = next->contents.header.previousValidBytes;
    const std::string bytes = contentOf(segment);
    segment.contents = readSegment(std::string_view(bytes).substr(0, segment.validBytes), ignoreRecord);
  }
  if (next && !nextFollows) {
    report_.damaged = true;
    describe(segment, ": next segment missing: number ", segment.number + 1);
  }
  if (!segment.contents.unreadable) return;
  if (segment.contents.readableAfterUnreadable || (next && (wasSynced || !nextFollows))) {
    report_.damaged = true;
    describe(segment, ": damaged after byte ", segment.contents.readableBytes);
    return;
  }
  report_.truncatedBytes += segment.validBytes - segment.contents.readableBytes;
  segment.validBytes = segment.contents.readableBytes;
  describe(segment, ": truncated at byte ", segment.contents.readableBytes);
  removedTail_ = next != nullptr;
  removeFrom(index + 1);
}

bool LogRecovery::makeDurable() {
  // A file system may reorder removals and creations: a removed segment could reappear after a crash and
  // follow a new segment that reuses a removed number.
  if (removedTail_ && !directory_.syncDirectory()) return false;
  // Data that a killed process has written may be in the page cache only. It must not be lost in a crash
  // once later records are synced.
  for (const Segment& segment : segments_) {
    if (knownSyncedSegments_.count(segment.number) > 0) continue;
    if (!directory_.sync(segment.name)) return false;
  }
  return true;
}

void LogRecovery::deliver(const OnRecord& onRecord) {
  for (const Segment& segment : segments_) {
    const std::string bytes = contentOf(segment);
    readSegment(std::string_view(bytes).substr(0, segment.validBytes), [&](std::string_view record) {
      ++report_.records;
      onRecord(record);
    });
    ++report_.segments;
  }
}

std::uint64_t LogRecovery::nextNumber() const {
  return segments_.empty() ? newestNumber_ + 1 : segments_.back().number + 1;
}

std::uint64_t LogRecovery::validBytesOfLast() const {
  if (segments_.empty()) return kAllBytes;
  const Segment& last = segments_.back();
  return last.validBytes == last.bytes ? kAllBytes : last.validBytes;
}

}  // namespace finchstile::wal
