#include "simulator/adapter.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "simulator/protocol_line.hpp"
#include "simulator/settings_reader.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

constexpr std::size_t kMaxQuotedCharacters = 120;  // characters of a malformed line that are quoted

// The value of the first field with that name; empty if there is none. Tokens that are not fields are
// skipped.
std::string_view findField(std::string_view fields, std::string_view nameAndEquals) {
  while (!fields.empty()) {
    const std::string_view token = nextToken(fields);
    if (token.substr(0, nameAndEquals.size()) == nameAndEquals) return token.substr(nameAndEquals.size());
  }
  return {};
}

std::uint64_t readAffinityKey(std::string_view digits) {
  std::uint64_t key = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, key, 16);
  if (error != std::errc{} || end != last) throw ProtocolError("routeKey is not a 64-bit hexadecimal number");
  return key;
}

// Reads all of a request but its id, which the caller assigns.
Request readRequest(const SimulatedGateway& gateway, std::string_view fields) {
  Request request;
  Field field;
  bool hasTimeLeft = false;
  bool hasClass = false;
  while (nextField(fields, field)) {
    if (field.name == "leftNs") {
      request.timeLeft = field.nanoseconds();
      hasTimeLeft = true;
    } else if (field.name == "costNs") {
      request.expectedWork = field.nanoseconds();
    } else if (field.name == "tierClass") {
      request.classIndex = gateway.classIndex(field.value);
      hasClass = true;
    } else if (field.name == "realm") {
      request.tenantIndex = gateway.tenantIndex(field.value);
    } else if (field.name == "routeKey") {
      request.affinityKey = readAffinityKey(field.value);
      request.hasAffinityKey = true;
    } else if (field.name == "repeat") {
      field.boolean();  // only validated: retries are detected by the time left instead
    }
  }
  if (!hasTimeLeft) throw ProtocolError("leftNs missing");
  if (!hasClass) throw ProtocolError("tierClass missing");
  return request;
}

HostListUpdate readUpdateKind(std::string_view text) {
  if (text == "update") return HostListUpdate::incremental;
  if (text == "replace") return HostListUpdate::complete;
  if (text == "restored") return HostListUpdate::restored;
  throw ProtocolError("unknown kind of list update");
}

}  // namespace

Adapter::Adapter(std::ostream& diagnostics) : diagnostics_(diagnostics) {}
Adapter::~Adapter() = default;

void Adapter::reportMalformedLine(std::string_view line, std::string_view cause) {
  malformed_ = true;
  diagnostics_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, kMaxQuotedCharacters)
               << '\n';
}

bool Adapter::feed(std::string_view line, std::string& reply) {
  ++lineNumber_;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return false;
  std::string_view fields = line;
  const std::string_view event = nextToken(fields);
  try {
    if (lists_.expectsRows() && event != "ROW") {
      lists_.discardMissingRows();
      reportMalformedLine(line, "list has fewer rows than announced before this line");
    }
    if (event == "FRAME") {
      beginBatch(line, fields);
    } else if (event == "EOF_BATCH") {
      endBatch(line, reply);
      return true;
    } else {
      if (!insideBatch_) throw ProtocolError("event outside a batch");
      onEvent(event, fields);
    }
  } catch (const ProtocolError& error) {
    reportMalformedLine(line, error.what());
  }
  return false;
}

void Adapter::beginBatch(std::string_view line, std::string_view fields) {
  if (insideBatch_) reportMalformedLine(line, "batch begins inside another batch");
  insideBatch_ = true;
  Field field;
  bool hasTime = false;
  while (nextField(fields, field)) {
    if (field.name != "tNs") continue;
    now_ = std::max(now_, Time(field.nanoseconds()));
    hasTime = true;
  }
  if (!hasTime) throw ProtocolError("tNs missing");
}

void Adapter::endBatch(std::string_view line, std::string& reply) {
  if (!insideBatch_) reportMalformedLine(line, "batch ends without a beginning");
  insideBatch_ = false;
  for (SimulatedGateway* gateway : gatewaysInBatch_) {
    reply += gateway->takeLines();
    gateway->hasEventInBatch = false;
  }
  gatewaysInBatch_.clear();
  reply += "OK\n";
}

