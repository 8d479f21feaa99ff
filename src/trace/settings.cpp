#include "trace/settings.hpp"

namespace finchstile::trace {

void readTraceSettings(SettingReader& root, const std::string& folder, TraceSettings& out) {
  root.table("trace", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    if (r.text("file", out.file, 4096)) out.file = resolvePath(folder, out.file);
    r.number("share", out.share, 0, 1);
    r.number("lines_per_second", out.linesPerSecond, 1, 1e6);
    r.size("file_most", out.fileMost, 64 * 1024, std::size_t{1} << 40);
    r.size("waiting_most", out.waitingMost, 64 * 1024, std::size_t{1} << 30);
  });
}

}  // namespace finchstile::trace
