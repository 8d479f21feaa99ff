#include "net/response_relays.hpp"

#include <utility>

namespace finchstile {

namespace http = boost::beast::http;
using load_balancing::HostId;
using load_balancing::RequestId;

void ResponseRelays::begin(RelayId id, RequestId requestId, HostId host, ActiveRequest& request) {
  relays_[id] = {requestId, host, request.client, false};
  ++request.pendingExchanges;
}

void ResponseRelays::onBody(RelayId id, std::string&& piece, bool last) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  found->second.lastPieceSent = last;
  if (const auto client = found->second.client.lock()) client->writeBody(std::move(piece), last);
  else onAborted(id);
}

void ResponseRelays::onTruncated(RelayId id) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  if (const auto client = found->second.client.lock()) client->truncateResponse();
  if (const ActiveRequest* const request = requests_.find(found->second.request))
    metrics_.onResponse(request->classIndex, http::status::bad_gateway);
  end(id);
}

void ResponseRelays::onWritten(RelayId id) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  if (!found->second.lastPieceSent) return pool_.resumeReading(id);
  if (const ActiveRequest* const request = requests_.find(found->second.request))
    metrics_.onResponse(request->classIndex, http::status::ok);
  end(id);
}

void ResponseRelays::onAborted(RelayId id) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  if (ActiveRequest* const request = requests_.find(found->second.request)) request->clientLeft = true;
  pool_.abandonAttempt(id);
  end(id);
}

void ResponseRelays::end(RelayId id) {
  const auto found = relays_.find(id);
  const RequestId requestId = found->second.request;
  relays_.erase(found);
  if (ActiveRequest* const request = requests_.find(requestId)) --request->pendingExchanges;
  requests_.releaseIfDone(requestId);
}

}  // namespace finchstile
