// Parses any bytes as a table file. The result must be either a table or problems.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "hook/table.hpp"

using namespace finchstile::hook;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::vector<Problem> problems;
  const auto table = Table::parse(asText(data, size), problems);
  if (table.has_value() != problems.empty()) std::abort();
  if (table) table->lookUp(asText(data, size).substr(0, 5));
  return 0;
}
