#include "trace/trace_line.hpp"

namespace finchstile::trace {

std::int64_t timeOf(const TraceLine& line) {
  struct {
    std::int64_t operator()(const AttemptLine& attempt) const { return attempt.endedAtUs; }
    std::int64_t operator()(const RequestLine& request) const { return request.endedAtUs; }
    std::int64_t operator()(const HostLine& host) const { return host.atUs; }
    std::int64_t operator()(const StartLine& start) const { return start.atUs; }
    std::int64_t operator()(const StopLine& stop) const { return stop.atUs; }
    std::int64_t operator()(const GapLine& gap) const { return gap.atUs; }
  } writtenAt;
  return std::visit(writtenAt, line);
}

const std::string& gatewayOf(const TraceLine& line) {
  return std::visit([](const auto& record) -> const std::string& { return record.gateway; }, line);
}

}  // namespace finchstile::trace
