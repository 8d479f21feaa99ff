#include "simulator/adapter.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "simulator/protocol_line.hpp"
#include "simulator/settings_reader.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

constexpr std::size_t kMaxQuotedLine = 120;  // characters of a line that a complaint repeats

// The value of the first field with that name; empty if there is none. Parts that are no fields are passed
// over.
std::string_view findField(std::string_view fields, std::string_view nameAndEquals) {
  while (!fields.empty()) {
    const std::string_view part = nextPart(fields);
    if (part.substr(0, nameAndEquals.size()) == nameAndEquals) return part.substr(nameAndEquals.size());
  }
  return {};
}

std::uint64_t readAffinityKey(std::string_view digits) {
  std::uint64_t key = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, key, 16);
  if (error != std::errc{} || end != last) throw ProtocolError("bad routeKey");
  return key;
}

// Without its id, which the caller assigns.
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
      field.boolean();  // only its form is checked: the time left says more about a retry
    }
  }
  if (!hasTimeLeft) throw ProtocolError("no leftNs");
  if (!hasClass) throw ProtocolError("no tierClass");
  return request;
}

HostListUpdate readUpdateKind(std::string_view text) {
  if (text == "update") return HostListUpdate::incremental;
  if (text == "replace") return HostListUpdate::complete;
  if (text == "restored") return HostListUpdate::restored;
  throw ProtocolError("unknown kind of news");
}

}  // namespace

Adapter::Adapter(std::ostream& complaints) : complaints_(complaints) {}
Adapter::~Adapter() = default;

void Adapter::complain(std::string_view line, std::string_view cause) {
  malformed_ = true;
  complaints_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, kMaxQuotedLine) << '\n';
}

bool Adapter::feed(std::string_view line, std::string& reply) {
  ++lineNumber_;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return false;
  std::string_view fields = line;
  const std::string_view event = nextPart(fields);
  try {
    if (lists_.awaitsRows() && event != "ROW") {
      lists_.stopAwaitingRows();
      complain(line, "rows missing from the list before this line");
    }
    if (event == "FRAME") {
      beginBatch(line, fields);
    } else if (event == "EOF_BATCH") {
      endBatch(line, reply);
      return true;
    } else {
      if (!insideBatch_) throw ProtocolError("outside a batch");
      onEvent(event, fields);
    }
  } catch (const ProtocolError& error) {
    complain(line, error.what());
  }
  return false;
}

void Adapter::beginBatch(std::string_view line, std::string_view fields) {
  if (insideBatch_) complain(line, "a batch begins inside another");
  insideBatch_ = true;
  Field field;
  bool hasTime = false;
  while (nextField(fields, field)) {
    if (field.name != "tNs") continue;
    now_ = std::max(now_, Time(field.nanoseconds()));
    hasTime = true;
  }
  if (!hasTime) throw ProtocolError("no tNs");
}

void Adapter::endBatch(std::string_view line, std::string& reply) {
  if (!insideBatch_) complain(line, "a batch ends that never began");
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
    const std::string_view part = nextPart(fields);
    if (part.substr(0, 2) != "i=") continue;
    const auto it = gateways_.find(part.substr(2));
    if (it == gateways_.end()) throw ProtocolError("unknown instance");
    SimulatedGateway& gateway = *it->second;
    if (!gateway.hasEventInBatch) {
      gateway.hasEventInBatch = true;
      gatewaysInBatch_.push_back(&gateway);
    }
    return gateway;
  }
  throw ProtocolError("no instance");
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

// A gateway of the same name is a process that has been replaced: nothing of it goes on.
void Adapter::addGateway(std::string_view fields) {
  std::string_view scan = fields;
  std::string_view name;
  Field field;
  while (name.empty() && nextField(scan, field))
    if (field.name == "i") name = field.value;
  if (name.empty()) throw ProtocolError("no instance");
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

// Its actions of this batch go with it.
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
    if (!entries) throw ProtocolError("unknown list");
    gateway.loadBalancer().onHostListUpdate(now_, update, *entries);
  }
  gateway.writeActions();
}

void Adapter::onRequest(SimulatedGateway& gateway, std::string_view fields) {
  // The name comes first, so that a request that is otherwise malformed can still be answered.
  const std::string_view name = findField(fields, "ref=");
  if (name.empty()) throw ProtocolError("no ref");
  if (gateway.requests().isOpen(name)) throw ProtocolError("an id that is still open");
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
  if (!request) return;  // forgotten: it has ended, and no attempt of it was in flight
  result.request = gateway.requests().idOf(name);
  if (request->attemptsInFlight > 0) --request->attemptsInFlight;
  if (result.requestEnded) request->ended = true;
  gateway.loadBalancer().onAttemptResult(now_, result);
  gateway.writeActions();
  if (gateway.requests().isOpen(name)) gateway.requests().forgetIfOver(result.request);
}

Adapter::RequestReference Adapter::readReference(std::string_view fields) {
  RequestReference reference;
  Field field;
  while (nextField(fields, field)) {
    if (field.name == "ref") reference.name = field.value;
    else if (field.name == "go") reference.attempt = field.number<std::uint32_t>();
  }
  if (reference.name.empty()) throw ProtocolError("no ref");
  return reference;
}

void Adapter::onClientDisconnected(SimulatedGateway& gateway, std::string_view fields) {
  const RequestReference reference = readReference(fields);
  OpenRequest* const request = gateway.requests().find(reference.name);
  if (!request) return;  // it may have been forgotten already
  const RequestId id = gateway.requests().idOf(reference.name);
  gateway.loadBalancer().onClientDisconnected(now_, id);
  request->ended = true;
  gateway.writeActions();
  if (gateway.requests().isOpen(reference.name)) gateway.requests().forgetIfOver(id);
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
  if (!hasOutcome) throw ProtocolError("no disposition");
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
  if (sender == kNone) throw ProtocolError("no sender");
  gateway.loadBalancer().onPeerMessage(now_, sender, message);
  gateway.writeActions();
}

}  // namespace finchstile::load_balancing::simulator
