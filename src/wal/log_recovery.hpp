// Finds out which segments of a log count after the end of a process, and up to which byte. Tells a torn
// tail, which a crash leaves behind the last sync, from damage within what was synced.
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
  std::string description;         // for the operator: which segments are torn or damaged, and where
};

class LogRecovery {
 public:
  struct Segment {
    std::uint64_t number = 0;
    std::string name;
    SegmentContents contents;
    std::size_t bytes = 0;
    std::size_t validBytes = 0;  // that count; the rest is a torn tail
  };

  // Both references must outlive the recovery.
  LogRecovery(LogDirectory& directory, RecoveryReport& report) : directory_(directory), report_(report) {}

  // To be called first, once. Removes segments that do not count, and describes what is torn or damaged.
  void selectSegments();

  // Makes the removals and the segments that were never synced outlive a crash of the machine. Returns false
  // on failure.
  bool makeDurable();

  // Calls `onRecord` for each record of the selected segments in order.
  void deliver(const OnRecord& onRecord);

  const std::vector<Segment>& segments() const { return segments_; }

  // The number for the next segment. It follows the last selected one, which its header refers to, so the
  // number of a removed segment may be used again.
  std::uint64_t nextNumber() const;
  // How many bytes of the last selected segment count, for the header of the next one.
  std::uint64_t validBytesOfLast() const;

 private:
  void findSegments();
  void readSegments();
  void removeUnstartedSegments();
  void removeSegmentsBeforeSnapshot();
  void checkSegment(std::size_t index);
  void removeFrom(std::size_t index);
  std::string contentOf(const Segment& segment) const;
  void describe(const Segment& segment, const char* what, std::size_t number);

  LogDirectory& directory_;
  RecoveryReport& report_;
  std::vector<Segment> segments_;                // by number
  std::set<std::uint64_t> knownSyncedSegments_;  // by sync marks
  std::uint64_t newestNumber_ = 0;               // of all segments found
  bool removedTail_ = false;                     // segments after a torn tail have been removed
};

}  // namespace finchstile::wal
