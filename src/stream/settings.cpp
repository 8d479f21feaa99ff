#include "stream/settings.hpp"

#include <algorithm>

#include "base/address.hpp"
#include "stream/buffers.hpp"

namespace finchstile::stream {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaxListeners = 16;
constexpr std::size_t kSpareDescriptors = 16;

void readListen(SettingReader& r, ListenSettings& l) {
  r.require("name", "a name for figures and the log");
  r.require("address", "an address and port of this machine");
  r.require("class", "a class of the platform's settings");
  r.text("name", l.name, 64);
  r.text("class", l.className, 64);
  std::string at;
  if (r.text("address", at, 64)) {
    if (const auto parsed = parseListenAddress(at)) l.at = {parsed->first, parsed->second};
    else r.error("address", "must be an address and port, like \"10.0.0.4:9000\"");
  }
  r.duration("connect", l.connect, milliseconds(10), minutes(1));
  r.duration("idle", l.flow.idle, milliseconds(100), hours(24 * 7));
  r.duration("half_idle", l.flow.halfIdle, milliseconds(100), hours(24 * 7));
  r.duration("stalled", l.flow.stalled, milliseconds(100), hours(1));
  r.boolean("proxy_in", l.proxyIn);
  r.boolean("proxy_out", l.proxyOut);
}

}  // namespace

void readStreamSettings(SettingReader& root, StreamSettings& out,
                        const std::function<void(SettingReader&)>& more) {
  root.table("streams", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    r.number("descriptor_share", out.descriptorShare, 0.01, 0.9);
    r.size("most", out.most, 1, 100'000);
    r.size("buffer_bytes", out.bufferBytes, std::size_t{64} * 1024, std::size_t{4} << 30);
    r.size("host_streams", out.hostStreamLimit, 0, 1'000'000);
    r.number("host_rate", out.hostStreamRateLimit, 0, 100'000);
    r.duration("return_within", out.retryInterval, milliseconds(100), hours(1));
    r.duration("drain_within", out.drainInterval, milliseconds(0), hours(1));
    r.number("drain_rate", out.maxDrainRate, 0, 100'000);
    std::string log = "all";
    if (r.choice("log", log, {"all", "failed", "none"}))
      out.log = log == "all" ? LogEnds::all : log == "failed" ? LogEnds::failed : LogEnds::none;
    if (out.bufferBytes < minBufferBytes(out.most))
      r.error("buffer_bytes", "must be " + std::to_string(minBufferBytes(out.most)) + " at least for " +
                                  std::to_string(out.most) + " streams");
    if (more) more(r);
    r.tables("listen", kMaxListeners, [&](SettingReader& l) { readListen(l, out.listen.emplace_back()); });
    for (std::size_t i = 0; i < out.listen.size(); ++i)
      for (std::size_t k = 0; k < i; ++k)
        if (out.listen[i].name == out.listen[k].name || (out.listen[i].at == out.listen[k].at))
          r.error("listen", "has two of the same name or address, '" + out.listen[i].name + "'");
  });
}

std::size_t maxStreamsFor(const StreamSettings& s, std::size_t descriptors) {
  const auto descriptorsForStreams =
      static_cast<std::size_t>(static_cast<double>(descriptors) * s.descriptorShare);
  const std::size_t spare = std::min(kSpareDescriptors, descriptorsForStreams / 2);
  return std::max<std::size_t>(1, std::min(s.most, (descriptorsForStreams - spare) / 2));
}

}  // namespace finchstile::stream
