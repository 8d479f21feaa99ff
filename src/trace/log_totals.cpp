#include "trace/log_totals.hpp"

#include <array>
#include <cstdio>

namespace finchstile::trace {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

std::string secondOf(const LogMerger& log, std::int64_t atUs) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%06lld",
                static_cast<long long>((atUs - log.firstLineAtUs()) / kMicrosecondsPerSecond));
  return text.data();
}

std::string groupOf(const LogMerger& log, GroupBy groupBy, const AttemptLine& attempt) {
  switch (groupBy) {
    case GroupBy::host: return attempt.host;
    case GroupBy::second: return secondOf(log, attempt.chosenAtUs);
    case GroupBy::gateway: return attempt.gateway;
    case GroupBy::className: break;
  }
  return attempt.className;
}

// `groupBy` must not be `host`: a request record has no host.
std::string groupOf(const LogMerger& log, GroupBy groupBy, const RequestLine& request) {
  if (groupBy == GroupBy::second) return secondOf(log, request.arrivedAtUs);
  return groupBy == GroupBy::gateway ? request.gateway : request.className;
}

void add(LogTotals& totals, const AttemptLine& attempt) {
  ++totals.attempts;
  switch (attempt.outcome) {
    case Outcome::served:
      ++totals.served;
      totals.servedTimeUs += static_cast<std::uint64_t>(attempt.endedAtUs - attempt.chosenAtUs);
      break;
    case Outcome::rejectedForCapacity: ++totals.rejectedForCapacity; break;
    case Outcome::error:
    case Outcome::invalidRequest: ++totals.failed; break;
    case Outcome::reset:
    case Outcome::timeout: ++totals.lost; break;
    case Outcome::connectFailed: ++totals.connectFailed; break;
    case Outcome::cancelled:
    case Outcome::notSent: ++totals.cancelled; break;
  }
}

void add(LogTotals& totals, const RequestLine& request) {
  ++totals.requests;
  switch (request.end) {
    case RequestEnd::served: ++totals.answered; break;
    case RequestEnd::rejected:
      ++totals.rejected;
      if (request.attempts == 0) ++totals.rejectedWithoutAttempt;
      break;
    case RequestEnd::failed:
    case RequestEnd::rejectedByFilter: ++totals.errored; break;
    case RequestEnd::clientDisconnected: ++totals.clientDisconnected; break;
  }
}

}  // namespace

std::map<std::string, LogTotals> totalsBy(const LogMerger& log, GroupBy groupBy) {
  std::map<std::string, LogTotals> totals;
  for (const auto& [id, history] : log.histories()) {
    for (const AttemptLine& attempt : history.attempts) add(totals[groupOf(log, groupBy, attempt)], attempt);
    if (groupBy == GroupBy::host) continue;
    for (const RequestLine& request : history.requests) add(totals[groupOf(log, groupBy, request)], request);
  }
  return totals;
}

}  // namespace finchstile::trace
