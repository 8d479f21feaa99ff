#include "app/trace_command.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/commands.hpp"
#include "operator/reader.hpp"
#include "trace/log_auditor.hpp"
#include "trace/log_merger.hpp"
#include "trace/log_totals.hpp"
#include "trace/request_history.hpp"
#include "trace/trace_line_codec.hpp"

namespace finchstile {
namespace {

using trace::GroupBy;

constexpr std::size_t kMaxShownProblems = 20;
constexpr std::size_t kMaxShownFindings = 200;

const std::map<std::string, GroupBy> kGroupNames{{"host", GroupBy::host},
                                                 {"second", GroupBy::second},
                                                 {"gateway", GroupBy::gateway},
                                                 {"class", GroupBy::className}};

struct Options {
  std::vector<std::string> files;
  std::vector<std::string> ids;
  std::string groupBy;  // empty: no totals
  bool audit = false;
  std::string slack = "50ms";
  std::string drainGrace = "500ms";
  std::string clockSkew = "0ms";
};

// Returns false, after an error message on standard error, if `text` is not a duration.
bool readMicroseconds(const char* option, const std::string& text, std::int64_t& out) {
  const auto duration = parseDuration(text);
  if (!duration) {
    std::fprintf(stderr, "finchstile: %s is '%s', not a time as 50ms or 1.5s\n", option, text.c_str());
    return false;
  }
  out = std::chrono::duration_cast<std::chrono::microseconds>(*duration).count();
  return true;
}

std::optional<trace::AuditSettings> auditSettingsOf(const Options& options) {
  trace::AuditSettings settings;
  if (!readMicroseconds("--slack", options.slack, settings.slackUs)) return std::nullopt;
  if (!readMicroseconds("--grace", options.drainGrace, settings.drainGraceUs)) return std::nullopt;
  if (!readMicroseconds("--clocks", options.clockSkew, settings.clockSkewUs)) return std::nullopt;
  return settings;
}

// Reads log files into a merger. Reports unreadable files and malformed lines on standard error and
// continues.
class LogFileReader {
 public:
  explicit LogFileReader(trace::LogMerger& log) : log_(log) {}

  void read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      std::fprintf(stderr, "finchstile: %s cannot be read\n", path.c_str());
      ++unreadableFiles_;
      return;
    }
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(file, line);) addLine(path, ++lineNumber, line);
  }

  void reportHiddenProblems() const {
    if (malformedLines_ > kMaxShownProblems)
      std::fprintf(stderr, "and %zu more\n", malformedLines_ - kMaxShownProblems);
  }

  std::size_t otherLines() const { return otherLines_; }  // that do not belong to the attempt log
  std::size_t malformedLines() const { return malformedLines_; }
  std::size_t unreadableFiles() const { return unreadableFiles_; }

 private:
  void addLine(const std::string& path, std::size_t lineNumber, const std::string& line) {
    const trace::ParseResult result = trace::parseLine(line);
    switch (result.status) {
      case trace::ParseResult::Status::ok: log_.add(result.line); return;
      case trace::ParseResult::Status::notTrace: ++otherLines_; return;
      case trace::ParseResult::Status::malformed: break;
    }
    if (++malformedLines_ <= kMaxShownProblems)
      std::fprintf(stderr, "%s:%zu: %s\n", path.c_str(), lineNumber, result.error.message.c_str());
  }

  trace::LogMerger& log_;
  std::size_t otherLines_ = 0;
  std::size_t malformedLines_ = 0;
  std::size_t unreadableFiles_ = 0;
};

double meanServedMilliseconds(const trace::LogTotals& totals) {
  if (totals.served == 0) return 0;
  return static_cast<double>(totals.servedTimeUs) / 1000 / static_cast<double>(totals.served);
}

void showTotals(const trace::LogMerger& log, const std::string& groupName) {
  std::printf("%-24s %9s %8s %8s %8s %8s %8s %8s %9s %8s %8s %8s %8s %8s\n", groupName.c_str(), "attempts",
              "served", "full", "failed", "lost", "no_conn", "off", "mean_ms", "requests", "answered",
              "refused", "unsent", "errored");
  for (const auto& [group, totals] : trace::totalsBy(log, kGroupNames.at(groupName)))
    std::printf("%-24s %9zu %8zu %8zu %8zu %8zu %8zu %8zu %9.1f %8zu %8zu %8zu %8zu %8zu\n", group.c_str(),
                totals.attempts, totals.served, totals.rejectedForCapacity, totals.failed, totals.lost,
                totals.connectFailed, totals.cancelled, meanServedMilliseconds(totals), totals.requests,
                totals.answered, totals.rejected, totals.rejectedWithoutAttempt, totals.errored);
}

