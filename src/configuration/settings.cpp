#include "configuration/settings.hpp"

#include "base/address.hpp"

namespace finchstile::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::size_t kMaxEndpoints = 1024;
constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxPathBytes = 4096;

void readEndpoints(SettingReader& reader, ConfigurationSettings& out) {
  if (!reader.texts("sources", out.addresses, kMaxEndpoints, kMaxAddressBytes)) return;
  for (const std::string& address : out.addresses) {
    if (const auto parsed = parseListenAddress(address)) {
      out.endpoints.emplace_back(parsed->first, parsed->second);
    } else {
      reader.error("sources", "has '" + address + "', which is no address and port, as 10.0.0.1:7000 is");
    }
  }
}

}  // namespace

void readConfigurationSettings(SettingReader& root, const std::string& folder, ConfigurationSettings& out) {
  root.table("configuration", [&](SettingReader& reader) {
    reader.boolean("enabled", out.enabled);
    readEndpoints(reader, out);
    reader.duration("wait", out.longPollWait, milliseconds(100), minutes(1));
    reader.duration("silence", out.silenceTimeout, milliseconds(50), minutes(1));
    reader.duration("whole", out.maxResponseTime, milliseconds(100), minutes(10));
    reader.duration("pace", out.minPollInterval, milliseconds(0), minutes(1));
    reader.duration("failover", out.backoff.maxFailoverDelay, milliseconds(0), minutes(1));
    reader.duration("retry_least", out.backoff.minBackoff, milliseconds(10), minutes(10));
    reader.duration("retry_most", out.backoff.maxBackoff, milliseconds(10), minutes(10));
    if (reader.text("file", out.snapshotPath, kMaxPathBytes))
      out.snapshotPath = resolvePath(folder, out.snapshotPath);
    if (out.backoff.maxBackoff < out.backoff.minBackoff)
      reader.error("retry_most", "must be as long as configuration.retry_least at least");
    if (out.enabled) reader.require("sources", "names the control machines");
    if (out.enabled && out.addresses.empty())
      reader.error("sources", "must name one control machine at least");
  });
}

}  // namespace finchstile::configuration
