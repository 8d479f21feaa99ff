// The operator's file (deploy/finchstile.toml): the settings of everything that the program does beyond its
// platform's configuration. All are optional; an empty file changes nothing.
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
  GatewayOptions tuning;
  hook::HookSettings hooks;
  idempotency::IdempotencySettings idempotency;
  peer::PeerSettings peers;
  cross_zone::CrossZoneSettings crossing;
  membership::MembershipSettings membership;
  stream::StreamSettings streams;
  trace::TraceSettings trace;
  configuration::ConfigurationSettings configuration;
  websocket::WebSocketSettings webSocket;
};

// All errors of a file, one line each, in the order of the file: "FILE:LINE: MESSAGE".
class OperatorFileError : public std::runtime_error {
 public:
  explicit OperatorFileError(std::vector<std::string> lines);
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// `file`: the path, for messages and for its folder, where relative paths of the settings start. Both throw
// OperatorFileError.
OperatorFile readOperatorFile(std::string_view text, const std::string& file);
OperatorFile loadOperatorFile(const std::string& path);

}  // namespace finchstile
