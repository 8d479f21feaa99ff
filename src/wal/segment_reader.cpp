#include "wal/segment_reader.hpp"

#include <algorithm>
#include <optional>
#include <string>

#include "base/crc32.hpp"
#include "base/little_endian.hpp"

namespace finchstile::wal {
namespace {

constexpr std::size_t kLengthOffset = sizeof(std::uint32_t);  // after the checksum
constexpr std::size_t kKindOffset = kLengthOffset + sizeof(std::uint16_t);

struct Fragment {
  FragmentKind kind = FragmentKind::none;
  std::string_view payload;

  bool beginsRecord() const {
    return kind == FragmentKind::wholeRecord || kind == FragmentKind::firstOfRecord ||
           kind == FragmentKind::syncMark;
  }
  bool endsRecord() const { return kind == FragmentKind::wholeRecord || kind == FragmentKind::lastOfRecord; }
  std::size_t bytes() const { return kFragmentHeaderBytes + payload.size(); }
};

// `block`: the rest of a block. Returns nothing unless it begins with a fragment whose checksum matches.
std::optional<Fragment> parseFragment(std::string_view block) {
  if (block.size() < kFragmentHeaderBytes) return std::nullopt;
  const std::size_t length = getLittleEndian<std::uint16_t>(block.substr(kLengthOffset));
  const auto kind = static_cast<FragmentKind>(block[kKindOffset]);
  if (block.size() < kFragmentHeaderBytes + length) return std::nullopt;
  if (kind < FragmentKind::wholeRecord || kind > FragmentKind::syncMark) return std::nullopt;
  const std::string_view covered = block.substr(kLengthOffset, kFragmentHeaderBytes - kLengthOffset + length);
  if (getLittleEndian<std::uint32_t>(block) != crc32(covered)) return std::nullopt;
  return Fragment{kind, block.substr(kFragmentHeaderBytes, length)};
}

class SegmentReader {
 public:
  SegmentReader(std::string_view bytes, const OnRecord& onRecord) : bytes_(bytes), onRecord_(onRecord) {}

  SegmentContents read() {
    while (position_ < bytes_.size()) readNext();
    if (withinRecord_) contents_.unreadable = true;
    return contents_;
  }

 private:
  void readNext() {
    const std::size_t spaceInBlock = kBlockBytes - position_ % kBlockBytes;
    const std::size_t nextBlock = position_ + spaceInBlock;
    if (spaceInBlock < kFragmentHeaderBytes) {  // zero padding
      position_ = nextBlock;
      return;
    }
    const auto fragment = parseFragment(bytes_.substr(position_, spaceInBlock));
    const bool inSequence = fragment && fragment->beginsRecord() != withinRecord_ &&
                            record_.size() + fragment->payload.size() <= kMaxRecordBytes;
    if (!inSequence) {
      skip(fragment, nextBlock);
      return;
    }
    position_ += fragment->bytes();
    if (fragment->kind == FragmentKind::syncMark) {
      onSyncMark(fragment->payload);
      return;
    }
    record_.append(fragment->payload);
    withinRecord_ = !fragment->endsRecord();
    if (!withinRecord_) onWholeRecord();
  }

  void skip(const std::optional<Fragment>& fragment, std::size_t nextBlock) {
    contents_.unreadable = true;
    record_.clear();
    // If a fragment begins another record, the rest of the current one is lost. Reading continues at that
    // fragment.
    const bool beginsAnother = fragment && withinRecord_ && fragment->beginsRecord();
    if (!beginsAnother) position_ = fragment ? position_ + fragment->bytes() : nextBlock;
    withinRecord_ = false;
  }

  void onSyncMark(std::string_view payload) {
    if (payload.size() == sizeof(std::uint64_t))
      contents_.syncedSegments.push_back(getLittleEndian<std::uint64_t>(payload));
    markReadable();
  }

  void onWholeRecord() {
    if (!contents_.hasHeader && !contents_.unreadable) {
      contents_.hasHeader = decodeSegmentHeader(record_, contents_.header);
      contents_.unreadable = !contents_.hasHeader;
    } else {
      contents_.readableAfterUnreadable |= contents_.unreadable;
      onRecord_(record_);
    }
    markReadable();
    record_.clear();
  }

  void markReadable() {
    if (!contents_.unreadable) contents_.readableBytes = position_;
  }

  const std::string_view bytes_;
  const OnRecord& onRecord_;
  SegmentContents contents_;
  std::size_t position_ = 0;
  std::string record_;         // those of its fragments that have been read
  bool withinRecord_ = false;  // its last fragment has not been read
};

}  // namespace

SegmentContents readSegment(std::string_view bytes, const OnRecord& onRecord) {
  return SegmentReader(bytes, onRecord).read();
}

}  // namespace finchstile::wal
