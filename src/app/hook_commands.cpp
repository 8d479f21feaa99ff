#include "app/hook_commands.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "app/commands.hpp"
#include "hook/bytecode.hpp"
#include "hook/disassembler.hpp"
#include "hook/expectations.hpp"
#include "hook/hook_loader.hpp"
#include "hook/interpreter.hpp"

namespace finchstile {
namespace {

using hook::Expectation;
using hook::Handler;
using hook::RunBudget;
using hook::RunInput;
using hook::RunResult;

constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

// Returns the exit code of a command that found problems.
int reportProblems(const std::vector<std::string>& problems) {
  for (const std::string& problem : problems) std::fprintf(stderr, "%s\n", problem.c_str());
  return kExitCheck;
}

// Returns whether the file was written.
bool writeBytecode(const std::string& path, const hook::Program& program) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << hook::encode(program);
  file.close();
  return static_cast<bool>(file);
}

void checkHook(const std::string& file, const std::string& bytecodePath, std::vector<std::string>& problems) {
  const auto loaded = hook::loadHook(file, problems);
  if (!loaded) return;
  const auto failed = hook::runExpectations(*loaded->executable, loaded->expectations, RunBudget{});
  for (const hook::Problem& problem : failed) problems.push_back(describe(file, problem));
  if (!failed.empty()) return;
  const hook::Program& program = loaded->executable->program();
  std::printf("%s: good: hook %s, %zu instructions, %zu expectations hold\n", file.c_str(),
              program.name.c_str(), program.code.size(), loaded->expectations.size());
  if (!bytecodePath.empty() && !writeBytecode(bytecodePath, program))
    problems.push_back(bytecodePath + ": cannot be written");
}

int checkHooks(const std::vector<std::string>& files, const std::string& bytecodePath) {
  std::vector<std::string> problems;
  for (const std::string& file : files) checkHook(file, bytecodePath, problems);
  return problems.empty() ? 0 : reportProblems(problems);
}

int showHook(const std::string& file) {
  std::vector<std::string> problems;
  const auto loaded = hook::loadHook(file, problems);
  if (!loaded) return reportProblems(problems);
  std::fputs(hook::disassemble(loaded->executable->program()).c_str(), stdout);
  return 0;
}

// The options of `hook run`.
struct HookRunOptions {
  std::string file;
  std::string handler = "request";
  Expectation given;
  std::vector<std::string> headers;          // NAME=VALUE
  std::vector<std::string> responseHeaders;  // NAME=VALUE
  std::int64_t status = 200;
  std::int64_t attempt = 1;
  std::int64_t timeLeftMs = 1000;
};

// Options without '=' are ignored.
std::vector<Expectation::Pair> parsePairs(const std::vector<std::string>& options) {
  std::vector<Expectation::Pair> pairs;
  for (const std::string& option : options) {
    const std::size_t equals = option.find('=');
    if (equals != std::string::npos) pairs.push_back({option.substr(0, equals), option.substr(equals + 1)});
  }
  return pairs;
}

Handler handlerOf(const std::string& name) {
  if (name == "request") return Handler::request;
  return name == "attempt" ? Handler::attempt : Handler::response;
}

RunInput inputOf(const HookRunOptions& options, Handler handler) {
  RunInput input = hook::inputOf(options.given);
  input.timeLeftNs = options.timeLeftMs * kNanosecondsPerMillisecond;
  input.attempt = options.attempt;
  input.responseStatus = options.status;
  input.responseFromHost = true;
  input.mayReject = handler == Handler::request;
  return input;
}

void printResult(const RunResult& result, const hook::Program& program) {
  const auto text = [](std::string_view view) { return std::string(view); };
  for (std::size_t i = 0; i < result.headerCount; ++i)
    std::printf("set header %s: %s\n", text(result.headers[i].name).c_str(),
                text(result.headers[i].value).c_str());
  for (std::size_t i = 0; i < result.tagCount; ++i)
    std::printf("tag %s=%s\n", text(result.tags[i].name).c_str(), text(result.tags[i].value).c_str());
  for (std::size_t i = 0; i < result.countCount; ++i)
    std::printf("count %s\n", program.counters[result.counts[i]].c_str());
  for (std::size_t i = 0; i < result.logCount; ++i) std::printf("log %s\n", text(result.logs[i]).c_str());
  if (result.fault != hook::Fault::none)
    std::printf("fault on line %u: %s\n", result.faultLine, text(describe(result.fault)).c_str());
  else if (result.rejectStatus != 0)
    std::printf("reject %lld: %s\n", static_cast<long long>(result.rejectStatus),
                text(result.rejectReason).c_str());
  else std::printf("pass\n");
  std::printf("%llu instructions, %llu bytes\n", static_cast<unsigned long long>(result.instructions),
              static_cast<unsigned long long>(result.bytes));
}

int runHook(const HookRunOptions& options) {
  std::vector<std::string> problems;
  const auto loaded = hook::loadHook(options.file, problems);
  if (!loaded) return reportProblems(problems);
  const Handler handler = handlerOf(options.handler);
  if (!loaded->executable->handles(handler))
    return reportProblems({options.file + ": has no `on " + options.handler + "`"});
  const auto requestPairs = parsePairs(options.headers);
  const auto responsePairs = parsePairs(options.responseHeaders);
  const hook::ExpectationHeaders requestHeaders(requestPairs);
  const hook::ExpectationHeaders responseHeaders(responsePairs);
  RunInput input = inputOf(options, handler);
  input.requestHeaders = &requestHeaders;
  input.responseHeaders = &responseHeaders;
  hook::Interpreter interpreter;
  printResult(interpreter.run(*loaded->executable, handler, input, RunBudget{}),
              loaded->executable->program());
  return 0;
}

void addCheckCommand(CLI::App& hooks, std::function<int()>& selectedCommand) {
  const auto files = std::make_shared<std::vector<std::string>>();
  const auto bytecodePath = std::make_shared<std::string>();
  CLI::App* command = hooks.add_subcommand("check", "compile, verify, and run the hook's own expectations");
  command->add_option("file", *files, "sources or bytecode")->required();
  command->add_option("--bytecode", *bytecodePath, "write the bytecode of the (last) hook here");
  command->callback(
      [=, &selectedCommand] { selectedCommand = [=] { return checkHooks(*files, *bytecodePath); }; });
}

void addShowCommand(CLI::App& hooks, std::function<int()>& selectedCommand) {
  const auto file = std::make_shared<std::string>();
  CLI::App* command = hooks.add_subcommand("show", "print a hook's instructions");
  command->add_option("file", *file, "source or bytecode")->required();
  command->callback([=, &selectedCommand] { selectedCommand = [=] { return showHook(*file); }; });
}

void addRunCommand(CLI::App& hooks, std::function<int()>& selectedCommand) {
  const auto options = std::make_shared<HookRunOptions>();
  CLI::App* command = hooks.add_subcommand("run", "run one handler on a request given here");
  command->add_option("file", options->file, "source or bytecode")->required();
  command->add_option("--on", options->handler, "the handler")
      ->check(CLI::IsMember({"request", "attempt", "answer"}));
  command->add_option("--class", options->given.className, "the request's class");
  command->add_option("--method", options->given.method, "GET unless given");
  command->add_option("--path", options->given.path, "without the query");
  command->add_option("--query", options->given.query, "behind the '?'");
  command->add_option("--tenant", options->given.tenant, "the tenant");
  command->add_option("--body", options->given.body, "the body");
  command->add_option("--header", options->headers, "NAME=VALUE, of the request; may be repeated");
  command->add_option("--answer-header", options->responseHeaders,
                      "NAME=VALUE, of the answer; may be repeated");
  command->add_option("--status", options->status, "of the answer")->check(CLI::Range(100, 599));
  command->add_option("--attempt", options->attempt, "the attempt's number")->check(CLI::Range(1, 100));
  command->add_option("--time-left-ms", options->timeLeftMs, "of the client")
      ->check(CLI::Range(0, 3'600'000));
  command->callback([=, &selectedCommand] { selectedCommand = [=] { return runHook(*options); }; });
}

}  // namespace

void addHookCommands(CLI::App& app, std::function<int()>& selectedCommand) {
  CLI::App* hooks = app.add_subcommand("hook", "check, run or show a hook");
  hooks->require_subcommand(1);
  addCheckCommand(*hooks, selectedCommand);
  addShowCommand(*hooks, selectedCommand);
  addRunCommand(*hooks, selectedCommand);
}

}  // namespace finchstile
