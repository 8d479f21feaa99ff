#include "app/trace_log.hpp"

#include <algorithm>

#include "base/file_name.hpp"

namespace finchstile {
namespace {

using load_balancing::Outcome;
using load_balancing::Time;
using trace::Ran;
using trace::Why;

constexpr std::chrono::milliseconds kFlush(200);
constexpr std::size_t kFlushBytes = 64 * 1024;

std::string fileFor(std::string path, const std::string& gateway) {
  const std::string name = fileNameOf(gateway);
  static constexpr std::string_view kName = "{name}";
  for (std::size_t at = path.find(kName); at != std::string::npos; at = path.find(kName, at + name.size()))
    path.replace(at, kName.size(), name);
  return path;
}

Ran ranOf(Outcome outcome) {
  if (!load_balancing::mayHaveRun(outcome)) return Ran::no;
  return outcome == Outcome::served || outcome == Outcome::invalidRequest ? Ran::yes : Ran::maybe;
}

Why whyOf(const AttemptLogEntry& a) {
  if (a.timedOut) return Why::limit;
  if (a.outcome != Outcome::cancelled && a.outcome != Outcome::notSent) return Why::host;
  return a.requestEnded ? Why::over : Why::again;
}

trace::End endOf(RequestResult end) {
  switch (end) {
    case RequestResult::served: return trace::End::served;
    case RequestResult::rejected: return trace::End::refused;
    case RequestResult::failed: return trace::End::failed;
    case RequestResult::rejectedByFilter: return trace::End::rejected;
    case RequestResult::clientDisconnected: return trace::End::left;
  }
  return trace::End::failed;
}

std::int64_t inMs(load_balancing::Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace

TraceLog::TraceLog(boost::asio::io_context& io, const Clock& clock, const trace::TraceSettings& settings,
                   const std::string& gateway)
    : clock_(clock),
      settings_(settings),
      gateway_(gateway),
      file_(fileFor(settings.file, gateway), settings.fileMost, settings.waitingMost),
      budget_(settings.linesPerSecond, clock.now()),
      timer_(io) {
  add(trace::StartLine{gateway_, unixUs(clock_.now())});
  waitToFlush();
}

std::int64_t TraceLog::unixUs(Time at) const {
  if (at == Time{}) return 0;
  return std::chrono::duration_cast<std::chrono::microseconds>(clock_.unixAt(at)).count();
}

std::int64_t TraceLog::ageMs(Time since, Time at) const {
  return since == Time{} ? trace::kNever : inMs(std::max(at - since, load_balancing::Duration{}));
}

void TraceLog::describe(trace::About& about, std::string_view id,
                        const load_balancing::ClassSettings& type) const {
  about.gateway = gateway_;
  about.id = id;
  about.className = type.name;
  about.effect = type.idempotency;
}

void TraceLog::onAttempt(const AttemptLogEntry& a) {
  if (!trace::chosen(a.id, settings_.share)) return;
  trace::AttemptLine line;
  describe(line, a.id, a.classSettings);
  line.host = a.host;
  line.zone = a.zone;
  line.cell = a.cell;
  line.sent = unixUs(a.chosenAt);
  line.begun = unixUs(a.firstByteAt);
  line.ended = unixUs(clock_.now());
  line.number = a.number;
  line.group = a.classSettings.deduplicationScope;
  line.window = inMs(a.classSettings.deduplicationWindow);
  line.outcome = a.outcome;
  line.why = whyOf(a);
  line.ran = ranOf(a.outcome);
  line.word = ageMs(a.hostObservation.lastListedAt, a.chosenAt);
  line.heard = ageMs(a.hostObservation.lastResponseAt, a.chosenAt);
  line.up = std::max(ageMs(a.hostObservation.startedAt, a.chosenAt), std::int64_t{0});
  line.avoided = a.hostObservation.avoided;
  add(line);
}

void TraceLog::onRequest(const RequestLogEntry& r) {
  if (!trace::chosen(r.id, settings_.share)) return;
  trace::RequestLine line;
  describe(line, r.id, r.classSettings);
  line.came = unixUs(r.arrivedAt);
  line.ended = unixUs(clock_.now());
  line.left = inMs(r.timeLeft);
  line.end = endOf(r.result);
  line.status = r.status;
  line.attempts = static_cast<std::uint32_t>(r.attempts);
  line.cut = static_cast<std::uint32_t>(std::max(r.cutoff, 0.0));
  add(line);
}

void TraceLog::onHostPhase(const std::string& host, load_balancing::HostPhase phase) {
  add(trace::HostLine{gateway_, host, unixUs(clock_.now()), phase});
}

void TraceLog::stop(std::size_t open) {
  add(trace::StopLine{gateway_, unixUs(clock_.now()), open});
  flush();
}

void TraceLog::add(const trace::Line& line) {
  if (!budget_.take(clock_.now())) return;
  trace::append(lines_, line);
  ++linesNow_;
  if (lines_.size() >= kFlushBytes) flush();
}

// Danger: it may go to standard error, among the lines; it must be none of them.
std::string TraceLog::summary() const {
  return "attempt_log written=" + std::to_string(written_) + " left_out=" + std::to_string(leftOut_);
}

// Danger: lines that are missing without a word would make a fault of ours look like none, or like one.
void TraceLog::flush() {
  budget_.drop(file_.takeLost());
  const std::uint64_t missing = budget_.takeDropped();
  if (missing > 0) trace::append(lines_, trace::GapLine{gateway_, unixUs(clock_.now()), missing});
  if (lines_.empty()) return;
  if (file_.write(lines_)) written_ += linesNow_, leftOut_ += missing;
  else budget_.drop(linesNow_ + missing);  // told with the next that can be written
  lines_.clear();
  linesNow_ = 0;
}

void TraceLog::waitToFlush() {
  timer_.expires_after(kFlush);
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    flush();
    waitToFlush();
  });
}

}  // namespace finchstile
