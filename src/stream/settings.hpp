// Operator settings of streams: table [streams].
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "operator/reader.hpp"
#include "stream/flow.hpp"

namespace finchstile::stream {

struct ListenSettings {
  std::string name;  // label in metrics and log
  boost::asio::ip::tcp::endpoint at;
  std::string className;                              // a class of the platform settings
  Duration connect = std::chrono::milliseconds(500);  // limit for establishing a stream, over all attempts
  FlowLimits flow{std::chrono::minutes(10), std::chrono::minutes(1), std::chrono::seconds(30)};
  bool proxyIn = false;   // require a PROXY header on each accepted connection
  bool proxyOut = false;  // send a PROXY header to hosts
};

enum class LogEnds { all, failed, none };

struct StreamSettings {
  bool enabled = false;
  double descriptorShare = 0.2;  // fraction of the process's descriptors; the fractions in GatewayOptions
                                 // apply to the rest
  std::size_t most = 1000;       // concurrent streams of this gateway; less if there are too few descriptors
  std::size_t bufferBytes = std::size_t{16} * 1024 * 1024;  // total relay buffer of all streams
  std::size_t hostStreamLimit = 0;  // concurrent streams of one host over all gateways; 0: no bound
  double hostStreamRateLimit = 0;   // new streams per second of one host over all gateways; 0: no bound
  Duration retryInterval =
      std::chrono::seconds(10);  // refused clients are given a retry time within this interval
  Duration drainInterval =
      std::chrono::seconds(10);  // interval over which streams of a draining host are closed
  double maxDrainRate = 100;     // closes per second, at most; 0: no bound
  LogEnds log = LogEnds::all;
  std::vector<ListenSettings> listen;
};

// `more` reads the keys of other modules in the same table.
void readStreamSettings(SettingReader& root, StreamSettings& out,
                        const std::function<void(SettingReader&)>& more = {});

// Number of streams the descriptors allow. Each stream takes two; some are reserved for listeners and streams
// being established.
std::size_t maxStreamsFor(const StreamSettings& settings, std::size_t descriptors);

}  // namespace finchstile::stream
