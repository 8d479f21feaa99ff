#include "configuration/settings.hpp"

#include "base/address.hpp"

namespace finchstile::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kSourcesMost = 1024;
constexpr std::size_t kAddressLongest = 64, kPathLongest = 4096;

void readSources(SettingReader& reader, ConfigurationSettings& out) {
  if (!reader.texts("sources", out.addresses, kSourcesMost, kAddressLongest)) return;
  for (const std::string& address : out.addresses) {
    if (const auto at = parseListenAddress(address)) {
      out.endpoints.emplace_back(at->first, at->second);
    } else {
      reader.error("sources", "has '" + address + "', which is no address and port, as 10.0.0.1:7000 is");
    }
  }
}

}  // namespace

void readConfigurationSettings(SettingReader& root, const std::string& folder, ConfigurationSettings& out) {
  root.table("configuration", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    readSources(r, out);
    r.duration("wait", out.wait, milliseconds(100), minutes(1));
    r.duration("silence", out.silence, milliseconds(50), minutes(1));
    r.duration("whole", out.whole, milliseconds(100), minutes(10));
    r.duration("pace", out.pace, milliseconds(0), minutes(1));
    r.duration("failover", out.sources.failover, milliseconds(0), minutes(1));
    r.duration("retry_least", out.sources.retryLeast, milliseconds(10), minutes(10));
    r.duration("retry_most", out.sources.retryMost, milliseconds(10), minutes(10));
    if (r.text("file", out.file, kPathLongest)) out.file = resolvePath(folder, out.file);
    if (out.sources.retryMost < out.sources.retryLeast)
      r.error("retry_most", "must be as long as configuration.retry_least at least");
    if (out.enabled) r.require("sources", "names the control machines");
    if (out.enabled && out.addresses.empty()) r.error("sources", "must name one control machine at least");
  });
}

}  // namespace finchstile::configuration
