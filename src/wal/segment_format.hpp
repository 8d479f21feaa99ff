// The format of a log segment, the file `log-NNNNNNNN`.
//
// A segment consists of blocks of 32 KiB. A record is divided into fragments, none of which crosses the end
// of a block:
//   u32 CRC-32 of all that follows in the fragment, u16 payload length, u8 kind, payload
// so that reading can continue at the next block after damage. If the rest of a block is too short for a
// fragment's header, it is filled with zeros. Integers are little-endian.
//
// The first record is the segment's header: "FWAL1", a u8 that is 1 for a snapshot, which replaces all
// segments before it, else 0, and a u64: the number of valid bytes of the previous segment, since a torn
// tail is not removed from its file. kAllBytes: all of them. kUnknownBytes: the previous segment was not
// synced when this one was begun; once it has been, a fragment of kind `syncMark` with its u64 number
// follows. Only from then on does an unreadable part of it count as damage; before, it is a tail that a
// crash has torn.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace finchstile::wal {

inline constexpr std::size_t kBlockBytes = std::size_t{32} * 1024;
inline constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kFragmentHeaderBytes = 7;

inline constexpr std::uint64_t kAllBytes = ~std::uint64_t{0};
inline constexpr std::uint64_t kUnknownBytes = kAllBytes - 1;

enum class FragmentKind : std::uint8_t {
  none = 0,
  wholeRecord = 1,
  firstOfRecord = 2,
  middleOfRecord = 3,
  lastOfRecord = 4,
  syncMark = 5
};

struct SegmentHeader {
  bool snapshot = false;
  std::uint64_t previousValidBytes = kAllBytes;  // of the previous segment
};

std::string encodeSegmentHeader(const SegmentHeader& header);
// Returns false unless `record` is a header.
bool decodeSegmentHeader(std::string_view record, SegmentHeader& header);

// The name of the file in which a snapshot is written before it replaces the segments.
inline constexpr const char* kUnfinishedSnapshotName = "partial";

// Segments are numbered from 1.
std::string segmentName(std::uint64_t number);
// Returns 0 if the name is not that of a segment.
std::uint64_t segmentNumber(const std::string& name);

}  // namespace finchstile::wal
