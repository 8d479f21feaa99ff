// The [configuration] table of the operator's file: how a gateway polls the control machines.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "configuration/control_plane_endpoints.hpp"
#include "operator/reader.hpp"

namespace finchstile::configuration {

struct ConfigurationSettings {
  bool enabled = false;
  std::vector<std::string> addresses;                     // of the control machines, as the file has them
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;  // of `addresses`, in their order
  Duration longPollWait = std::chrono::seconds(1);  // a machine may hold a poll without news for so long
  Duration silenceTimeout = std::chrono::milliseconds(500);   // and be silent for so long beyond it
  Duration maxResponseTime = std::chrono::minutes(1);         // from the first byte of a response to its last
  Duration minPollInterval = std::chrono::milliseconds(250);  // between the starts of two polls
  BackoffSettings backoff;
  std::string snapshotPath;  // of the file that keeps the last accepted version; empty: none is kept
};

// Reads the table into `out` and reports errors to the reader. Relative paths begin at `folder`.
void readConfigurationSettings(SettingReader& root, const std::string& folder, ConfigurationSettings& out);

}  // namespace finchstile::configuration
