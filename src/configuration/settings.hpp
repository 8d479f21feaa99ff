// Settings of the [configuration] table in the operator's configuration file: how a gateway polls the control
// machines.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "configuration/control_plane_endpoints.hpp"
#include "operator/reader.hpp"

namespace finchstile::configuration {

struct ConfigurationSettings {
  bool enabled = false;
  std::vector<std::string> addresses;                     // of the control machines, as in the file
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;  // of `addresses`, in the same order
  // How long a machine may hold a poll while there is no newer version.
  Duration longPollWait = std::chrono::seconds(1);
  // After which time without data, beyond `longPollWait`, a poll fails.
  Duration silenceTimeout = std::chrono::milliseconds(500);
  Duration maxResponseTime = std::chrono::minutes(1);         // from the first byte of a response to its last
  Duration minPollInterval = std::chrono::milliseconds(250);  // between the starts of two polls
  BackoffSettings backoff;
  std::string snapshotPath;  // of the file that stores the last accepted version; empty: no file
};

// Reads the table into `out` and reports errors to the reader. Relative paths are resolved
// against `folder`.
void readConfigurationSettings(SettingReader& root, const std::string& folder, ConfigurationSettings& out);

}  // namespace finchstile::configuration
