// Determines which segments of a log are valid after the end of a process, and up to which byte.
// Distinguishes a torn tail, which a crash leaves after the last sync, from damage to synced data.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "wal/log_directory.hpp"
#include "wal/segment_reader.hpp"

namespace finchstile::wal {

struct RecoveryReport {
  std::size_t records = 0, segments = 0;
  std::size_t truncatedBytes = 0;  // of a torn tail and all segments after it; none of them were synced
  bool damaged = false;            // synced records are lost
  std::string description;         // for the operator: the torn and damaged segments, and where
};

class LogRecovery {
 public:
  struct Segment {
    std::uint64_t number = 0;
    std::string name;
    SegmentContents contents;
    std::size_t bytes = 0;
    std::size_t validBytes = 0;  // the rest is a torn tail
  };

  // Both references must outlive the recovery.
  LogRecovery(LogDirectory& directory, RecoveryReport& report) : directory_(directory), report_(report) {}

  // Must be called once, before the other functions. Removes segments that are not valid, and reports what
  // is torn or damaged.
  void selectSegments();

  // Makes the removals and the segments that were never synced durable. Returns false on failure.
  bool makeDurable();

  // Calls `onRecord` for each record of the selected segments in order.
  void deliver(const OnRecord& onRecord);

  const std::vector<Segment>& segments() const { return segments_; }

  // The number for the next segment. It follows the last selected one, to which its header refers, so the
  // number of a removed segment may be reused.
  std::uint64_t nextNumber() const;
  // The valid bytes of the last selected segment, for the header of the next one; kAllBytes if that is all
  // of them.
  std::uint64_t validBytesOfLast() const;

 private:
  void findSegments();
  void readSegments();
  void removeUnstartedSegments();
  void removeSegmentsBeforeSnapshot();
  void checkSegment(std::size_t index);
  void removeFrom(std::size_t index);
  std::string contentOf(const Segment& segment) const;
  void describe(const Segment& segment, const char* problem, std::size_t number);

  LogDirectory& directory_;
  RecoveryReport& report_;
  std::vector<Segment> segments_;                // by number
  std::set<std::uint64_t> knownSyncedSegments_;  // according to sync marks
  std::uint64_t newestNumber_ = 0;               // of all segments found
  bool removedTail_ = false;                     // segments after a torn tail have been removed
};

}  // namespace finchstile::wal
