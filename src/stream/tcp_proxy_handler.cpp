#include "stream/tcp_proxy_handler.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <stdexcept>
#include <utility>

#include "net/connection_acceptor.hpp"
#include "net/socket_io.hpp"
#include "stream/sockets.hpp"

namespace finchstile::stream {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;

}  // namespace

struct TcpProxyHandler::Listener {
  Listener(TcpProxyHandler& handler, const ListenSettings& s, std::uint32_t cls)
      : settings(s),
        classIndex(cls),
        acceptor(handler.io_),
        connectionAcceptor(acceptor, {[this, &handler](tcp::socket&& socket) {
                             handler.startPending(*this, std::move(socket));
                           }}) {}
  const ListenSettings settings;
  const std::uint32_t classIndex;
  tcp::acceptor acceptor;
  ConnectionAcceptor connectionAcceptor;
};

struct TcpProxyHandler::PendingStream {
  PendingStream(Listener& l, tcp::socket s, asio::io_context& io)
      : listener(l), client(std::move(s)), host(io), timer(io) {}
  Listener& listener;
  tcp::socket client, host;
  asio::steady_timer timer;  // limit of the PROXY header, then of each connect
  RequestId request = 0;
  StreamInfo info;
  std::string clientBytes;  // client bytes read while waiting for the PROXY header
  ProxyHeader ends;
  bool submitted = false;                // the decision module has the request and has not finished it
  std::optional<std::uint32_t> attempt;  // attempt in progress whose end must be reported
  Time sent{};
  bool over = false;
};

TcpProxyHandler::TcpProxyHandler(asio::io_context& io, const Clock& clock, const StreamSettings& settings,
                                 const load_balancing::Settings& platform, ProtocolHandlerCallbacks& gateway,
                                 StreamTable& table)
    : io_(io), clock_(clock), gateway_(gateway), table_(table) {
  for (const ListenSettings& l : settings.listen) {
    std::uint32_t cls = 0;
    while (cls < platform.classes.size() && platform.classes[cls].name != l.className) ++cls;
    if (cls == platform.classes.size())
      throw std::runtime_error("streams.listen '" + l.name + "': the platform's settings have no class '" +
                               l.className + "'");
    auto listener = std::make_unique<Listener>(*this, l, cls);
    try {
      listener->acceptor.open(l.at.protocol());
      listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
      listener->acceptor.bind(l.at);
      listener->acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("streams.listen '" + l.name + "': " + textOf(l.at) + ": " +
                               error.code().message());
    }
    listeners_.push_back(std::move(listener));
  }
}

TcpProxyHandler::~TcpProxyHandler() {
  for (auto& [id, pending] : pendingStreams_) pending->over = true;
}

tcp::endpoint TcpProxyHandler::endpoint(std::size_t listener) const {
  return listeners_.at(listener)->acceptor.local_endpoint();
}

void TcpProxyHandler::start() {
  for (const auto& l : listeners_) l->connectionAcceptor.start();
}

void TcpProxyHandler::startPending(Listener& l, tcp::socket socket) {
  error_code error;
  const tcp::endpoint from = socket.remote_endpoint(error);
  const tcp::endpoint to = error ? tcp::endpoint{} : socket.local_endpoint(error);
  if (error) return;  // already disconnected
  const auto pending = std::make_shared<PendingStream>(l, std::move(socket), io_);
  pending->request = gateway_.newRequest();
  pending->info.request = pending->request;
  pending->info.name = l.settings.name;
  pending->info.from = textOf(from);
  pending->info.since = clock_.now();
  pending->ends.ends = ProxyHeader::Ends{from, to};
  table_.statistics().onAccepted(l.settings.name);
  pendingStreams_.emplace(pending->request, pending);
  // Pending streams count as well: connections that never send a PROXY header must not exceed the limit
  // before the decision module sees them.
  if (pendingStreams_.size() + table_.size() > table_.most())
    return dropPending(pending, {EndedBy::gateway, EndReason::rejected, false});
  pending->client.non_blocking(true, error);
  watchForReset(pending);
  if (pending->over) return;
  if (!l.settings.proxyIn) return submit(pending);
  pending->timer.expires_after(l.settings.connect);
  pending->timer.async_wait([this, pending](error_code stopped) {
    if (!stopped && !pending->over && !pending->submitted)
      dropPending(pending, {EndedBy::client, EndReason::header, false});
  });
  readHeader(pending);
}

// Drops the pending stream when the client resets its connection. A client that has only sent its FIN still
// waits for a response.
void TcpProxyHandler::watchForReset(const std::shared_ptr<PendingStream>& pending) {
  pending->client.async_wait(tcp::socket::wait_error, [this, pending](error_code error) {
    if (error || pending->over) return;
    if (isBroken(pending->client))
      dropPending(pending, {EndedBy::client, EndReason::clientDisconnected, false});
  });
}

void TcpProxyHandler::readHeader(const std::shared_ptr<PendingStream>& pending) {
  pending->client.async_wait(tcp::socket::wait_read, [this, pending](error_code error) {
    if (pending->over) return;
    char bytes[kMaxProxyHeaderBytes];
    // Bytes after the header belong to the stream and are kept for the host.
    const std::size_t n = error ? 0 : pending->client.read_some(asio::buffer(bytes), error);
    if (error == asio::error::would_block) return readHeader(pending);
    if (error) return dropPending(pending, {EndedBy::client, EndReason::header, false});
    pending->clientBytes.append(bytes, n);
    const ProxyRead r = readProxyHeader(pending->clientBytes);
    if (r.verdict == ProxyRead::Verdict::more) return readHeader(pending);
    if (r.verdict == ProxyRead::Verdict::bad)
      return dropPending(pending, {EndedBy::client, EndReason::header, false});
    pending->clientBytes.erase(0, r.used);
    if (r.header.ends) {
      pending->ends = r.header;
      pending->info.from = textOf(r.header.ends->from);
    }
    submit(pending);
  });
}

