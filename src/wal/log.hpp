// An append-only log of records, in segments with checksums (segment_format.hpp) and of a bounded total
// size. Recovery distinguishes a tail that a crash has torn from damage. The contents of the records are up
// to the owner of the log.
//
// A log is used by one thread, except that SyncTask::run() may be called on another.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wal/log_directory.hpp"
#include "wal/log_recovery.hpp"
#include "wal/segment_format.hpp"

namespace finchstile::wal {

class SegmentWriter;

struct LogOptions {
  std::size_t maxSegmentBytes = std::size_t{4} * 1024 * 1024;  // a longer segment is followed by a new one
  std::size_t maxTotalBytes = std::size_t{64} * 1024 * 1024;   // of all segments; append() fails beyond it
};

class Log {
 public:
  // Makes everything that was appended before beginSync() durable: it survives a crash of the machine.
  struct SyncTask {
    std::vector<std::shared_ptr<LogFile>> files;  // in the order of their segments
    LogDirectory* directory = nullptr;            // synced as well unless null
    std::uint64_t throughRecord = 0;              // appendedRecords() at the start of the sync
    std::uint64_t throughSegment = 0;             // closed segments up to this number are synced to their end

    // May be called on any thread. Returns false on failure.
    bool run() const;
  };

  // Appends one record to a snapshot; passed to the callback of writeSnapshot().
  using PutRecord = std::function<void(std::string_view record)>;

  // `directory` must outlive the log.
  Log(LogDirectory& directory, const LogOptions& options);
  ~Log();

  // Must be called once, before any other function except setPreamble(). Calls `onRecord` for each record in
  // order and begins a new segment; segments of earlier processes are not appended to. Returns false if the
  // log accepts no records (failed()); the recovered records are valid in that case too.
  bool recover(const OnRecord& onRecord, RecoveryReport& report);

  // Sets the function that returns the first record of each segment, with the data needed to read the
  // records after it. It is called when a segment is begun. Must be set before recover().
  void setPreamble(std::function<std::string()> record) { preamble_ = std::move(record); }

  // Returns true if the record survives the end of this process; it survives a crash of the machine after
  // the next successful sync. Returns false if the record is too long, if there is no room for it
  // (removeSegmentsThrough() and snapshots free space), or if the log has failed. A failed log accepts no
  // more records, and the next recovery may or may not find the one that failed.
  bool append(std::string_view record);
  std::uint64_t appendedRecords() const { return appendedRecords_; }  // by this object
  std::uint64_t syncedRecords() const { return syncedRecords_; }      // that survive a crash of the machine

  // A sync consists of beginSync(), SyncTask::run() on any thread, and endSync() with its result. There is
  // one at a time. beginSync() returns nothing if there is nothing to sync, a sync is in progress, or the
  // log has failed.
  std::optional<SyncTask> beginSync();
  bool endSync(const SyncTask& task, bool succeeded);
  // Performs all three steps. Returns false on failure, or if a sync is in progress.
  bool sync();
  // Whether a closed segment has not been synced. Until it is, a crash that tears it discards all segments
  // after it.
  bool hasUnsyncedClosedSegment() const { return !unsyncedSegments_.empty(); }

  bool failed() const { return failed_; }

  // The number of the segment that is appended to.
  std::uint64_t currentSegment() const { return segmentNumber_; }
  // Removes the segments up to that number, except the current one. The next call retries segments that
  // cannot be removed.
  void removeSegmentsThrough(std::uint64_t segment);

  // Replaces all segments by the records that `writeRecords` passes to `put`. Returns false if the old
  // segments are kept; they are appended to as before, unless the log has failed.
  bool needsSnapshot() const { return bytes() > options_.maxTotalBytes / 2; }
  bool writeSnapshot(const std::function<void(const PutRecord& put)>& writeRecords);

  std::size_t bytes() const;  // of all segments
  std::size_t remainingBytes() const {
    return options_.maxTotalBytes - std::min(bytes(), options_.maxTotalBytes);
  }
  // Whether less than a tenth of the size remains. The owner may reserve that part for records that must not
  // be omitted.
  bool nearlyFull() const { return remainingBytes() < options_.maxTotalBytes / 10; }

 private:
  struct OlderSegment {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
  };
  struct UnsyncedSegment {
    std::uint64_t number = 0;
    std::shared_ptr<LogFile> file;
  };

  std::unique_ptr<SegmentWriter> beginSegment(const std::string& name, const SegmentHeader& header);
  bool beginNextSegment();
  void addOlderSegment(std::uint64_t number, std::size_t bytes);
  void replaceSegments(std::unique_ptr<SegmentWriter> snapshot);
  void removeSegmentFilesThrough(std::uint64_t segment);
  bool fail();

  LogDirectory& directory_;
  LogOptions options_;
  std::function<std::string()> preamble_;
  std::unique_ptr<SegmentWriter> writer_;
  std::uint64_t segmentNumber_ = 0;
  std::deque<OlderSegment> olderSegments_;        // closed; oldest first
  std::deque<UnsyncedSegment> unsyncedSegments_;  // those of olderSegments_ that are not synced to their end
  std::size_t olderBytes_ = 0;
  std::uint64_t appendedRecords_ = 0, syncedRecords_ = 0;
  bool directoryChanged_ = false;  // since it was synced
  bool syncing_ = false;
  bool failed_ = false;
};

}  // namespace finchstile::wal
