#include "net/active_request.hpp"

#include "net/string_view.hpp"

namespace finchstile {

using load_balancing::RequestId;

std::string_view ActiveRequest::correlationId() const { return view((*message)["X-Correlation-Id"]); }

ActiveRequest* ActiveRequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

ActiveRequest* ActiveRequestTable::findUnfinished(RequestId id) {
  ActiveRequest* const request = find(id);
  return request && !request->finished ? request : nullptr;
}

void ActiveRequestTable::releaseIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.finished || found->second.pendingExchanges > 0) return;
  const ActiveRequest& request = found->second;
  if (request.clientLeft && request.mayHaveRun && !request.repeatable) {
    abandonedIds_.add(request.correlationId(), request.arrivedAt);
    if (onIdAbandoned) onIdAbandoned(request.correlationId(), request.arrivedAt);
  }
  correlationIds_.erase(std::string(request.correlationId()));
  requests_.erase(found);
}

std::vector<RequestId> ActiveRequestTable::unfinished() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_)
    if (!request.finished) ids.push_back(id);
  return ids;
}

std::size_t ActiveRequestTable::unfinishedCount() const {
  std::size_t count = 0;
  for (const auto& [id, request] : requests_) count += !request.finished;
  return count;
}

}  // namespace finchstile
