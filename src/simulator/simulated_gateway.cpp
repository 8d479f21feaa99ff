#include "simulator/simulated_gateway.hpp"

#include <algorithm>
#include <utility>

#include "simulator/protocol_line.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

template <class Named>
TextMap<std::uint32_t> indexByName(const std::vector<Named>& items) {
  TextMap<std::uint32_t> indices;
  for (std::size_t i = 0; i < items.size(); ++i)
    indices.emplace(items[i].name, static_cast<std::uint32_t>(i));
  return indices;
}

std::uint32_t indexOf(const TextMap<std::uint32_t>& indices, std::string_view name) {
  const auto it = indices.find(name);
  return it == indices.end() ? kNone : it->second;
}

}  // namespace

SimulatedGateway::SimulatedGateway(std::string_view name, const Settings& settings,
                                   std::vector<std::string> reportFields, Time now)
    : name_(name),
      loadBalancer_(settings, now),
      classes_(indexByName(settings.classes)),
      tenants_(indexByName(settings.tenants)),
      reportFields_(std::move(reportFields)) {}

std::uint32_t SimulatedGateway::classIndex(std::string_view name) const { return indexOf(classes_, name); }

std::uint32_t SimulatedGateway::tenantIndex(std::string_view name) const { return indexOf(tenants_, name); }

LoadReport SimulatedGateway::readLoadReport(std::string_view values) const {
  LoadReport report;
  for (const std::string& name : reportFields_) {
    const std::size_t end = std::min(values.find(','), values.size());
    const double value = Field{"metrics", values.substr(0, end)}.number<double>();
    values.remove_prefix(std::min(end + 1, values.size()));
    if (name == "outstanding") report.inflight = value;
    else if (name == "backlog") report.queue = value;
    else if (name == "recent_ms") report.latencyMs = value;
  }
  return report;
}

std::string SimulatedGateway::takeLines() { return std::exchange(lines_, {}); }

void SimulatedGateway::writeError(std::string_view request) {
  lines_.append("RESPOND_ERROR i=").append(name_).append(" ref=").append(request).append("\n");
}

void SimulatedGateway::writeActions() {
  std::vector<Action>& actions = loadBalancer_.actions();
  for (const Action& action : actions) writeAction(action);
  // A request is released only after all lines that refer to it are written.
  for (const Action& action : actions) {
    if (action.kind != ActionKind::reject && action.kind != ActionKind::fail) continue;
    if (!requests_.byId(action.request).name.empty()) requests_.releaseIfEnded(action.request);
  }
  actions.clear();
}

void SimulatedGateway::writeAction(const Action& action) {
  const auto begin = [&](const char* event) { lines_.append(event).append(" i=").append(name_); };
  const auto appendRequest = [&] { lines_.append(" ref=").append(requests_.byId(action.request).name); };
  const auto appendHost = [&] { lines_.append(" host=").append(loadBalancer_.hostAddress(action.host)); };
  switch (action.kind) {
    case ActionKind::sendAttempt:
      ++requests_.byId(action.request).attemptsInFlight;
      begin("FORWARD");
      appendRequest();
      appendHost();
      lines_.append(" withinNs=");
      appendNumber(lines_, action.duration.count());
      break;
    case ActionKind::reject:
      begin("TURN_AWAY");
      appendRequest();
      if (action.duration > Duration{}) {
        lines_.append(" notBeforeForNs=");
        appendNumber(lines_, action.duration.count());
      }
      requests_.byId(action.request).ended = true;
      break;
    case ActionKind::fail:
      begin("RESPOND_ERROR");
      appendRequest();
      requests_.byId(action.request).ended = true;
      break;
    case ActionKind::cancelAttempt:
      begin("ABORT_ATTEMPT");
      appendRequest();
      lines_.append(" go=");
      appendNumber(lines_, action.attempt);
      break;
    case ActionKind::setTimer:
      begin("WAKE_AT");
      lines_.append(" alarmTimeNs=");
      appendNumber(lines_, action.duration.count());
      lines_.append(" ref=w");
      break;
    case ActionKind::pollDiscovery:
      begin("SUBSCRIBE");
      lines_.append(" active=1");
      break;
    case ActionKind::probeHost:
      begin("ASK_LOAD");
      appendHost();
      break;
    case ActionKind::sendPeerMessage:
      begin("SAY");
      lines_.append(" to=");
      appendNumber(lines_, action.attempt);
      lines_.append(" octets=");
      appendHex(lines_, action.text);
      break;
    case ActionKind::log:
      begin("DEBUG");
      lines_.append(" words=").append(action.text);
      break;
  }
  lines_ += '\n';
}

}  // namespace finchstile::load_balancing::simulator
