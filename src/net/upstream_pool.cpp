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
    if (!connection->isAlive() || connection->endpoint() != endpoint) {
      connection->close();
      continue;
    }
    if (!sendOn(id, connection)) assign(connection);
    return;
  }
  upstream.waiting.push_back(id);
  connectMore(host);
  // Behind other attempts the wait may outlast any single connect. It ends after the same time.
  attempt.waitTimer.emplace(io_, limits_.connectTimeout);
  attempt.waitTimer->async_wait([this, id](error_code stopped) {
    if (!stopped) failWaiting(id);
  });
}

// False: the attempt is no longer to be sent, and the connection stays free.
bool UpstreamPool::sendOn(AttemptId id, const ConnectionPointer& connection) {
  Outcome unsent = Outcome::connectFailed;
  std::optional<OutgoingRequest> request = callbacks_.composeRequest(id, unsent);
  if (!request) {
    asio::post(io_, [this, id, unsent] { failWaiting(id, unsent); });
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

// Does nothing if the attempt has got a connection meanwhile.
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
  if (connection->endpoint() != upstream.endpoint) {  // the old address may be another host's by now
    connection->close();
    return connectMore(connection->host());
  }
  while (!upstream.waiting.empty()) {
    const AttemptId id = upstream.waiting.front();
    upstream.waiting.pop_front();
    if (sendOn(id, connection)) return;
  }
  if (!upstream.open) return connection->close();
  connection->beginIdle(clock_.now());
  upstream.idle.push_back(connection);
  connection->watchWhileIdle();
}

void UpstreamPool::connectMore(HostId host) {
  Upstream& upstream = upstreams_[host];
  // A connection costs the host real work: never more than attempts wait for, and not many at once.
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
    return connectMore(host);
  }
  // One connect stands for one attempt. The others have connects of their own, or get a connection in use.
  if (upstream.waiting.empty()) return;
  failWaiting(upstream.waiting.front());
  connectMore(host);
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

void UpstreamPool::setOpen(HostId host, bool open) {
  Upstream& upstream = upstreams_[host];
  upstream.open = open;
  if (open) return;
  for (const auto& connection : std::exchange(upstream.idle, {})) connection->close();
}

bool UpstreamPool::forget(HostId host) {
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

// Gives a descriptor back. False: no connection is idle.
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
