#include "hook/handler_run.hpp"

#include <algorithm>
#include <iterator>

namespace finchstile::hook {
namespace {

using Pair = RunResult::Pair;

template <std::size_t Size>
bool samePairs(const std::array<Pair, Size>& a, std::size_t countOfA, const std::array<Pair, Size>& b,
               std::size_t countOfB) {
  return std::equal(a.begin(), a.begin() + countOfA, b.begin(), b.begin() + countOfB,
                    [](const Pair& x, const Pair& y) { return x.name == y.name && x.value == y.value; });
}

}  // namespace

std::string_view describe(Fault fault) {
  static constexpr std::string_view kTexts[] = {
      "no fault",
      "the budget of instructions is spent",
      "the budget of bytes is spent",
      "the arena is full",
      "a number does not fit into 64 bits",
      "division by zero",
      "a header's name is no token",
      "a header's value has a byte that can't stand there, or is too long",
      "the header is the gateway's own",
      "a rejection has a status of 400 to 499, or 503",
      "rejected after an attempt that may have run",
      "more results than one run may leave"};
  static_assert(std::size(kTexts) == kFaults);
  return kTexts[static_cast<std::size_t>(fault)];
}

bool sameEffect(const RunResult& a, const RunResult& b) {
  return (a.fault == Fault::none) == (b.fault == Fault::none) && a.rejectStatus == b.rejectStatus &&
         a.rejectReason == b.rejectReason && samePairs(a.headers, a.headerCount, b.headers, b.headerCount) &&
         samePairs(a.tags, a.tagCount, b.tags, b.tagCount);
}

}  // namespace finchstile::hook
