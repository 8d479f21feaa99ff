#include "trace/log_merger.hpp"

#include <algorithm>
#include <tuple>

namespace finchstile::trace {
namespace {

// `Processes`: GatewayProcesses, const or not.
template <class Processes>
auto findProcess(Processes& all, const std::string& gateway, std::int64_t atUs) {
  const auto found = all.find(gateway);
  decltype(found->second.data()) latest = nullptr;
  if (found == all.end()) return latest;
  for (auto& process : found->second)
    if (process.startedAtUs <= atUs) latest = &process;
  return latest;
}

}  // namespace

const GatewayProcess* processAt(const GatewayProcesses& processes, const std::string& gateway,
                                std::int64_t atUs) {
  return findProcess(processes, gateway, atUs);
}

bool LogMerger::HostAtGateway::operator<(const HostAtGateway& other) const {
  return std::tie(gateway, host) < std::tie(other.gateway, other.host);
}

void LogMerger::add(const TraceLine& line) {
  ++lineCount_;
  const std::int64_t writtenAtUs = timeOf(line);
  if (firstLineAtUs_ == 0 || writtenAtUs < firstLineAtUs_) firstLineAtUs_ = writtenAtUs;
  std::visit([this](const auto& record) { addRecord(record); }, line);
}

void LogMerger::addRecord(const AttemptLine& attempt) { histories_[attempt.id].attempts.push_back(attempt); }

void LogMerger::addRecord(const RequestLine& request) { histories_[request.id].requests.push_back(request); }

void LogMerger::addRecord(const HostLine& host) { hostPhases_[{host.gateway, host.host}].push_back(host); }

void LogMerger::addRecord(const StartLine& start) { starts_.push_back(start); }

void LogMerger::addRecord(const StopLine& stop) { stops_.push_back(stop); }

void LogMerger::addRecord(const GapLine& gap) {
  gaps_.push_back(gap);
  missingLines_ += gap.lines;
}

RequestHistory LogMerger::history(const std::string& id) const {
  const auto found = histories_.find(id);
  return found == histories_.end() ? RequestHistory{} : sorted(found->second);
}

GatewayProcesses LogMerger::processes() const {
  GatewayProcesses processes;
  std::vector<StartLine> starts = starts_;
  std::sort(starts.begin(), starts.end(),
            [](const StartLine& a, const StartLine& b) { return a.atUs < b.atUs; });
  for (const StartLine& start : starts) processes[start.gateway].push_back({start.atUs, 0, 0, false});
  for (const StopLine& stop : stops_) {
    GatewayProcess* const process = findProcess(processes, stop.gateway, stop.atUs);
    if (process == nullptr) continue;
    process->stoppedAtUs = stop.atUs;
    process->openRequests = stop.openRequests;
  }
  for (const GapLine& gap : gaps_) {
    GatewayProcess* const process = findProcess(processes, gap.gateway, gap.atUs);
    if (process != nullptr) process->hasGap = true;
  }
  return processes;
}

const HostLine* LogMerger::hostPhaseAt(const std::string& gateway, const std::string& host,
                                       std::int64_t atUs) const {
  const auto found = hostPhases_.find({gateway, host});
  if (found == hostPhases_.end()) return nullptr;
  const HostLine* latest = nullptr;
  for (const HostLine& record : found->second)
    if (record.atUs <= atUs && (latest == nullptr || record.atUs >= latest->atUs)) latest = &record;
  return latest;
}

}  // namespace finchstile::trace
