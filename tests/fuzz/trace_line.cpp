// Parses any bytes as a line of the attempt log. A valid line must be written without change after one
// normalization, and must be accepted by the merger, the auditor and the totals.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "trace/log_auditor.hpp"
#include "trace/log_merger.hpp"
#include "trace/log_totals.hpp"
#include "trace/trace_line_codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace finchstile::trace;
  using Status = ParseResult::Status;
  const ParseResult first = parseLine(asText(data, size));
  const bool explained = first.error.code != ParseErrorCode::none && !first.error.message.empty();
  if ((first.status == Status::malformed) != explained) std::abort();
  if (first.status != Status::ok) return 0;
  std::string once;
  appendLine(once, first.line);
  const ParseResult again = parseLine(std::string_view(once).substr(0, once.size() - 1));
  // Percent-encoding may make the line longer than the limit.
  if (again.error.code == ParseErrorCode::lineTooLong) return 0;
  if (again.status != Status::ok) std::abort();
  std::string twice;
  appendLine(twice, again.line);
  if (once != twice) std::abort();
  LogMerger log;
  log.add(first.line);
  log.add(again.line);
  audit(log, {});
  totalsBy(log, GroupBy::second);
  return 0;
}
