// The part of the operator's file that is about the distribution of configuration: [configuration].
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "configuration/sources.hpp"
#include "operator/reader.hpp"

namespace finchstile::configuration {

struct ConfigurationSettings {
  bool enabled = false;
  std::vector<std::string> addresses;  // of the control machines, as the file has them
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;
  Duration wait = std::chrono::seconds(1);            // how long a machine may hold a call that has no news,
  Duration silence = std::chrono::milliseconds(500);  // and how much longer it may be silent
  Duration whole = std::chrono::minutes(1);           // how long an answer that keeps coming may take in all
  Duration pace =
      std::chrono::milliseconds(250);  // between the beginnings of two calls: changes are coalesced
  SourceSettings sources;
  std::string file;  // where the last good version is kept; empty: nowhere
};

// `folder`: where paths of the file begin.
void readConfigurationSettings(SettingReader& root, const std::string& folder, ConfigurationSettings& out);

}  // namespace finchstile::configuration
