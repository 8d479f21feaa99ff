// The gateway's part for fronts beside requests.
#include "net/gateway.hpp"

namespace finchstile {
namespace {

using ridgeshift::ActionKind;
using ridgeshift::HostId;
using ridgeshift::Outcome;
using ridgeshift::Phase;
using ridgeshift::RequestId;

}  // namespace

void Gateway::ask(Front& front, const ridgeshift::Request& q) {
  asked_.emplace(q.id, &front);
  balancer_.onRequest(clock_.now(), q);
  carryOut();
}

void Gateway::begun(RequestId request, std::uint32_t attempt) {
  balancer_.onAnswerStarted(clock_.now(), request, attempt);
  carryOut();
}

void Gateway::over(RequestId request, std::uint32_t attempt, HostId host, Outcome outcome, Duration taken,
                   bool last) {
  ridgeshift::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.host = host;
  result.outcome = outcome;
  result.taken = taken;
  result.terminal = last;
  if (last) asked_.erase(request);
  balancer_.onResult(clock_.now(), result);
  carryOut();
}

void Gateway::left(RequestId request) {
  balancer_.onClientGone(clock_.now(), request);
  carryOut();
  asked_.erase(request);
}

Phase Gateway::phaseOf(HostId host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? Phase::out : it->second.phase;
}

bool Gateway::frontsIdle() const {
  return std::all_of(fronts_.begin(), fronts_.end(), [](const Front* front) { return front->idle(); });
}

bool Gateway::carryOut(const ridgeshift::Action& action, Front& front) {
  switch (action.kind) {
    case ActionKind::send: {
      const auto h = hosts_.find(action.host);
      if (h == hosts_.end()) return false;  // cannot be, see `send`
      front.onSend(action.request, action.attempt,
                   {action.host, h->second.endpoint, h->second.listed.address, h->second.zone}, action.span);
      return true;
    }
    case ActionKind::cancel: return true;  // done ahead of everything else, see `cancel`
    case ActionKind::refuse:
      asked_.erase(action.request);
      front.onRefused(action.request, action.span);
      return true;
    case ActionKind::fail:
      asked_.erase(action.request);
      front.onFailed(action.request);
      return true;
    default: return false;
  }
}

}  // namespace finchstile
