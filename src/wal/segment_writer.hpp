// Writes records into a segment.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "wal/log_directory.hpp"
#include "wal/segment_format.hpp"

namespace finchstile::wal {

class SegmentWriter {
 public:
  // `file` must be empty. It is shared with sync tasks, which may outlive the writer.
  explicit SegmentWriter(std::shared_ptr<LogFile> file) : file_(std::move(file)) {}

  // Return false on failure. Nothing more may be written then.
  bool append(std::string_view record) { return append(record, FragmentKind::wholeRecord); }
  // Records that the segment of that number has been synced to its end.
  bool appendSyncMark(std::uint64_t segment);

  bool sync() { return file_->sync(); }
  const std::shared_ptr<LogFile>& file() const { return file_; }
  std::size_t bytes() const { return bytes_; }

 private:
  bool append(std::string_view record, FragmentKind kindOfWhole);
  void addFragment(std::string_view payload, FragmentKind kind);
  std::size_t spaceInBlock() const { return kBlockBytes - bytes_ % kBlockBytes; }

  std::shared_ptr<LogFile> file_;
  std::string buffer_;  // of one append()
  std::size_t bytes_ = 0;
};

}  // namespace finchstile::wal
