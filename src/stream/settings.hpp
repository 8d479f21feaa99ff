// The part of the operator's file that is about streams: [streams].
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "operator/reader.hpp"
#include "stream/flow.hpp"

namespace finchstile::stream {

struct ListenSettings {
  std::string name;  // in figures and the log
  boost::asio::ip::tcp::endpoint at;
  std::string className;                              // of the platform's settings
  Duration connect = std::chrono::milliseconds(500);  // for a stream to begin, over all its attempts
  FlowLimits flow{std::chrono::minutes(10), std::chrono::minutes(1), std::chrono::seconds(30)};
  bool proxyIn = false;   // each connection begins with a PROXY header, or is turned down
  bool proxyOut = false;  // hosts are sent one
};

enum class LogEnds { all, failed, none };

struct StreamSettings {
  bool enabled = false;
  double descriptorShare = 0.2;  // of the process's; the two others have the rest, in their proportion
  std::size_t most = 1000;       // held by this gateway; less where the descriptors are too few
  std::size_t bufferBytes = std::size_t{16} * 1024 * 1024;  // between the two sides of all streams together
  std::size_t hostStreamLimit = 0;                          // held by one host, by all gateways; 0: no bound
  double hostStreamRateLimit = 0;  // that begin at one host a second, by all gateways; 0: no bound
  Duration retryInterval = std::chrono::seconds(10);  // who is refused is told to come back within
  Duration drainWithin = std::chrono::seconds(10);    // over which those of a draining host are closed
  double drainRate = 100;                             // so many a second at the most; 0: no bound
  LogEnds log = LogEnds::all;
  std::vector<ListenSettings> listen;
};

// `more` reads what others have in the same table.
void readStreamSettings(SettingReader& root, StreamSettings& out,
                        const std::function<void(SettingReader&)>& more = {});

// How many streams there may be, each with two descriptors, and some over for listeners and those to come.
std::size_t maxStreamsFor(const StreamSettings& settings, std::size_t descriptors);

}  // namespace finchstile::stream
