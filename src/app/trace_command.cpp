#include "app/trace_command.hpp"

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/commands.hpp"
#include "operator/reader.hpp"
#include "trace/join.hpp"

namespace finchstile {
namespace {

constexpr std::size_t kProblemsShown = 20;
constexpr std::size_t kFindingsShown = 200;

using By = trace::Join::By;
const std::map<std::string, By> kBy{
    {"host", By::host}, {"second", By::second}, {"gateway", By::gateway}, {"class", By::className}};

struct Options {
  std::vector<std::string> files, ids;
  std::string by;
  bool audit = false;
  std::string slack = "50ms", grace = "500ms", clocks = "0ms";
};

bool readSpan(const char* option, const std::string& text, std::int64_t& out) {
  const auto span = parseDuration(text);
  if (!span) {
    std::fprintf(stderr, "finchstile: %s is '%s', not a time as 50ms or 1.5s\n", option, text.c_str());
    return false;
  }
  out = std::chrono::duration_cast<std::chrono::microseconds>(*span).count();
  return true;
}

struct Read {
  std::size_t other = 0, bad = 0, unreadable = 0;
};

// A line that can't be read is told with its file and number, and the others count.
Read readAll(const std::vector<std::string>& files, trace::Join& join) {
  Read sum;
  for (const std::string& path : files) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
      std::fprintf(stderr, "finchstile: %s cannot be read\n", path.c_str());
      ++sum.unreadable;
      continue;
    }
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
      ++number;
      const trace::Parsed parsed = trace::parse(line);
      if (parsed.kind == trace::Parsed::Kind::line) join.add(parsed.line);
      else if (parsed.kind == trace::Parsed::Kind::other) ++sum.other;
      else if (++sum.bad <= kProblemsShown)
        std::fprintf(stderr, "%s:%zu: %s\n", path.c_str(), number, parsed.problem.c_str());
    }
  }
  if (sum.bad > kProblemsShown) std::fprintf(stderr, "and %zu more\n", sum.bad - kProblemsShown);
  return sum;
}

void showSums(const trace::Join& join, const std::string& by) {
  std::printf("%-24s %9s %8s %8s %8s %8s %8s %8s %9s %8s %8s %8s %8s %8s\n", by.c_str(), "attempts", "served",
              "full", "failed", "lost", "no_conn", "off", "mean_ms", "requests", "answered", "refused",
              "unsent", "errored");
  for (const auto& [key, s] : join.sums(kBy.at(by)))
    std::printf("%-24s %9zu %8zu %8zu %8zu %8zu %8zu %8zu %9.1f %8zu %8zu %8zu %8zu %8zu\n", key.c_str(),
                s.attempts, s.served, s.full, s.failed, s.lost, s.unconnected, s.calledOff,
                s.served ? static_cast<double>(s.takenUs) / 1000 / static_cast<double>(s.served) : 0.0,
                s.requests, s.answered, s.refused, s.unsent, s.errored);
}

int showAudit(const trace::Join& join, const trace::AuditSettings& settings) {
  const auto findings = join.audit(settings);
  std::map<std::string_view, std::size_t> kinds;
  std::size_t shown = 0;
  for (const trace::Finding& f : findings) {
    ++kinds[trace::name(f.kind)];
    if (++shown <= kFindingsShown)
      std::printf("%lld %s %s %s: %s\n", static_cast<long long>(f.at), trace::name(f.kind), f.gateway.c_str(),
                  f.id.empty() ? "-" : f.id.c_str(), f.text.c_str());
  }
  if (shown > kFindingsShown) std::printf("and %zu more\n", shown - kFindingsShown);
  for (const auto& [kind, count] : kinds) std::printf("%s: %zu\n", std::string(kind).c_str(), count);
  std::printf("%zu requests, %zu lines, %llu lines missing: %zu findings\n", join.requests(), join.lines(),
              static_cast<unsigned long long>(join.missing()), findings.size());
  return findings.empty() ? 0 : kExitCheck;
}

int run(const Options& o) {
  trace::AuditSettings settings;
  if (!readSpan("--slack", o.slack, settings.slackUs) || !readSpan("--grace", o.grace, settings.graceUs) ||
      !readSpan("--clocks", o.clocks, settings.clocksUs))
    return kExitUsage;
  trace::Join join;
  const Read read = readAll(o.files, join);
  if (read.unreadable > 0) return kExitFailed;
  int code = read.bad > 0 ? kExitCheck : 0;
  for (const std::string& id : o.ids) {
    const trace::Story story = join.story(id);
    if (story.attempts.empty() && story.requests.empty()) {
      std::fprintf(stderr, "finchstile: no line names the request %s\n", id.c_str());
      code = kExitCheck;
      continue;
    }
    std::printf("%s\n%s", id.c_str(), trace::tell(story).c_str());
  }
  if (!o.by.empty()) showSums(join, o.by);
  if (o.audit) code = std::max(code, showAudit(join, settings));
  else if (o.ids.empty() && o.by.empty())
    std::printf("%zu requests, %zu lines, %llu lines missing, %zu lines of other kinds\n", join.requests(),
                join.lines(), static_cast<unsigned long long>(join.missing()), read.other);
  return code;
}

}  // namespace

void addTraceCommand(CLI::App& app, std::function<int()>& chosen) {
  auto o = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand("trace", "logs of attempts of many gateways, put together");
  command->add_option("files", o->files, "logs that [trace] had written, or standard error's")->required();
  command->add_option("--id", o->ids, "one request's way through all gateways; more than once for more");
  command->add_option("--by", o->by, "sums by host, second, gateway or class")->check(CLI::IsMember(kBy));
  command->add_flag("--audit", o->audit, "what the lines show of the rules; findings end with code 3");
  command->add_option("--slack", o->slack, "by which each time limit is longer")->capture_default_str();
  command->add_option("--grace", o->grace, "in which a draining host may still be sent to")
      ->capture_default_str();
  command->add_option("--clocks", o->clocks, "by which the clocks of two gateways may differ")
      ->capture_default_str();
  command->callback([&chosen, o] { chosen = [o] { return run(*o); }; });
}

}  // namespace finchstile
