#include "stream/tcp_proxy_handler.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

#include "stream/sockets.hpp"

namespace finchstile::stream {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;

constexpr Duration kAcceptPause = std::chrono::milliseconds(20);  // after a failed accept

}  // namespace

struct TcpProxyHandler::Listener {
  Listener(asio::io_context& io, const ListenSettings& s, std::uint32_t cls)
      : settings(s), classIndex(cls), acceptor(io), pause(io) {}
  const ListenSettings settings;
  const std::uint32_t classIndex;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
};

struct TcpProxyHandler::Comer {
  Comer(Listener& l, tcp::socket s, asio::io_context& io)
      : listener(l), client(std::move(s)), host(io), timer(io) {}
  Listener& listener;
  tcp::socket client, host;
  asio::steady_timer timer;  // for the header, then for each dial
  RequestId request = 0;
  Begun begun;
  std::string read;  // of the client, while a header is awaited
  ProxyHeader ends;
  bool asked = false;                    // the module; and it has not had its last word
  std::optional<std::uint32_t> attempt;  // out, and owed its end
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
    auto listener = std::make_unique<Listener>(io, l, cls);
    try {
      listener->acceptor.open(l.at.protocol());
      listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
      listener->acceptor.bind(l.at);
      listener->acceptor.listen(asio::socket_base::max_listen_connections);
      listener->acceptor.non_blocking(true);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("streams.listen '" + l.name + "': " + textOf(l.at) + ": " +
                               error.code().message());
    }
    listeners_.push_back(std::move(listener));
  }
}

TcpProxyHandler::~TcpProxyHandler() {
  for (auto& [id, comer] : comers_) comer->over = true;
}

tcp::endpoint TcpProxyHandler::endpoint(std::size_t listener) const {
  return listeners_.at(listener)->acceptor.local_endpoint();
}

void TcpProxyHandler::start() {
  for (const auto& l : listeners_) accept(*l);
}

void TcpProxyHandler::accept(Listener& l) {
  l.acceptor.async_accept([this, &l](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !l.acceptor.is_open()) return;
    if (!error) {
      take(l, std::move(socket));
      return accept(l);
    }
    // Danger: out of descriptors, accept fails at once and for ever; a loop over it would eat the core.
    l.pause.expires_after(kAcceptPause);
    l.pause.async_wait([this, &l](error_code stopped) {
      if (!stopped && l.acceptor.is_open()) accept(l);
    });
  });
}

void TcpProxyHandler::take(Listener& l, tcp::socket socket) {
  error_code error;
  const tcp::endpoint from = socket.remote_endpoint(error);
  const tcp::endpoint to = error ? tcp::endpoint{} : socket.local_endpoint(error);
  if (error) return;  // gone again
  const auto comer = std::make_shared<Comer>(l, std::move(socket), io_);
  comer->request = gateway_.newRequest();
  comer->begun.request = comer->request;
  comer->begun.name = l.settings.name;
  comer->begun.from = textOf(from);
  comer->begun.since = clock_.now();
  comer->ends.ends = ProxyHeader::Ends{from, to};
  table_.account().onTaken(l.settings.name);
  comers_.emplace(comer->request, comer);
  // Danger: those that say nothing would fill the table before the module is asked.
  if (comers_.size() + table_.size() > table_.most())
    return drop(comer, {Ender::gateway, Why::turnedAway, false});
  comer->client.non_blocking(true, error);
  watch(comer);
  if (comer->over) return;
  if (!l.settings.proxyIn) return ask(comer);
  comer->timer.expires_after(l.settings.connect);
  comer->timer.async_wait([this, comer](error_code stopped) {
    if (!stopped && !comer->over && !comer->asked) drop(comer, {Ender::client, Why::header, false});
  });
  readHeader(comer);
}

// Who resets before its stream has begun is gone; who has sent its FIN waits for an answer.
void TcpProxyHandler::watch(const std::shared_ptr<Comer>& comer) {
  comer->client.async_wait(tcp::socket::wait_error, [this, comer](error_code error) {
    if (error || comer->over) return;
    if (isBroken(comer->client)) drop(comer, {Ender::client, Why::left, false});
  });
}

void TcpProxyHandler::readHeader(const std::shared_ptr<Comer>& comer) {
  comer->client.async_wait(tcp::socket::wait_read, [this, comer](error_code error) {
    if (comer->over) return;
    char bytes[kMaxProxyHeaderBytes];
    // Danger: one byte more than the header is the stream's own; it is kept for the host.
    const std::size_t n = error ? 0 : comer->client.read_some(asio::buffer(bytes), error);
    if (error == asio::error::would_block) return readHeader(comer);
    if (error) return drop(comer, {Ender::client, Why::header, false});
    comer->read.append(bytes, n);
    const ProxyRead r = readProxyHeader(comer->read);
    if (r.verdict == ProxyRead::Verdict::more) return readHeader(comer);
    if (r.verdict == ProxyRead::Verdict::bad) return drop(comer, {Ender::client, Why::header, false});
    comer->read.erase(0, r.used);
    if (r.header.ends) {
      comer->ends = r.header;
      comer->begun.from = textOf(r.header.ends->from);
    }
    ask(comer);
  });
}

