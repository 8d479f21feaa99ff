#include "app/trace_log.hpp"

#include <algorithm>

#include "base/file_name.hpp"
#include "trace/request_sampling.hpp"
#include "trace/trace_line_codec.hpp"

namespace finchstile {
namespace {

using load_balancing::Duration;
using load_balancing::Outcome;
using load_balancing::Time;
using trace::EndReason;
using trace::Execution;

constexpr std::chrono::milliseconds kFlushInterval(200);
constexpr std::size_t kFlushBytes = std::size_t{64} * 1024;

std::string expandName(std::string path, const std::string& gateway) {
  static constexpr std::string_view kPlaceholder = "{name}";
  const std::string name = fileNameOf(gateway);
  std::size_t at = path.find(kPlaceholder);
  while (at != std::string::npos) {
    path.replace(at, kPlaceholder.size(), name);
    at = path.find(kPlaceholder, at + name.size());
  }
  return path;
}

Execution executionOf(Outcome outcome) {
  if (!load_balancing::mayHaveRun(outcome)) return Execution::no;
  const bool ran = outcome == Outcome::served || outcome == Outcome::invalidRequest;
  return ran ? Execution::yes : Execution::maybe;
}

EndReason endReasonOf(const AttemptLogEntry& attempt) {
  if (attempt.timedOut) return EndReason::timeLimit;
  const bool givenUp = attempt.outcome == Outcome::cancelled || attempt.outcome == Outcome::notSent;
  if (!givenUp) return EndReason::host;
  return attempt.requestEnded ? EndReason::requestEnded : EndReason::abandoned;
}

trace::RequestEnd endOf(RequestResult result) {
  switch (result) {
    case RequestResult::served: return trace::RequestEnd::served;
    case RequestResult::rejected: return trace::RequestEnd::rejected;
    case RequestResult::failed: return trace::RequestEnd::failed;
    case RequestResult::rejectedByFilter: return trace::RequestEnd::rejectedByFilter;
    case RequestResult::clientDisconnected: return trace::RequestEnd::clientDisconnected;
  }
  return trace::RequestEnd::failed;
}

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// The age at `now` of an event at `at`; kNever for a time of 0.
std::int64_t ageMs(Time at, Time now) {
  return at == Time{} ? trace::kNever : toMilliseconds(std::max(now - at, Duration{}));
}

}  // namespace

TraceLog::TraceLog(boost::asio::io_context& io, const Clock& clock, const trace::TraceSettings& settings,
                   const std::string& gateway)
    : clock_(clock),
      settings_(settings),
      gateway_(gateway),
      file_(expandName(settings.file, gateway), settings.maxFileBytes, settings.maxQueuedBytes),
      rateLimiter_(settings.linesPerSecond, clock.now()),
      flushTimer_(io) {
  add(trace::StartLine{gateway_, unixMicrosecondsNow()});
  scheduleFlush();
}

std::int64_t TraceLog::unixMicroseconds(Time at) const {
  if (at == Time{}) return 0;
  return std::chrono::duration_cast<std::chrono::microseconds>(clock_.unixAt(at)).count();
}

std::int64_t TraceLog::unixMicrosecondsNow() const { return unixMicroseconds(clock_.now()); }

void TraceLog::fillIdentity(trace::RequestIdentity& identity, std::string_view id,
                            const load_balancing::ClassSettings& classSettings) const {
  identity.gateway = gateway_;
  identity.id = id;
  identity.className = classSettings.name;
  identity.idempotency = classSettings.idempotency;
}

void TraceLog::onAttempt(const AttemptLogEntry& attempt) {
  if (!trace::isSampled(attempt.id, settings_.sampleFraction)) return;
  trace::AttemptLine line;
  fillIdentity(line, attempt.id, attempt.classSettings);
  line.host = attempt.host;
  line.zone = attempt.zone;
  line.cell = attempt.cell;
  line.chosenAtUs = unixMicroseconds(attempt.chosenAt);
  line.firstByteAtUs = unixMicroseconds(attempt.firstByteAt);
  line.endedAtUs = unixMicrosecondsNow();
  line.attemptNumber = attempt.number;
  line.deduplicationScope = attempt.classSettings.deduplicationScope;
  line.deduplicationWindowMs = toMilliseconds(attempt.classSettings.deduplicationWindow);
  line.outcome = attempt.outcome;
  line.endReason = endReasonOf(attempt);
  line.execution = executionOf(attempt.outcome);
  const HostObservation& host = attempt.hostObservation;
  line.listingAgeMs = ageMs(host.lastListedAt, attempt.chosenAt);
  line.responseAgeMs = ageMs(host.lastResponseAt, attempt.chosenAt);
  line.uptimeMs = std::max(ageMs(host.startedAt, attempt.chosenAt), std::int64_t{0});
  line.avoided = host.avoided;
  line.connectionPort = attempt.connection.localPort;
  const Time lastResponseAt = attempt.connection.lastResponseAt;
  if (lastResponseAt != Time{})
    line.connectionRestUs = unixMicroseconds(attempt.firstByteAt) - unixMicroseconds(lastResponseAt);
  add(line);
}

void TraceLog::onRequest(const RequestLogEntry& request) {
  if (!trace::isSampled(request.id, settings_.sampleFraction)) return;
  trace::RequestLine line;
  fillIdentity(line, request.id, request.classSettings);
  line.arrivedAtUs = unixMicroseconds(request.arrivedAt);
  line.endedAtUs = unixMicrosecondsNow();
  line.timeLeftMs = toMilliseconds(request.timeLeft);
  line.end = endOf(request.result);
  line.status = request.status;
  line.attempts = static_cast<std::uint32_t>(request.attempts);
  line.admissionCutoff = static_cast<std::uint32_t>(std::max(request.cutoff, 0.0));
  add(line);
}

void TraceLog::onHostPhase(const std::string& host, load_balancing::HostPhase phase) {
  add(trace::HostLine{gateway_, host, unixMicrosecondsNow(), phase});
}

void TraceLog::stop(std::size_t openRequests) {
  add(trace::StopLine{gateway_, unixMicrosecondsNow(), openRequests});
  flush();
}

void TraceLog::add(const trace::TraceLine& line) {
  if (!rateLimiter_.tryAcquire(clock_.now())) return;
  trace::appendLine(buffer_, line);
  ++bufferedLines_;
  if (buffer_.size() >= kFlushBytes) flush();
}

// docs/operators/trace.md documents this form. The line must not start like a line of the attempt log, since
// both may go to standard error.
std::string TraceLog::summary() const {
  return "attempt_log written=" + std::to_string(writtenLines_) +
         " left_out=" + std::to_string(droppedLines_);
}

void TraceLog::flush() {
  rateLimiter_.recordDropped(file_.takeLostLines());
  const std::uint64_t dropped = rateLimiter_.takeDropped();
  // Without a gap line an audit could take dropped lines for a violation, or overlook one.
  if (dropped > 0) trace::appendLine(buffer_, trace::GapLine{gateway_, unixMicrosecondsNow(), dropped});
  if (buffer_.empty()) return;
  if (file_.write(buffer_)) {
    writtenLines_ += bufferedLines_;
    droppedLines_ += dropped;
  } else {
    rateLimiter_.recordDropped(bufferedLines_ + dropped);  // reported by the next gap line that is written
  }
  buffer_.clear();
  bufferedLines_ = 0;
}

void TraceLog::scheduleFlush() {
  flushTimer_.expires_after(kFlushInterval);
  flushTimer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    flush();
    scheduleFlush();
  });
}

}  // namespace finchstile