SimulatedGateway& Adapter::gatewayOf(std::string_view fields) {
  while (!fields.empty()) {
    const std::string_view token = nextToken(fields);
    if (token.substr(0, 2) != "i=") continue;
    const auto it = gateways_.find(token.substr(2));
    if (it == gateways_.end()) throw ProtocolError("unknown gateway instance");
    SimulatedGateway& gateway = *it->second;
    if (!gateway.hasEventInBatch) {
      gateway.hasEventInBatch = true;
      gatewaysInBatch_.push_back(&gateway);
    }
    return gateway;
  }
  throw ProtocolError("gateway instance missing");
}

void Adapter::onEvent(std::string_view event, std::string_view fields) {
  if (event == "REQ") {
    onRequest(gatewayOf(fields), fields);
  } else if (event == "SETTLED") {
    onAttemptResult(gatewayOf(fields), fields);
  } else if (event == "ROW") {
    lists_.addRow(fields);
  } else if (event == "LEDGER") {
    lists_.begin(fields);
  } else if (event == "ENLIST") {
    addGateway(fields);
  } else if (event == "RETIRE") {
    removeGateway(fields);
  } else if (event == "MEMBERSHIP") {
    onHostListUpdate(gatewayOf(fields), fields);
  } else if (event == "TIMEOUT_FIRED") {
    SimulatedGateway& gateway = gatewayOf(fields);
    gateway.loadBalancer().onTimer(now_);
    gateway.writeActions();
  } else if (event == "LEFT") {
    onClientDisconnected(gatewayOf(fields), fields);
  } else if (event == "HEAD_RECEIVED") {
    onResponseStarted(gatewayOf(fields), fields);
  } else if (event == "PROBED") {
    onProbeResult(gatewayOf(fields), fields);
  } else if (event == "FROM_PEER") {
    onPeerMessage(gatewayOf(fields), fields);
  } else {
    throw ProtocolError("unknown event");
  }
}

// Replaces a gateway of the same name, whose process has ended: its state and its actions of this batch are
// dropped.
void Adapter::addGateway(std::string_view fields) {
  std::string_view scan = fields;
  std::string_view name;
  Field field;
  while (name.empty() && nextField(scan, field))
    if (field.name == "i") name = field.value;
  if (name.empty()) throw ProtocolError("gateway instance missing");
  if (const auto old = gateways_.find(name); old != gateways_.end()) {
    gatewaysInBatch_.erase(std::remove(gatewaysInBatch_.begin(), gatewaysInBatch_.end(), old->second.get()),
                           gatewaysInBatch_.end());
    gateways_.erase(old);
  }
  try {
    gateways_.emplace(std::string(name), std::make_unique<SimulatedGateway>(name, readSettings(fields),
                                                                            readReportFields(fields), now_));
  } catch (const std::invalid_argument& error) {
    throw ProtocolError(error.what());
  }
  gatewayOf(fields);
}

// Drops the gateway's actions of this batch, too.
void Adapter::removeGateway(std::string_view fields) {
  SimulatedGateway& gateway = gatewayOf(fields);
  gatewaysInBatch_.erase(std::find(gatewaysInBatch_.begin(), gatewaysInBatch_.end(), &gateway));
  gateways_.erase(gateways_.find(gateway.name()));
}

void Adapter::onHostListUpdate(SimulatedGateway& gateway, std::string_view fields) {
  Field field;
  std::size_t number = EndpointLists::kMaxLists;
  std::string_view kind;
  while (nextField(fields, field)) {
    if (field.name == "kind") kind = field.value;
    else if (field.name == "buffer" && field.value != "-") number = field.number<std::size_t>();
  }
  if (kind == "unavailable") {
    gateway.loadBalancer().onHostListUpdate(now_, HostListUpdate::unavailable, {});
  } else {
    const HostListUpdate update = readUpdateKind(kind);
    const std::vector<HostEntry>* const entries = lists_.find(number);
    if (!entries) throw ProtocolError("unknown list number");
    gateway.loadBalancer().onHostListUpdate(now_, update, *entries);
  }
  gateway.writeActions();
}

void Adapter::onRequest(SimulatedGateway& gateway, std::string_view fields) {
  // The name is read first, so that a request that is otherwise malformed can be answered with an error.
  const std::string_view name = findField(fields, "ref=");
  if (name.empty()) throw ProtocolError("ref missing");
  if (gateway.requests().isOpen(name)) throw ProtocolError("a request with this ref is still open");
  Request request;
  try {
    request = readRequest(gateway, fields);
  } catch (const ProtocolError&) {
    gateway.writeError(name);
    throw;
  }
  request.id = gateway.requests().open(name);
  gateway.loadBalancer().onRequest(now_, request);
  gateway.writeActions();
}

