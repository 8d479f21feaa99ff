// Recovers a log whose two segments contain any bytes, appends to it, and recovers it again.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "support/faulty_directory.hpp"
#include "wal/log.hpp"

using namespace finchstile;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  testing::FaultyDirectory directory(1);
  // The first byte determines where the rest is split into two segments.
  const std::string_view all = asText(data, size);
  const std::size_t splitAt = all.empty() ? 0 : static_cast<unsigned char>(all[0]) * all.size() / 256;
  directory.create("log-00000001")->append(all.substr(std::min<std::size_t>(1, all.size()), splitAt));
  directory.create("log-00000002")->append(all.substr(std::min(1 + splitAt, all.size())));
  std::size_t first = 0, second = 0;
  {
    wal::Log log(directory, {});
    wal::RecoveryReport report;
    if (!log.recover([&](std::string_view) { ++first; }, report)) std::abort();
    if (!log.append("more")) std::abort();
  }
  // The second recovery must return as many records and the appended one.
  wal::Log log(directory, {});
  wal::RecoveryReport report;
  std::string last;
  if (!log.recover(
          [&](std::string_view s) {
            ++second;
            last = s;
          },
          report))
    std::abort();
  if (second != first + 1 || last != "more") std::abort();
  return 0;
}
