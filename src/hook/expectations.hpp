// Runs the `expect` blocks of a hook: tests that are part of its source.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hook/executable.hpp"
#include "hook/handler_run.hpp"
#include "hook/syntax.hpp"

namespace finchstile::hook {

// The header lines that a block lists. `lines` must outlive it.
class ExpectationHeaders : public HeaderSource {
 public:
  explicit ExpectationHeaders(const std::vector<Expectation::Pair>& lines) : lines_(lines) {}
  std::optional<std::string_view> header(std::string_view name) const override;

 private:
  const std::vector<Expectation::Pair>& lines_;
};

// What a block says of the request, without its headers. The views point into `expectation`.
RunInput inputOf(const Expectation& expectation);

// Returns what does not hold, with the position of its block; empty if all does.
std::vector<Problem> runExpectations(const Executable& executable,
                                     const std::vector<Expectation>& expectations, const RunBudget& budget);

}  // namespace finchstile::hook
