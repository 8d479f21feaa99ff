// The file of the attempt log. A separate thread writes it, so that a slow disk does not delay the event
// loop. The sizes of the queue and of the file are limited.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

namespace finchstile {

// The file could not be opened for appending. The text names the path and the reason.
class TraceFileError : public std::runtime_error {
 public:
  TraceFileError(const std::string& path, int errorNumber);
  int errorNumber() const { return errorNumber_; }  // errno's value

 private:
  int errorNumber_;
};

class TraceFile {
 public:
  // `path`: empty for standard error, which is never renamed. A file that has reached `maxFileBytes` is
  // renamed to PATH.1, where it replaces an earlier one, and a new file is opened. `maxQueuedBytes`: limit of
  // the queue of the writer thread. Throws TraceFileError if the file cannot be opened for appending.
  TraceFile(std::string path, std::size_t maxFileBytes, std::size_t maxQueuedBytes);
  // Writes what is still queued.
  ~TraceFile();
  TraceFile(const TraceFile&) = delete;
  TraceFile& operator=(const TraceFile&) = delete;

  // Queues complete lines. Returns false, and queues none of them, if the queue would exceed its limit.
  bool write(const std::string& lines);

  // Returns the number of queued lines that could not be written since the last call, and resets it.
  std::uint64_t takeLostLines();

 private:
  void runWriter();
  void writeBlock(std::string block);
  std::size_t writeAll(const std::string& block) const;
  void rotate();
  void openFile();

  const std::string path_;
  const std::size_t maxFileBytes_;
  const std::size_t maxQueuedBytes_;

  // Used by the writer thread only, once it runs.
  int descriptor_ = -1;
  std::size_t fileBytes_ = 0;
  bool endsWithinLine_ = false;  // the last write ended within a line

  std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  std::string queue_;
  std::uint64_t lostLines_ = 0;
  bool stopping_ = false;

  std::thread writer_;
};

}  // namespace finchstile
