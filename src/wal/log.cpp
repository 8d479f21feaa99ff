#include "wal/log.hpp"

#include <utility>

#include "wal/segment_writer.hpp"

namespace finchstile::wal {

Log::Log(LogDirectory& directory, const LogOptions& options) : directory_(directory), options_(options) {}

Log::~Log() = default;

bool Log::fail() {
  failed_ = true;
  return false;
}

std::unique_ptr<SegmentWriter> Log::beginSegment(const std::string& name, const SegmentHeader& header) {
  auto file = directory_.create(name);
  if (!file) return nullptr;
  auto writer = std::make_unique<SegmentWriter>(std::move(file));
  if (!writer->append(encodeSegmentHeader(header))) return nullptr;
  if (preamble_ && !writer->append(preamble_())) return nullptr;
  return writer;
}

void Log::addOlderSegment(std::uint64_t number, std::size_t bytes) {
  olderSegments_.push_back({number, bytes});
  olderBytes_ += bytes;
}

bool Log::recover(const OnRecord& onRecord, RecoveryReport& report) {
  LogRecovery recovery(directory_, report);
  recovery.selectSegments();
  const bool durable = recovery.makeDurable();
  recovery.deliver(onRecord);
  for (const LogRecovery::Segment& segment : recovery.segments())
    addOlderSegment(segment.number, segment.bytes);
  if (!durable) return fail();
  segmentNumber_ = recovery.nextNumber();
  const SegmentHeader header{recovery.segments().empty(), recovery.validBytesOfLast()};
  writer_ = beginSegment(segmentName(segmentNumber_), header);
  if (!writer_ || !writer_->sync() || !directory_.syncDirectory()) return fail();
  return true;
}

std::size_t Log::bytes() const { return olderBytes_ + (writer_ ? writer_->bytes() : 0); }

bool Log::beginNextSegment() {
  addOlderSegment(segmentNumber_, writer_->bytes());
  unsyncedSegments_.push_back({segmentNumber_, writer_->file()});
  ++segmentNumber_;
  writer_ = beginSegment(segmentName(segmentNumber_), {false, kUnknownBytes});
  directoryChanged_ = true;
  return writer_ != nullptr;
}

bool Log::append(std::string_view record) {
  if (failed_ || record.size() > kMaxRecordBytes) return false;
  if (bytes() + record.size() > options_.maxTotalBytes) return false;
  if (writer_->bytes() > options_.maxSegmentBytes && !beginNextSegment()) return fail();
  if (!writer_->append(record)) return fail();
  ++appendedRecords_;
  return true;
}

bool Log::SyncTask::run() const {
  for (const auto& file : files)
    if (!file->sync()) return false;
  return !directory || directory->syncDirectory();
}

std::optional<Log::SyncTask> Log::beginSync() {
  const bool allSynced =
      syncedRecords_ == appendedRecords_ && unsyncedSegments_.empty() && !directoryChanged_;
  if (failed_ || syncing_ || allSynced) return std::nullopt;
  syncing_ = true;
  SyncTask task;
  for (const UnsyncedSegment& segment : unsyncedSegments_) {
    task.files.push_back(segment.file);
    task.throughSegment = segment.number;
  }
  task.files.push_back(writer_->file());
  if (std::exchange(directoryChanged_, false)) task.directory = &directory_;
  task.throughRecord = appendedRecords_;
  return task;
}

bool Log::endSync(const SyncTask& task, bool succeeded) {
  syncing_ = false;
  // After a failed sync the operating system may have dropped the data that it could not write. Another sync
  // could succeed without that data, so none is attempted.
  if (failed_ || !succeeded) return fail();
  syncedRecords_ = std::max(syncedRecords_, task.throughRecord);
  while (!unsyncedSegments_.empty() && unsyncedSegments_.front().number <= task.throughSegment) {
    if (!writer_->appendSyncMark(unsyncedSegments_.front().number)) return fail();
    unsyncedSegments_.pop_front();
  }
  return true;
}

bool Log::sync() {
  const auto task = beginSync();
  if (!task) return !failed_ && !syncing_;
  return endSync(*task, task->run());
}

void Log::removeSegmentsThrough(std::uint64_t segment) {
  while (!olderSegments_.empty() && olderSegments_.front().number <= segment) {
    const OlderSegment oldest = olderSegments_.front();
    if (!directory_.remove(segmentName(oldest.number))) return;
    olderBytes_ -= oldest.bytes;
    directoryChanged_ = true;
    while (!unsyncedSegments_.empty() && unsyncedSegments_.front().number <= oldest.number)
      unsyncedSegments_.pop_front();
    olderSegments_.pop_front();
  }
}

bool Log::writeSnapshot(const std::function<void(const PutRecord& put)>& writeRecords) {
  if (failed_ || syncing_) return false;
  auto snapshot = beginSegment(kUnfinishedSnapshotName, {true, kAllBytes});
  bool written = snapshot != nullptr;
  if (written) {
    writeRecords([&](std::string_view record) {
      written = written && record.size() <= kMaxRecordBytes && snapshot->append(record);
    });
  }
  if (!written || !snapshot->sync() ||
      !directory_.rename(kUnfinishedSnapshotName, segmentName(segmentNumber_ + 1))) {
    directory_.remove(kUnfinishedSnapshotName);
    return false;
  }
  const std::uint64_t lastReplaced = segmentNumber_;
  replaceSegments(std::move(snapshot));
  // If the old segments were removed before the new name is durable, a crash could leave neither.
  if (!directory_.syncDirectory()) return fail();
  removeSegmentFilesThrough(lastReplaced);
  return true;
}

void Log::replaceSegments(std::unique_ptr<SegmentWriter> snapshot) {
  ++segmentNumber_;
  writer_ = std::move(snapshot);
  syncedRecords_ = appendedRecords_;
  olderSegments_.clear();
  unsyncedSegments_.clear();
  olderBytes_ = 0;
  directoryChanged_ = false;
}

void Log::removeSegmentFilesThrough(std::uint64_t segment) {
  for (const std::string& name : directory_.list()) {
    const std::uint64_t number = segmentNumber(name);
    if (number > 0 && number <= segment) directory_.remove(name);
  }
}

}  // namespace finchstile::wal
