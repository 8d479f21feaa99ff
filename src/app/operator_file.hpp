// The operator's own file (deploy/finchstile.toml): everything that this program can do beyond what its
// platform tells it. All of it is optional; an empty file changes nothing.
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

// All that is wrong with a file, a line each, in the order of the file's lines: "FILE:LINE: WHAT".
class OperatorFileError : public std::runtime_error {
 public:
  explicit OperatorFileError(std::vector<std::string> lines);
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// `file` is the name used in messages; the paths in it start at its folder. Throws OperatorFileError.
OperatorFile readOperatorFile(std::string_view text, const std::string& file);
OperatorFile loadOperatorFile(const std::string& path);

}  // namespace finchstile
