// The file that the log of attempts goes to, written by a thread of its own: a slow disk must not hold up the
// loop. What waits is bounded, and so is the file.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace finchstile {

class TraceFile {
 public:
  // `path` empty: standard error, which is never put aside. `most`: bytes, beyond which the file is renamed
  // to PATH.1, in place of an earlier one, and begun anew. `waitingMost`: bytes that may wait. Throws
  // std::runtime_error, which names the path, if it can't be opened for appending.
  TraceFile(std::string path, std::size_t most, std::size_t waitingMost);
  ~TraceFile();  // writes what still waits
  TraceFile(const TraceFile&) = delete;
  TraceFile& operator=(const TraceFile&) = delete;

  // Whole lines. False: too much waits, and none of it will be written.
  bool write(const std::string& lines);
  // Lines that were taken and then could not be written, since this was last asked.
  std::uint64_t takeLost();

 private:
  void work();
  void put(std::string&& lines);
  void openFile();

  const std::string path_;
  const std::size_t most_, waitingMost_;
  int fd_ = -1;
  std::size_t size_ = 0;
  bool torn_ = false;  // the last line in the file may be cut off
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string waiting_;
  std::uint64_t lost_ = 0;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace finchstile
