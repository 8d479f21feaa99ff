// Merges the attempt logs of several gateways into the history of each request, the processes of each
// gateway and the host phases that each gateway recorded. Lines may be added in any order. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/request_history.hpp"
#include "trace/trace_line.hpp"

namespace finchstile::trace {

// One process of a gateway. Times are Unix time in microseconds.
struct GatewayProcess {
  std::int64_t startedAtUs = 0;
  std::int64_t stoppedAtUs = 0;    // 0: no orderly end is recorded
  std::uint64_t openRequests = 0;  // at the orderly end
  bool hasGap = false;             // lines of its log are missing
};

// The processes of each gateway, by its name and in order of their start.
using GatewayProcesses = std::map<std::string, std::vector<GatewayProcess>>;

// The latest process of `gateway` that started at or before that time; null if there is none. The result
// points into `processes`.
const GatewayProcess* processAt(const GatewayProcesses& processes, const std::string& gateway,
                                std::int64_t atUs);

class LogMerger {
 public:
  using RequestHistories = std::unordered_map<std::string, RequestHistory>;  // by request id

  void add(const TraceLine& line);

  std::size_t requestCount() const { return histories_.size(); }
  std::size_t lineCount() const { return lineCount_; }
  // Lines that gap records report as dropped.
  std::uint64_t missingLines() const { return missingLines_; }
  // The time of the earliest line, Unix time in microseconds; 0 if there are no lines.
  std::int64_t firstLineAtUs() const { return firstLineAtUs_; }

  // All histories; their records are unsorted.
  const RequestHistories& histories() const { return histories_; }
  // The sorted history of one request; empty if no line has its id.
  RequestHistory history(const std::string& id) const;

  GatewayProcesses processes() const;

  // The latest phase record of `host` that `gateway` wrote at or before that time; null if there is none.
  // Records of an earlier process count, since the next process writes all phases again at its start.
  const HostLine* hostPhaseAt(const std::string& gateway, const std::string& host, std::int64_t atUs) const;

 private:
  struct HostAtGateway {
    std::string gateway;
    std::string host;
    bool operator<(const HostAtGateway& other) const;
  };

  void addRecord(const AttemptLine& attempt);
  void addRecord(const RequestLine& request);
  void addRecord(const HostLine& host);
  void addRecord(const StartLine& start);
  void addRecord(const StopLine& stop);
  void addRecord(const GapLine& gap);

  RequestHistories histories_;
  std::map<HostAtGateway, std::vector<HostLine>> hostPhases_;
  std::vector<StartLine> starts_;
  std::vector<StopLine> stops_;
  std::vector<GapLine> gaps_;
  std::size_t lineCount_ = 0;
  std::uint64_t missingLines_ = 0;
  std::int64_t firstLineAtUs_ = 0;
};

}  // namespace finchstile::trace
