// Reads the records of a segment, past torn and damaged parts.
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
  std::size_t readableBytes = 0;  // up to the end of the last record before anything unreadable
  bool unreadable = false;        // some part cannot be read
  bool readableAfterUnreadable =
      false;  // that part is followed by readable records, so it is not a torn tail
  std::vector<std::uint64_t> syncedSegments;  // by the marks in this segment
};

// Calls `onRecord` for each readable record except the header, in order.
SegmentContents readSegment(std::string_view bytes, const OnRecord& onRecord);

}  // namespace finchstile::wal
