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
    : io_(io), clock_(clock), limits_(limits), callbacks_(callbacks), reuseDelay_(limits.minReuseDelay) {}

UpstreamPool::~UpstreamPool() = default;

// --- Attempts

void UpstreamPool::send(AttemptId id, HostId host, const tcp::endpoint& endpoint, bool verifyConnection) {
  PendingAttempt& attempt = attempts_[id];
  attempt.host = host;
  attempt.verifyConnection = verifyConnection;
  Upstream& upstream = upstreams_[host];
  upstream.endpoint = endpoint;
  upstream.waiting.push_back(id);
  serveWaiting(host);
  const bool waitsForRest = !upstream.waiting.empty() && !upstream.idle.empty();
  if (upstream.restWaits.add(waitsForRest)) connect(host, upstream, 1);
  if (upstream.waiting.empty()) return;
  // The wait behind other attempts may be longer than any single connect, but is limited by the same timeout.
  attempt.waitTimer.emplace(io_, limits_.connectTimeout);
  attempt.waitTimer->async_wait([this, id](error_code cancelled) {
    if (!cancelled) failWaiting(id);
  });
}

void UpstreamPool::serveWaiting(HostId host) {
  Upstream& upstream = upstreams_[host];
  while (!upstream.waiting.empty()) {
    const auto connection = takeRested(upstream);
    if (!connection) break;
    if (!sendNextWaiting(upstream, connection)) keepIdle(upstream, connection);
  }
  if (upstream.waiting.empty()) return;
  connectForWaiting(host);
  awaitRest(host);
}

// Returns false if no waiting attempt is to be sent any more; the connection is still free.
bool UpstreamPool::sendNextWaiting(Upstream& upstream, const ConnectionPointer& connection) {
  while (!upstream.waiting.empty()) {
    const AttemptId id = upstream.waiting.front();
    upstream.waiting.pop_front();
    if (trySend(id, connection)) return true;
  }
  return false;
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

TransferPhase UpstreamPool::transferPhase(AttemptId id) {
  UpstreamConnection* const connection = connectionOf(id);
  return connection ? connection->transferPhase() : TransferPhase::none;
}

void UpstreamPool::reportDeadline(AttemptId id) {
  UpstreamConnection* const connection = connectionOf(id);
  if (!connection || connection->transferPhase() == TransferPhase::none) return;
  connection->reportTransferEnd(TransferEndReason::deadline);
}

void UpstreamPool::relay(AttemptId id) {
  if (UpstreamConnection* const connection = connectionOf(id)) connection->relay();
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

void UpstreamPool::release(const ConnectionPointer& connection) {
  const HostId host = connection->host();
  Upstream& upstream = upstreams_[host];
  if (connection->endpoint() != upstream.endpoint) {  // the old address may belong to another host by now
    connection->close();
    return connectForWaiting(host);
  }
  keepIdle(upstream, connection);
  serveWaiting(host);
}

void UpstreamPool::keepIdle(Upstream& upstream, const ConnectionPointer& connection) {
  if (!upstream.pooling) return connection->close();
  connection->beginIdle(clock_.now());
  upstream.idle.push_back(connection);
  connection->watchWhileIdle();
}

// Returns the most recently used connection that has rested; null if there is none.
UpstreamPool::ConnectionPointer UpstreamPool::takeRested(Upstream& upstream) {
  const Time now = clock_.now();
  const Duration delay = reuseDelay_.at(now);
  for (std::size_t i = upstream.idle.size(); i-- > 0;) {
    ConnectionPointer connection = upstream.idle[i];
    if (connection->lastResponseAt() + delay > now) continue;
    upstream.idle.erase(upstream.idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->isQuiet() && connection->endpoint() == upstream.endpoint) return connection;
    connection->close();
  }
  return nullptr;
}

// Serves the waiting attempts when the next connection has rested.
void UpstreamPool::awaitRest(HostId host) {
  Upstream& upstream = upstreams_[host];
  if (upstream.idle.empty()) return;
  const auto next = std::min_element(
      upstream.idle.begin(), upstream.idle.end(),
      [](const auto& one, const auto& other) { return one->lastResponseAt() < other->lastResponseAt(); });
  const Time restedAt = (*next)->lastResponseAt() + reuseDelay_.at(clock_.now());
  if (!upstream.restTimer) upstream.restTimer.emplace(io_);
  upstream.restTimer->expires_at(clock_.steady(restedAt));
  upstream.restTimer->async_wait([this, host](error_code cancelled) {
    if (!cancelled) serveWaiting(host);
  });
}

void UpstreamPool::onUnsolicitedBytes(Duration delay) {
  unsolicitedBytes_.add(delay);
  reuseDelay_.onUnsolicitedBytes(clock_.now(), delay);
}

// A connect costs the host real work and takes longer than a connection rests, so there are never more than
// attempts are waiting for which no resting connection will do, and only a few at once.
void UpstreamPool::connectForWaiting(HostId host) {
  Upstream& upstream = upstreams_[host];
  const std::size_t covered = upstream.idle.size() + upstream.connecting.size();
  if (upstream.waiting.size() > covered) connect(host, upstream, upstream.waiting.size() - covered);
}

void UpstreamPool::connect(HostId host, Upstream& upstream, std::size_t count) {
  for (; count > 0 && upstream.connecting.size() < limits_.maxConnectingPerHost; --count) {
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
    if (connection->endpoint() != upstream.endpoint) connection->close();
    else if (!sendNextWaiting(upstream, connection)) keepIdle(upstream, connection);
    return connectForWaiting(host);
  }
  // A failed connect fails one attempt. The others have connects of their own, or get a connection that is in
  // use or rests now.
  if (upstream.waiting.size() <= upstream.idle.size()) return;
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

// Closes an idle connection to free its descriptor. Returns false if none is idle, or if attempts wait for
// those that are.
bool UpstreamPool::closeOneIdle() {
  for (auto& [host, upstream] : upstreams_) {
    if (upstream.idle.empty() || !upstream.waiting.empty()) continue;
    upstream.idle.front()->close();
    upstream.idle.erase(upstream.idle.begin());
    return true;
  }
  return false;
}

}  // namespace finchstile
