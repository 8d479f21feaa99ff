// Totals of merged attempt logs by host, second, gateway or request class. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trace/log_merger.hpp"

namespace finchstile::trace {

enum class GroupBy { host, second, gateway, className };

struct LogTotals {
  // Attempts, by outcome.
  std::size_t attempts = 0;
  std::size_t served = 0;
  std::size_t rejectedForCapacity = 0;
  std::size_t failed = 0;  // outcomes `error` and `invalidRequest`
  std::size_t lost = 0;    // outcomes `reset` and `timeout`
  std::size_t connectFailed = 0;
  std::size_t cancelled = 0;       // before or after they were sent
  std::uint64_t servedTimeUs = 0;  // of served attempts, from the choice of the host to the end

  // Requests, by their end. Zero if grouped by host.
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t rejected = 0;
  std::size_t rejectedWithoutAttempt = 0;  // part of `rejected`
  std::size_t errored = 0;
  std::size_t clientDisconnected = 0;
};

// The totals by the name of their group. Seconds are counted from the first line of the log and have leading
// zeros.
std::map<std::string, LogTotals> totalsBy(const LogMerger& log, GroupBy groupBy);

}  // namespace finchstile::trace
