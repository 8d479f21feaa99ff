#include "net/upstream_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/upstream_connection.hpp"

namespace finchstile {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::Outcome;

UpstreamPool::UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits,
                           UpstreamCallbacks& callbacks)
    : io_(io), clock_(clock), limits_(limits), callbacks_(callbacks) {}

UpstreamPool::~UpstreamPool() = default;

// --- Attempts

void UpstreamPool::send(AttemptId id, HostId host, const tcp::endpoint& endpoint, bool verifyConnection) {
  PendingAttempt& attempt = attempts_[id];
  attempt.host = host;
  attempt.verifyConnection = verifyConnection;
  Upstream& upstream = upstreams_[host];
  upstream.endpoint = endpoint;
  while (!upstream.idle.empty()) {
    const auto connection = upstream.idle.back();
    upstream.idle.pop_back();
    if (!connection->isQuiet() || connection->endpoint() != endpoint) {
      connection->close();
      continue;
    }
    if (!trySend(id, connection)) assign(connection);
    return;
  }
  upstream.waiting.push_back(id);
  connectForWaiting(host);
  // The wait behind other attempts may be longer than any single connect, but is limited by the same timeout.
  attempt.waitTimer.emplace(io_, limits_.connectTimeout);
  attempt.waitTimer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) failWaiting(id);
  });
}

// Returns false if the attempt is not to be sent any more; the connection is still free.
bool UpstreamPool::trySend(AttemptId id, const ConnectionPointer& connection) {
  Outcome unsentOutcome = Outcome::connectFailed;
  std::optional<OutgoingRequest> request = callbacks_.composeRequest(id, connection->use(), unsentOutcome);
  if (!request) {
    asio::post(io_, [this, id, unsentOutcome] { failWaiting(id, unsentOutcome); });
    return false;
  }
  PendingAttempt& attempt = attempts_[id];
  attempt.waitTimer.reset();
  attempt.connection = connection;
  connection->send(id, std::move(*request), attempt.verifyConnection);
  return true;
}

UpstreamConnection* UpstreamPool::connectionOf(AttemptId id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : found->second.connection.get();
}

void UpstreamPool::sendBody(AttemptId id, std::string&& piece, bool last) {
  if (UpstreamConnection* const connection = connectionOf(id)) connection->sendBody(piece, last);
}

void UpstreamPool::resumeReading(AttemptId id) {
  if (UpstreamConnection* const connection = connectionOf(id)) connection->resumeReading();
}

bool UpstreamPool::abandonAttempt(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return false;
  const auto connection = found->second.connection;
  removeFromWaiting(id, found->second.host);
  attempts_.erase(found);
  if (!connection) return false;
  connection->close();
  return connection->lastByteSent();
}

void UpstreamPool::settle(AttemptId id, Outcome outcome, UpstreamResponse&& response) {
  if (attempts_.erase(id) > 0) callbacks_.onOutcome(id, outcome, std::move(response));
}

// Does nothing if the attempt has got a connection in the meantime.
void UpstreamPool::failWaiting(AttemptId id, Outcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.connection) return;
  removeFromWaiting(id, found->second.host);
  settle(id, outcome);
}

void UpstreamPool::removeFromWaiting(AttemptId id, HostId host) {
  auto& waiting = upstreams_[host].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
}

// --- Connections

void UpstreamPool::assign(const ConnectionPointer& connection) {
  Upstream& upstream = upstreams_[connection->host()];
  if (connection->endpoint() != upstream.endpoint) {  // the old address may belong to another host by now
    connection->close();
    return connectForWaiting(connection->host());
  }
  while (!upstream.waiting.empty()) {
    const AttemptId id = upstream.waiting.front();
    upstream.waiting.pop_front();
    if (trySend(id, connection)) return;
  }
  if (!upstream.pooling) return connection->close();
  connection->beginIdle(clock_.now());
  upstream.idle.push_back(connection);
  connection->watchWhileIdle();
}

void UpstreamPool::connectForWaiting(HostId host) {
  Upstream& upstream = upstreams_[host];
  // A connect costs the host real work, so there are never more than attempts are waiting, and only a few at
  // once.
  while (upstream.connecting.size() < std::min(upstream.waiting.size(), limits_.maxConnectingPerHost)) {
    if (connections_ >= limits_.maxConnections && !closeOneIdle()) return;
    const auto connection = std::make_shared<UpstreamConnection>(*this, host);
    upstream.connecting.push_back(connection);
    connection->connect(upstream.endpoint);
  }
}

void UpstreamPool::onConnectEnded(const ConnectionPointer& connection, bool connected) {
  const HostId host = connection->host();
  Upstream& upstream = upstreams_[host];
  upstream.connecting.erase(std::remove(upstream.connecting.begin(), upstream.connecting.end(), connection),
                            upstream.connecting.end());
  if (connected) {
    assign(connection);
    return connectForWaiting(host);
  }
  // A failed connect fails one attempt. The others have connects of their own, or get a connection that is in
  // use now.
  if (upstream.waiting.empty()) return;
  failWaiting(upstream.waiting.front());
  connectForWaiting(host);
}

void UpstreamPool::onConnectionCreated(HostId host) {
  ++connections_;
  ++upstreams_[host].connections;
  ++opened_;
}

void UpstreamPool::onConnectionClosed(HostId host) {
  --connections_;
  --upstreams_[host].connections;
}

void UpstreamPool::onIdleConnectionEnded(const ConnectionPointer& connection) {
  auto& idle = upstreams_[connection->host()].idle;
  idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
}

void UpstreamPool::setPooling(HostId host, bool pooling) {
  Upstream& upstream = upstreams_[host];
  upstream.pooling = pooling;
  if (pooling) return;
  for (const auto& connection : std::exchange(upstream.idle, {})) connection->close();
}

bool UpstreamPool::removeHost(HostId host) {
  const auto found = upstreams_.find(host);
  if (found == upstreams_.end()) return true;
  if (found->second.connections > 0) return false;
  for (const auto& [id, attempt] : attempts_)
    if (attempt.host == host) return false;
  upstreams_.erase(found);
  return true;
}

void UpstreamPool::sweep() {
  const Time idleBefore = clock_.now() - limits_.maxIdleTime;
  for (auto& [host, upstream] : upstreams_) {
    auto& idle = upstream.idle;
    const auto firstToKeep = std::find_if(idle.begin(), idle.end(), [&](const auto& connection) {
      return connection->idleSince() > idleBefore;
    });
    for (auto it = idle.begin(); it != firstToKeep; ++it) (*it)->close();
    idle.erase(idle.begin(), firstToKeep);
  }
}

// Closes an idle connection to free its descriptor. Returns false if none is idle.
bool UpstreamPool::closeOneIdle() {
  for (auto& [host, upstream] : upstreams_) {
    if (upstream.idle.empty()) continue;
    upstream.idle.front()->close();
    upstream.idle.erase(upstream.idle.begin());
    return true;
  }
  return false;
}

}  // namespace finchstile
