#include "wal/segment_writer.hpp"

#include <algorithm>

#include "base/crc32.hpp"
#include "base/little_endian.hpp"

namespace finchstile::wal {

bool SegmentWriter::appendSyncMark(std::uint64_t segment) {
  std::string record;
  putLittleEndian(record, segment);
  // A mark is a single fragment. If it does not fit into the block, the rest of the block is filled with a
  // mark of another length, which readers ignore.
  const std::size_t space = spaceInBlock();
  if (space >= kFragmentHeaderBytes && space < kFragmentHeaderBytes + record.size()) {
    const std::string filler(space - kFragmentHeaderBytes, '\0');
    if (!append(filler, FragmentKind::syncMark)) return false;
  }
  return append(record, FragmentKind::syncMark);
}

bool SegmentWriter::append(std::string_view record, FragmentKind kindOfWhole) {
  buffer_.clear();
  bool started = false;
  for (;;) {
    if (spaceInBlock() < kFragmentHeaderBytes) {
      const std::size_t padding = spaceInBlock();
      buffer_.append(padding, '\0');
      bytes_ += padding;
    }
    const std::size_t length = std::min(record.size(), spaceInBlock() - kFragmentHeaderBytes);
    const bool last = length == record.size();
    const FragmentKind kind = started ? (last ? FragmentKind::lastOfRecord : FragmentKind::middleOfRecord)
                                      : (last ? kindOfWhole : FragmentKind::firstOfRecord);
    addFragment(record.substr(0, length), kind);
    record.remove_prefix(length);
    if (last) return file_->append(buffer_);
    started = true;
  }
}

void SegmentWriter::addFragment(std::string_view payload, FragmentKind kind) {
  std::string covered;  // by the checksum
  putLittleEndian(covered, static_cast<std::uint16_t>(payload.size()));
  covered += static_cast<char>(kind);
  covered += payload;
  putLittleEndian(buffer_, crc32(covered));
  buffer_ += covered;
  bytes_ += kFragmentHeaderBytes + payload.size();
}

}  // namespace finchstile::wal