void TcpProxyHandler::submit(const std::shared_ptr<PendingStream>& pending) {
  pending->timer.cancel();
  pending->submitted = true;
  load_balancing::Request q;
  q.id = pending->request;
  q.classIndex = pending->listener.classIndex;
  q.timeLeft = pending->listener.settings.connect;
  q.isStream = true;
  gateway_.submitRequest(*this, q);
}

std::shared_ptr<TcpProxyHandler::PendingStream> TcpProxyHandler::find(RequestId request) const {
  const auto it = pendingStreams_.find(request);
  return it == pendingStreams_.end() ? nullptr : it->second;
}

// --- Decisions of the module

void TcpProxyHandler::onSendAttempt(RequestId request, std::uint32_t attempt, const AttemptTarget& to,
                                    Duration limit) {
  const auto pending = find(request);
  if (!pending) return;
  pending->attempt = attempt;
  pending->sent = clock_.now();
  pending->info.attempt = attempt;
  pending->info.host = to.host;
  pending->info.hostName = std::string(to.name);
  pending->host = tcp::socket(io_);
  pending->timer.expires_after(limit);
  pending->timer.async_wait([this, pending, attempt](error_code stopped) {
    if (!stopped) onConnectFinished(pending, attempt, false);
  });
  pending->host.async_connect(to.endpoint, [this, pending, attempt](error_code error) {
    if (error != asio::error::operation_aborted) onConnectFinished(pending, attempt, !error);
  });
}

void TcpProxyHandler::onConnectFinished(const std::shared_ptr<PendingStream>& pending, std::uint32_t attempt,
                                        bool good) {
  if (pending->over || pending->attempt != attempt) return;
  pending->timer.cancel();
  // The host may have started draining during the connect; check before the first byte is sent.
  if (!good || gateway_.hostPhase(pending->info.host) != HostPhase::active)
    return endAttempt(*pending, Outcome::connectFailed);
  error_code error;
  if (pending->listener.settings.proxyOut) {
    // Fits into the empty send buffer of a new connection.
    const std::string header = writeProxyHeader(pending->ends);
    pending->host.non_blocking(true, error);
    if (writeNow(pending->host, asio::buffer(header)) < header.size())
      return endAttempt(*pending, Outcome::connectFailed);
  }
  pending->over = true;
  pendingStreams_.erase(pending->request);
  pending->client.cancel(error);
  RelayParts parts{std::move(pending->client),
                   std::move(pending->host),
                   std::move(pending->clientBytes),
                   {},
                   {},
                   pending->listener.settings.flow,
                   nullptr};
  table_.addEstablished(pending->info, std::move(parts));
}

// Ends an attempt of which nothing was sent. The decision module chooses the next step.
void TcpProxyHandler::endAttempt(PendingStream& pending, Outcome outcome) {
  if (!pending.attempt) return;
  const std::uint32_t attempt = *std::exchange(pending.attempt, std::nullopt);
  error_code ignored;
  pending.timer.cancel();
  pending.host.close(ignored);
  gateway_.attemptEnded(pending.request, attempt, pending.info.host, outcome, clock_.now() - pending.sent,
                        false);
}

void TcpProxyHandler::onCancelAttempt(RequestId request, std::uint32_t attempt) {
  const auto pending = find(request);
  if (pending && pending->attempt == attempt) endAttempt(*pending, Outcome::notSent);
}

void TcpProxyHandler::onRequestRejected(RequestId request, Duration) {
  const auto pending = find(request);
  if (!pending) return;
  pending->submitted = false;
  dropPending(pending, {EndedBy::gateway, EndReason::rejected, false});
}

void TcpProxyHandler::onRequestFailed(RequestId request) {
  const auto pending = find(request);
  if (!pending) return;
  pending->submitted = false;
  dropPending(pending, {EndedBy::host, EndReason::notEstablished, false});
}

void TcpProxyHandler::dropPending(const std::shared_ptr<PendingStream>& pending, const Ending& how) {
  if (std::exchange(pending->over, true)) return;
  pending->timer.cancel();
  error_code ignored;
  resetAtClose(pending->client);
  pending->client.close(ignored);
  pendingStreams_.erase(pending->request);
  table_.onNotEstablished(pending->info, how);
  if (std::exchange(pending->submitted, false)) gateway_.clientDisconnected(pending->request);
  endAttempt(*pending, Outcome::notSent);
}

// --- Drains

void TcpProxyHandler::onHostPhaseChanged(HostId host, HostPhase phase) {
  if (phase != HostPhase::active) {
    std::vector<std::shared_ptr<PendingStream>> there;
    for (const auto& [id, pending] : pendingStreams_)
      if (pending->attempt && pending->info.host == host) there.push_back(pending);
    for (const auto& pending : there) endAttempt(*pending, Outcome::connectFailed);
  }
  table_.updateHostPhase(host, phase);
}

// Closing the listeners resets connections in the accept queue now instead of at exit.
void TcpProxyHandler::onDrain(Time until) {
  for (const auto& l : listeners_) {
    error_code ignored;
    l->acceptor.close(ignored);
    l->connectionAcceptor.stop();
  }
  table_.onDrain(until);
}

}  // namespace finchstile::stream
