// The operator's file (deploy/finchstile.toml): all settings that are not part of the platform's
// configuration. All are optional; an empty file leaves the defaults.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/settings.hpp"
#include "cross_zone/settings.hpp"
#include "hook/settings.hpp"
#include "idempotency/settings.hpp"
#include "membership/settings.hpp"
#include "net/gateway_options.hpp"
#include "operator/document.hpp"
#include "peer/settings.hpp"
#include "stream/settings.hpp"
#include "trace/settings.hpp"
#include "websocket/settings.hpp"

namespace finchstile {

struct OperatorFile {
  GatewayOptions gatewayOptions;
  hook::HookSettings hooks;
  idempotency::IdempotencySettings idempotency;
  peer::PeerSettings peers;
  cross_zone::CrossZoneSettings crossZone;
  membership::MembershipSettings membership;
  stream::StreamSettings streams;
  trace::TraceSettings trace;
  configuration::ConfigurationSettings configuration;
  websocket::WebSocketSettings webSocket;
};

// All problems of a file, one line each, in the order of the file: "FILE:LINE: MESSAGE".
class OperatorFileError : public std::runtime_error {
 public:
  explicit OperatorFileError(std::vector<std::string> lines);
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// Reads the settings from `text`. `file`: its path, which messages quote and whose folder is the base of
// relative paths in the settings. Throws OperatorFileError.
OperatorFile readOperatorFile(std::string_view text, const std::string& file);
// Reads the settings from the file at `path`. Throws OperatorFileError, also if the file cannot be read.
OperatorFile loadOperatorFile(const std::string& path);

}  // namespace finchstile
