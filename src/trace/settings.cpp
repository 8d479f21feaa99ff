#include "trace/settings.hpp"

namespace finchstile::trace {
namespace {

constexpr std::size_t kMaxPathBytes = 4096;
constexpr double kMaxLinesPerSecond = 1e6;
constexpr std::size_t kMinLimitBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxFileBytesLimit = std::size_t{1} << 40;
constexpr std::size_t kMaxQueuedBytesLimit = std::size_t{1} << 30;

}  // namespace

void readTraceSettings(SettingReader& root, const std::string& folder, TraceSettings& out) {
  root.table("trace", [&](SettingReader& table) {
    table.boolean("enabled", out.enabled);
    if (table.text("file", out.file, kMaxPathBytes)) out.file = resolvePath(folder, out.file);
    table.number("share", out.sampleFraction, 0, 1);
    table.number("lines_per_second", out.linesPerSecond, 1, kMaxLinesPerSecond);
    table.size("file_most", out.maxFileBytes, kMinLimitBytes, kMaxFileBytesLimit);
    table.size("waiting_most", out.maxQueuedBytes, kMinLimitBytes, kMaxQueuedBytesLimit);
  });
}

}  // namespace finchstile::trace
