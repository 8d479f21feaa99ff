// Any bytes as a line of the log of attempts: what is read is written the same again, and joins without harm.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "trace/join.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace finchstile::trace;
  const Parsed first = parse(asText(data, size));
  if (first.kind == Parsed::Kind::bad && first.problem.empty()) std::abort();
  if (first.kind != Parsed::Kind::line) return 0;
  std::string once, twice;
  append(once, first.line);
  const Parsed again = parse(std::string_view(once).substr(0, once.size() - 1));
  if (again.kind == Parsed::Kind::bad && again.problem == "longer than 16 KiB") return 0;
  if (again.kind != Parsed::Kind::line) std::abort();
  append(twice, again.line);
  if (once != twice) std::abort();
  Join join;
  join.add(first.line);
  join.add(again.line);
  join.audit({});
  join.sums(Join::By::second);
  return 0;
}