void Adapter::onAttemptResult(SimulatedGateway& gateway, std::string_view fields) {
  AttemptResult result;
  std::string_view name;
  Field field;
  bool hasAttempt = false;
  bool hasOutcome = false;
  while (nextField(fields, field)) {
    if (field.name == "ref") {
      name = field.value;
    } else if (field.name == "go") {
      result.attempt = field.number<std::uint32_t>();
      hasAttempt = true;
    } else if (field.name == "disposition") {
      result.outcome = outcomeOf(field.number<int>());
      hasOutcome = true;
    } else if (field.name == "timeTakenNs") {
      result.elapsed = field.nanoseconds();
    } else if (field.name == "terminal") {
      result.requestEnded = field.boolean();
    } else if (field.name == "metrics") {
      result.report = gateway.readLoadReport(field.value);
    }
  }
  if (name.empty() || !hasAttempt || !hasOutcome) throw ProtocolError("ref, go or disposition missing");
  OpenRequest* const request = gateway.requests().find(name);
  if (!request) return;  // the request has ended, and no attempt of it was in flight
  result.request = gateway.requests().idOf(name);
  if (request->attemptsInFlight > 0) --request->attemptsInFlight;
  if (result.requestEnded) request->ended = true;
  gateway.loadBalancer().onAttemptResult(now_, result);
  gateway.writeActions();
  if (gateway.requests().isOpen(name)) gateway.requests().releaseIfEnded(result.request);
}

Adapter::RequestReference Adapter::readReference(std::string_view fields) {
  RequestReference reference;
  Field field;
  while (nextField(fields, field)) {
    if (field.name == "ref") reference.name = field.value;
    else if (field.name == "go") reference.attempt = field.number<std::uint32_t>();
  }
  if (reference.name.empty()) throw ProtocolError("ref missing");
  return reference;
}

void Adapter::onClientDisconnected(SimulatedGateway& gateway, std::string_view fields) {
  const RequestReference reference = readReference(fields);
  OpenRequest* const request = gateway.requests().find(reference.name);
  if (!request) return;  // the request may have been released already
  const RequestId id = gateway.requests().idOf(reference.name);
  gateway.loadBalancer().onClientDisconnected(now_, id);
  request->ended = true;
  gateway.writeActions();
  if (gateway.requests().isOpen(reference.name)) gateway.requests().releaseIfEnded(id);
}

void Adapter::onResponseStarted(SimulatedGateway& gateway, std::string_view fields) {
  const RequestReference reference = readReference(fields);
  if (!gateway.requests().isOpen(reference.name)) return;
  gateway.loadBalancer().onResponseStarted(now_, gateway.requests().idOf(reference.name), reference.attempt);
  gateway.writeActions();
}

void Adapter::onProbeResult(SimulatedGateway& gateway, std::string_view fields) {
  ProbeResult result;
  Field field;
  bool hasOutcome = false;
  while (nextField(fields, field)) {
    if (field.name == "host") {
      result.host = gateway.loadBalancer().findHost(field.value);
    } else if (field.name == "disposition") {
      result.healthy = outcomeOf(field.number<int>()) == Outcome::served;
      hasOutcome = true;
    } else if (field.name == "metrics") {
      result.report = gateway.readLoadReport(field.value);
    }
  }
  if (!hasOutcome) throw ProtocolError("disposition missing");
  gateway.loadBalancer().onProbeResult(now_, result);
  gateway.writeActions();
}

void Adapter::onPeerMessage(SimulatedGateway& gateway, std::string_view fields) {
  std::string message;
  std::uint32_t sender = kNone;
  Field field;
  while (nextField(fields, field)) {
    if (field.name == "by") sender = field.number<std::uint32_t>();
    else if (field.name == "octets" && field.value != "-") message = bytesFromHex(field.value);
  }
  if (sender == kNone) throw ProtocolError("sender (by) missing");
  gateway.loadBalancer().onPeerMessage(now_, sender, message);
  gateway.writeActions();
}

}  // namespace finchstile::load_balancing::simulator
