// Reads the records of a segment and skips torn and damaged parts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "wal/segment_format.hpp"

namespace finchstile::wal {

using OnRecord = std::function<void(std::string_view record)>;

struct SegmentContents {
  bool hasHeader = false;
  SegmentHeader header;
  std::size_t readableBytes = 0;  // up to the end of the last record before any unreadable part
  bool unreadable = false;        // a part cannot be read
  // An unreadable part is followed by readable records, so it is not a torn tail.
  bool readableAfterUnreadable = false;
  std::vector<std::uint64_t> syncedSegments;  // according to sync marks in this segment
};

// Calls `onRecord` for each readable record except the header, in order.
SegmentContents readSegment(std::string_view bytes, const OnRecord& onRecord);

}  // namespace finchstile::wal
