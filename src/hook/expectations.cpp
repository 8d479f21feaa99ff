#include "hook/expectations.hpp"

#include <algorithm>

#include "hook/headers.hpp"
#include "hook/interpreter.hpp"

namespace finchstile::hook {
namespace {

// The combined results of the handlers that one block runs, in the order of the runs.
struct Effects {
  std::vector<Expectation::Pair> headers;
  std::vector<Tag> tags;
  std::vector<std::string> counts;
  std::int64_t rejectStatus = 0;
  Fault fault = Fault::none;
  std::uint32_t faultLine = 0;
};

void addEffects(Effects& effects, const Program& program, const RunResult& result) {
  for (std::size_t i = 0; i < result.headerCount; ++i)
    effects.headers.push_back({std::string(result.headers[i].name), std::string(result.headers[i].value)});
  for (std::size_t i = 0; i < result.tagCount; ++i)
    effects.tags.push_back({std::string(result.tags[i].name), std::string(result.tags[i].value)});
  for (std::size_t i = 0; i < result.countCount; ++i)
    effects.counts.push_back(program.counters[result.counts[i]]);
  effects.rejectStatus = result.rejectStatus;
  effects.fault = result.fault;
  effects.faultLine = result.faultLine;
}

// Runs the handlers for which the block has input, until one rejects or faults.
Effects runHandlers(const Executable& executable, const Expectation& expectation, const RunBudget& budget) {
  const ExpectationHeaders requestHeaders(expectation.headers);
  const ExpectationHeaders responseHeaders(expectation.responseHeaders);
  Interpreter interpreter;
  Effects effects;
  RunInput input = inputOf(expectation);
  input.requestHeaders = &requestHeaders;
  input.tags = &effects.tags;
  const auto run = [&](Handler handler) {
    const bool ended = effects.rejectStatus != 0 || effects.fault != Fault::none;
    if (ended || !executable.handles(handler)) return;
    addEffects(effects, executable.program(), interpreter.run(executable, handler, input, budget));
  };
  run(Handler::request);
  input.attempt = expectation.attempt.value_or(1);
  input.mayReject = false;
  if (expectation.attempt) run(Handler::attempt);
  if (expectation.status) {
    input.responseStatus = *expectation.status;
    input.responseFromHost = true;
    input.responseHeaders = &responseHeaders;
    run(Handler::response);
  }
  return effects;
}

// Compares the expectations of one block with the effects, and collects the mismatches.
class ExpectationCheck {
 public:
  ExpectationCheck(const Expectation& expectation, const Effects& effects, std::vector<Problem>& problems)
      : expectation_(expectation), effects_(effects), problems_(problems) {}

  void run() {
    checkFault();
    checkRejection();
    for (const auto& header : expectation_.setHeaders) checkPair(effects_.headers, header, "header");
    for (const auto& tag : expectation_.tags) checkPair(effects_.tags, tag, "tag");
    for (const std::string& name : expectation_.noHeaders) checkNoHeader(name);
    for (const std::string& counter : expectation_.counts) checkCounted(counter);
  }

 private:
  void fail(const std::string& reason) {
    problems_.push_back({expectation_.at, "'" + expectation_.title + "' does not hold: " + reason});
  }

  void checkFault() {
    const bool faulted = effects_.fault != Fault::none;
    if (expectation_.fault == faulted) return;
    if (!faulted) return fail("there is no fault");
    fail("fault on line " + std::to_string(effects_.faultLine) + ": " +
         std::string(describe(effects_.fault)));
  }

  void checkRejection() {
    if (expectation_.reject.value_or(0) == effects_.rejectStatus) return;
    if (effects_.rejectStatus == 0) return fail("it does not reject");
    fail("it rejects with " + std::to_string(effects_.rejectStatus));
  }

  // A later value of a name replaces an earlier one.
  template <class Pair>
  void checkPair(const std::vector<Pair>& pairs, const Expectation::Pair& expected, const std::string& what) {
    const auto actual = std::find_if(pairs.rbegin(), pairs.rend(),
                                     [&](const Pair& pair) { return pair.name == expected.name; });
    if (actual == pairs.rend()) return fail(what + " \"" + expected.name + "\" is not set");
    if (actual->value != expected.value)
      fail(what + " \"" + expected.name + "\" is \"" + actual->value + "\", not \"" + expected.value + "\"");
  }

  void checkNoHeader(const std::string& name) {
    if (std::any_of(effects_.headers.begin(), effects_.headers.end(),
                    [&](const Expectation::Pair& header) { return header.name == name; }))
      fail("header \"" + name + "\" is set");
  }

  void checkCounted(const std::string& counter) {
    if (std::find(effects_.counts.begin(), effects_.counts.end(), counter) == effects_.counts.end())
      fail("\"" + counter + "\" is not counted");
  }

  const Expectation& expectation_;
  const Effects& effects_;
  std::vector<Problem>& problems_;
};

}  // namespace

std::optional<std::string_view> ExpectationHeaders::header(std::string_view name) const {
  for (const Expectation::Pair& line : lines_)
    if (sameHeaderName(line.name, name)) return line.value;
  return std::nullopt;
}

RunInput inputOf(const Expectation& expectation) {
  RunInput input;
  input.className = expectation.className;
  input.method = expectation.method;
  input.path = expectation.path;
  input.query = expectation.query;
  input.tenant = expectation.tenant;
  input.body = expectation.body;
  input.bodyLength = static_cast<std::int64_t>(expectation.body.size());
  input.timeLeftNs = expectation.timeLeftNs;
  return input;
}

std::vector<Problem> runExpectations(const Executable& executable,
                                     const std::vector<Expectation>& expectations, const RunBudget& budget) {
  std::vector<Problem> problems;
  for (const Expectation& expectation : expectations) {
    const Effects effects = runHandlers(executable, expectation, budget);
    ExpectationCheck(expectation, effects, problems).run();
  }
  return problems;
}

}  // namespace finchstile::hook