// Returns the exit code.
int showAudit(const trace::LogMerger& log, const trace::AuditSettings& settings) {
  const std::vector<trace::Finding> findings = trace::audit(log, settings);
  std::map<std::string, std::size_t> countByKind;
  std::size_t shown = 0;
  for (const trace::Finding& finding : findings) {
    ++countByKind[trace::name(finding.kind)];
    if (++shown > kMaxShownFindings) continue;
    std::printf("%lld %s %s %s: %s\n", static_cast<long long>(finding.atUs), trace::name(finding.kind),
                finding.gateway.c_str(), finding.id.empty() ? "-" : finding.id.c_str(), finding.text.c_str());
  }
  if (shown > kMaxShownFindings) std::printf("and %zu more\n", shown - kMaxShownFindings);
  for (const auto& [kind, count] : countByKind) std::printf("%s: %zu\n", kind.c_str(), count);
  std::printf("%zu requests, %zu lines, %llu lines missing: %zu findings\n", log.requestCount(),
              log.lineCount(), static_cast<unsigned long long>(log.missingLines()), findings.size());
  return findings.empty() ? 0 : kExitCheck;
}

// Returns the exit code.
int showTimeline(const trace::LogMerger& log, const std::string& id) {
  const trace::RequestHistory history = log.history(id);
  if (history.attempts.empty() && history.requests.empty()) {
    std::fprintf(stderr, "finchstile: no line names the request %s\n", id.c_str());
    return kExitCheck;
  }
  std::printf("%s\n%s", id.c_str(), trace::formatTimeline(history).c_str());
  return 0;
}

void showSummary(const trace::LogMerger& log, std::size_t otherLines) {
  std::printf("%zu requests, %zu lines, %llu lines missing, %zu lines of other kinds\n", log.requestCount(),
              log.lineCount(), static_cast<unsigned long long>(log.missingLines()), otherLines);
}

int runTrace(const Options& options) {
  const auto auditSettings = auditSettingsOf(options);
  if (!auditSettings) return kExitUsage;
  trace::LogMerger log;
  LogFileReader reader(log);
  for (const std::string& path : options.files) reader.read(path);
  reader.reportHiddenProblems();
  if (reader.unreadableFiles() > 0) return kExitFailed;
  int exitCode = reader.malformedLines() > 0 ? kExitCheck : 0;
  for (const std::string& id : options.ids) exitCode = std::max(exitCode, showTimeline(log, id));
  if (!options.groupBy.empty()) showTotals(log, options.groupBy);
  if (options.audit) exitCode = std::max(exitCode, showAudit(log, *auditSettings));
  else if (options.ids.empty() && options.groupBy.empty()) showSummary(log, reader.otherLines());
  return exitCode;
}

}  // namespace

void addTraceCommand(CLI::App& app, std::function<int()>& selectedCommand) {
  auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand("trace", "logs of attempts of many gateways, put together");
  command->add_option("files", options->files, "logs that [trace] had written, or standard error's")
      ->required();
  command->add_option("--id", options->ids,
                      "one request's way through all gateways; more than once for more");
  command->add_option("--by", options->groupBy, "sums by host, second, gateway or class")
      ->check(CLI::IsMember(kGroupNames));
  command->add_flag("--audit", options->audit, "what the lines show of the rules; findings end with code 3");
  command->add_option("--slack", options->slack, "by which each time limit is longer")->capture_default_str();
  command->add_option("--grace", options->drainGrace, "in which a draining host may still be sent to")
      ->capture_default_str();
  command->add_option("--clocks", options->clockSkew, "by which the clocks of two gateways may differ")
      ->capture_default_str();
  command->callback(
      [&selectedCommand, options] { selectedCommand = [options] { return runTrace(*options); }; });
}

}  // namespace finchstile
