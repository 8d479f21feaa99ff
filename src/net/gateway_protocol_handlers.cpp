// The gateway's part for fronts beside requests.
#include "net/gateway.hpp"

namespace finchstile {
namespace {

using load_balancing::ActionKind;
using load_balancing::HostId;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;

}  // namespace

void Gateway::submitRequest(ProtocolHandler& front, const load_balancing::Request& q) {
  asked_.emplace(q.id, &front);
  balancer_.onRequest(clock_.now(), q);
  carryOut();
}

void Gateway::attemptEstablished(RequestId request, std::uint32_t attempt) {
  balancer_.onResponseStarted(clock_.now(), request, attempt);
  carryOut();
}

void Gateway::attemptEnded(RequestId request, std::uint32_t attempt, HostId host, Outcome outcome,
                           Duration taken, bool last) {
  load_balancing::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.host = host;
  result.outcome = outcome;
  result.elapsed = taken;
  result.requestEnded = last;
  if (last) asked_.erase(request);
  balancer_.onAttemptResult(clock_.now(), result);
  carryOut();
}

void Gateway::clientDisconnected(RequestId request) {
  balancer_.onClientDisconnected(clock_.now(), request);
  carryOut();
  asked_.erase(request);
}

HostPhase Gateway::hostPhase(HostId host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? HostPhase::removed : it->second.phase;
}

bool Gateway::frontsIdle() const {
  return std::all_of(fronts_.begin(), fronts_.end(),
                     [](const ProtocolHandler* front) { return front->isIdle(); });
}

bool Gateway::carryOut(const load_balancing::Action& action, ProtocolHandler& front) {
  switch (action.kind) {
    case ActionKind::sendAttempt: {
      const auto h = hosts_.find(action.host);
      if (h == hosts_.end()) return false;  // cannot be, see `send`
      front.onSendAttempt(action.request, action.attempt,
                          {action.host, h->second.endpoint, h->second.listed.address, h->second.zone},
                          action.duration);
      return true;
    }
    case ActionKind::cancelAttempt: return true;  // done ahead of everything else, see `cancel`
    case ActionKind::reject:
      asked_.erase(action.request);
      front.onRequestRejected(action.request, action.duration);
      return true;
    case ActionKind::fail:
      asked_.erase(action.request);
      front.onRequestFailed(action.request);
      return true;
    default: return false;
  }
}

}  // namespace finchstile