void TcpProxyHandler::ask(const std::shared_ptr<Comer>& comer) {
  comer->timer.cancel();
  comer->asked = true;
  load_balancing::Request q;
  q.id = comer->request;
  q.classIndex = comer->listener.classIndex;
  q.timeLeft = comer->listener.settings.connect;
  q.isStream = true;
  gateway_.submitRequest(*this, q);
}

std::shared_ptr<TcpProxyHandler::Comer> TcpProxyHandler::find(RequestId request) const {
  const auto it = comers_.find(request);
  return it == comers_.end() ? nullptr : it->second;
}

// --- What the module has decided
// -----------------------------------------------------------------------------

void TcpProxyHandler::onSendAttempt(RequestId request, std::uint32_t attempt, const AttemptTarget& to,
                                    Duration limit) {
  const auto comer = find(request);
  if (!comer) return;
  comer->attempt = attempt;
  comer->sent = clock_.now();
  comer->begun.attempt = attempt;
  comer->begun.host = to.host;
  comer->begun.hostName = std::string(to.name);
  comer->host = tcp::socket(io_);
  comer->timer.expires_after(limit);
  comer->timer.async_wait([this, comer, attempt](error_code stopped) {
    if (!stopped) dialled(comer, attempt, false);
  });
  comer->host.async_connect(to.endpoint, [this, comer, attempt](error_code error) {
    if (error != asio::error::operation_aborted) dialled(comer, attempt, !error);
  });
}

void TcpProxyHandler::dialled(const std::shared_ptr<Comer>& comer, std::uint32_t attempt, bool good) {
  if (comer->over || comer->attempt != attempt) return;
  comer->timer.cancel();
  // The last look before the first byte: its host may have begun to drain meanwhile.
  if (!good || gateway_.hostPhase(comer->begun.host) != HostPhase::active)
    return giveUp(*comer, Outcome::connectFailed);
  error_code error;
  if (comer->listener.settings.proxyOut) {
    // It fits into the empty buffer of a new connection.
    const std::string header = writeProxyHeader(comer->ends);
    comer->host.non_blocking(true, error);
    const std::size_t n = comer->host.write_some(asio::buffer(header), error);
    if (error || n < header.size()) return giveUp(*comer, Outcome::connectFailed);
  }
  comer->over = true;
  comers_.erase(comer->request);
  comer->client.cancel(error);
  RelayParts parts{std::move(comer->client),
                   std::move(comer->host),
                   std::move(comer->read),
                   {},
                   {},
                   comer->listener.settings.flow,
                   nullptr};
  table_.take(comer->begun, std::move(parts));
}

// Nothing of it went out. What comes next, the module tells.
void TcpProxyHandler::giveUp(Comer& comer, Outcome outcome) {
  if (!comer.attempt) return;
  const std::uint32_t attempt = *std::exchange(comer.attempt, std::nullopt);
  error_code ignored;
  comer.timer.cancel();
  comer.host.close(ignored);
  gateway_.attemptEnded(comer.request, attempt, comer.begun.host, outcome, clock_.now() - comer.sent, false);
}

void TcpProxyHandler::onCancelAttempt(RequestId request, std::uint32_t attempt) {
  const auto comer = find(request);
  if (comer && comer->attempt == attempt) giveUp(*comer, Outcome::notSent);
}

void TcpProxyHandler::onRequestRejected(RequestId request, Duration) {
  const auto comer = find(request);
  if (!comer) return;
  comer->asked = false;
  drop(comer, {Ender::gateway, Why::turnedAway, false});
}

void TcpProxyHandler::onRequestFailed(RequestId request) {
  const auto comer = find(request);
  if (!comer) return;
  comer->asked = false;
  drop(comer, {Ender::host, Why::unreached, false});
}

void TcpProxyHandler::drop(const std::shared_ptr<Comer>& comer, const Ending& how) {
  if (std::exchange(comer->over, true)) return;
  comer->timer.cancel();
  error_code ignored;
  resetAtClose(comer->client);
  comer->client.close(ignored);
  comers_.erase(comer->request);
  table_.ended(comer->begun, how);
  if (std::exchange(comer->asked, false)) gateway_.clientDisconnected(comer->request);
  giveUp(*comer, Outcome::notSent);
}

// --- Drains
// ------------------------------------------------------------------------------------------------

void TcpProxyHandler::onHostPhaseChanged(HostId host, HostPhase phase) {
  if (phase != HostPhase::active) {
    std::vector<std::shared_ptr<Comer>> there;
    for (const auto& [id, comer] : comers_)
      if (comer->attempt && comer->begun.host == host) there.push_back(comer);
    for (const auto& comer : there) giveUp(*comer, Outcome::connectFailed);
  }
  table_.onHost(host, phase);
}

// What the kernel has taken in for us is turned away at once by the close, as it would be by the end.
void TcpProxyHandler::onDrain(Time until) {
  for (const auto& l : listeners_) {
    error_code ignored;
    l->acceptor.close(ignored);
    l->pause.cancel();
  }
  table_.onDrain(until);
}

}  // namespace finchstile::stream
