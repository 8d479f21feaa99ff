// Test helpers that compile and run hooks.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "hook/compiler.hpp"
#include "hook/hook_chain.hpp"
#include "hook/interpreter.hpp"
#include "hook/verifier.hpp"

namespace finchstile::hook::testing {

class MapHeaders : public HeaderSource {
 public:
  MapHeaders(std::initializer_list<std::pair<const std::string, std::string>> lines = {}) : lines_(lines) {}
  std::optional<std::string_view> header(std::string_view name) const override {
    const auto it = lines_.find(std::string(name));
    if (it == lines_.end()) return std::nullopt;
    return std::string_view(it->second);
  }

 private:
  std::map<std::string, std::string> lines_;
};

inline std::vector<std::string> problemsOf(std::string_view source) {
  std::vector<Problem> problems;
  compile(source, problems);
  std::vector<std::string> out;
  for (const Problem& p : problems)
    out.push_back(std::to_string(p.at.line) + ":" + std::to_string(p.at.column) + ": " + p.message);
  return out;
}

inline std::shared_ptr<const Executable> compileAndLink(
    std::string_view source, std::vector<std::shared_ptr<const Table>> tables = {}) {
  std::vector<Problem> problems;
  auto compiled = compile(source, problems);
  for (const Problem& p : problems) ADD_FAILURE() << describe("hook", p);
  if (!compiled) return nullptr;
  try {
    return linkProgram(std::move(compiled->program), std::move(tables));
  } catch (const LinkError& error) {
    ADD_FAILURE() << error.what();
    return nullptr;
  }
}

inline std::string onRequest(const std::string& body, const std::string& declarations = "") {
  return "hook \"h\";\n" + declarations + "\non request {\n" + body + "\n}\n";
}

// Formats the result of a run: "fault: ...", or its effects in order, with a rejection last.
inline std::string formatResult(const Executable& code, const RunResult& r) {
  if (r.fault != Fault::none) return "fault: " + std::string(describe(r.fault));
  std::string out;
  const auto add = [&](const std::string& s) { out += (out.empty() ? "" : "; ") + s; };
  for (std::size_t i = 0; i < r.headerCount; ++i)
    add(std::string(r.headers[i].name) + ": " + std::string(r.headers[i].value));
  for (std::size_t i = 0; i < r.tagCount; ++i)
    add(std::string(r.tags[i].name) + "=" + std::string(r.tags[i].value));
  for (std::size_t i = 0; i < r.countCount; ++i) add("count " + code.program().counters[r.counts[i]]);
  for (std::size_t i = 0; i < r.logCount; ++i) add(std::string(r.logs[i]));
  if (r.rejectStatus) add("reject " + std::to_string(r.rejectStatus) + " " + std::string(r.rejectReason));
  return out;
}

inline RunInput exampleInput() {
  RunInput in;
  in.className = "log-in";
  in.method = "POST";
  in.path = "/log-in/17";
  in.query = "a=1&yard=B%2012+x&empty=";
  in.tenant = "acme";
  in.body = "{\"log\": 17}";
  in.bodyLength = 11;
  in.timeLeftNs = 500'000'000;
  return in;
}

// Runs the statements as handler `request` with exampleInput() and returns the formatted result.
inline std::string runStatements(const std::string& body, const std::string& declarations = "",
                                 const RunBudget& budget = {}) {
  const auto code = compileAndLink(onRequest(body, declarations));
  if (!code) return "does not compile";
  static const MapHeaders headers{{"X-Yard", "B12"}, {"Empty", ""}};
  RunInput in = exampleInput();
  in.requestHeaders = &headers;
  Interpreter m;
  return formatResult(*code, m.run(*code, Handler::request, in, budget));
}

}  // namespace finchstile::hook::testing
