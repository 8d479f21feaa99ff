// Runs the `expect` blocks of a hook, which are tests in its source.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hook/executable.hpp"
#include "hook/handler_run.hpp"
#include "hook/syntax.hpp"

namespace finchstile::hook {

// The header lines of an `expect` block. `lines` must outlive the object.
class ExpectationHeaders : public HeaderSource {
 public:
  explicit ExpectationHeaders(const std::vector<Expectation::Pair>& lines) : lines_(lines) {}
  std::optional<std::string_view> header(std::string_view name) const override;

 private:
  const std::vector<Expectation::Pair>& lines_;
};

// The input that a block specifies, without header lines. The views point into `expectation`.
RunInput inputOf(const Expectation& expectation);

// Returns a problem for each expectation that fails, at the position of its block; empty if all pass.
std::vector<Problem> runExpectations(const Executable& executable,
                                     const std::vector<Expectation>& expectations, const RunBudget& budget);

}  // namespace finchstile::hook
