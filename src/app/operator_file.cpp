#include "app/operator_file.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "operator/reader.hpp"

namespace finchstile {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void readGatewayOptions(SettingReader& root, GatewayOptions& options) {
  root.table("clients", [&](SettingReader& reader) {
    reader.duration("idle", options.clients.idleTimeout, seconds(1), hours(1));
    reader.duration("request", options.clients.requestTimeout, milliseconds(100), minutes(1));
    reader.duration("write", options.clients.writeTimeout, milliseconds(100), minutes(1));
    reader.number("descriptor_share", options.clientDescriptorFraction, 0.05, 0.9);
    reader.duration("serve_draining", options.drainServeTime, milliseconds(0), hours(1));
  });
  root.table("upstream", [&](SettingReader& reader) {
    reader.size("connecting", options.maxConnectingPerHost, 1, 64);
    reader.duration("proof_least", options.minVerificationTime, milliseconds(0), milliseconds(100));
    reader.duration("reuse_delay", options.minReuseDelay, milliseconds(0), milliseconds(100));
    reader.number("descriptor_share", options.upstreamDescriptorFraction, 0.05, 0.9);
    if (options.clientDescriptorFraction + options.upstreamDescriptorFraction > 0.95)
      reader.error("descriptor_share", "and clients.descriptor_share must be 0.95 together at most");
  });
}

std::string joinLines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

}  // namespace

OperatorFileError::OperatorFileError(std::vector<std::string> lines)
    : std::runtime_error(joinLines(lines)), lines_(std::move(lines)) {}

OperatorFile readOperatorFile(std::string_view text, const std::string& file) {
  std::vector<SettingProblem> problems;
  const SettingNode document = parseToml(text, problems);
  OperatorFile out;
  {
    SettingReader root(document, "", problems);
    readGatewayOptions(root, out.gatewayOptions);
    const std::size_t slash = file.rfind('/');
    const std::string folder = slash == std::string::npos ? "" : file.substr(0, slash);
    hook::readHookSettings(root, folder, out.hooks);
    idempotency::readIdempotencySettings(root, folder, out.idempotency);
    peer::readPeerSettings(root, folder, out.peers);
    cross_zone::readCrossZoneSettings(root, out.crossZone);
    membership::readMembershipSettings(root, out.membership);
    trace::readTraceSettings(root, folder, out.trace);
    configuration::readConfigurationSettings(root, folder, out.configuration);
    stream::readStreamSettings(root, out.streams, [&](SettingReader& streams) {
      websocket::readWebSocketSettings(streams, out.webSocket);
      if (out.webSocket.enabled && !out.streams.enabled)
        streams.error("websocket", "needs [streams], enabled, that holds its streams");
    });
    // [idempotency] identifies tenants by the configuration at startup. Tenants that are added later would
    // share one key space.
    if (out.configuration.enabled && out.idempotency.enabled)
      root.error("configuration",
                 "can't be enabled together with [idempotency] yet, whose tenants are those of "
                 "the start");
    if (out.idempotency.peerOwnership.enabled && !out.peers.enabled)
      root.error("idempotency", "owners need [peers], enabled, for the other gateways");
    if (out.membership.needsPeers() && !out.peers.enabled)
      root.error("membership", "gossip and warm_start need [peers], enabled, for the other gateways");
  }
  if (problems.empty()) return out;
  std::stable_sort(problems.begin(), problems.end(),
                   [](const SettingProblem& a, const SettingProblem& b) { return a.line < b.line; });
  std::vector<std::string> lines;
  lines.reserve(problems.size());
  for (const SettingProblem& problem : problems) lines.push_back(describe(file, problem));
  throw OperatorFileError(std::move(lines));
}

OperatorFile loadOperatorFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  if (file) text.assign(std::istreambuf_iterator<char>(file), {});
  if (!file || file.bad()) throw OperatorFileError({path + ": cannot be read"});
  return readOperatorFile(text, path);
}

}  // namespace finchstile
