#include "net/listener.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/address.hpp"

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

// A process that replaces another one may start before the kernel has released the address. The value is a
// third of the time in which the platform requires a restarted process to be ready.
constexpr Duration kMaxBindTime = milliseconds(3300);
constexpr Duration kBindRetryInterval = milliseconds(20);
// One connection beyond the limit may exist, while it is refused, per this many served connections.
constexpr std::size_t kConnectionsPerRefused = 32;
// How long the request of a typical client may be in transit.
constexpr Duration kMaxRequestTransit = milliseconds(100);
// At most one in this many connections may be idle. Otherwise clients that send one request and keep the
// connection open would use up the limit.
constexpr std::size_t kConnectionsPerIdle = 3;

}  // namespace

Listener::Listener(asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint, int inherited,
                   const Limits& limits, const ClientConnectionOptions& options, ClientCallbacks& callbacks)
    : io_(io),
      clock_(clock),
      maxConnections_(limits.connections),
      maxRefused_(limits.connections / kConnectionsPerRefused + 1),
      memory_(limits.memory),
      options_(options),
      callbacks_(callbacks),
      acceptor_(io),
      connectionAcceptor_(acceptor_, {[this](tcp::socket&& socket) { add(std::move(socket)); },
                                      [this] { shedConnection(); }}),
      bufferBudget_(limits.bufferBytes, limits.connections, kMaxReadBytes, limits.memory),
      inherited_(inherited >= 0) {
  if (inherited_) inherit(endpoint, inherited);
  else bind(endpoint);
}

void Listener::bind(const tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  const Time deadline = clock_.now() + kMaxBindTime;
  for (error_code error;;) {
    acceptor_.bind(endpoint, error);
    if (!error) break;
    if (error != asio::error::address_in_use || clock_.now() >= deadline)
      throw std::runtime_error("cannot listen at " + addressText(endpoint) + ": " + error.message());
    std::this_thread::sleep_for(kBindRetryInterval);
  }
  acceptor_.listen(asio::socket_base::max_listen_connections);
}

// The number may refer to another descriptor, such as a file of this process or a foreign socket, which must
// not be used as the listener.
void Listener::inherit(const tcp::endpoint& endpoint, int fd) {
  const auto fail = [fd](const std::string& what) {
    throw std::runtime_error("the inherited descriptor " + std::to_string(fd) + " " + what);
  };
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0)
    fail("is no listening socket");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  error_code error;
  acceptor_.assign(endpoint.protocol(), fd, error);
  if (error) fail("can't be used: " + error.message());
  const tcp::endpoint boundEndpoint = acceptor_.local_endpoint(error);
  if (error || (endpoint.port() != 0 && boundEndpoint != endpoint))
    fail("does not listen at the address that is configured");
}

void Listener::add(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  // Lingering sessions already have their responses. They do not count against the limit, and are closed
  // below if necessary.
  const bool hasCapacity =
      (size_ - sessionsIn(State::lingering).size() < maxConnections_ || shedUnfinishedConnection()) &&
      hasMemoryForConnection();
  const auto session = std::make_shared<ClientSession>(std::move(socket), *this);
  session->listPosition_ = sessionsIn(State::fresh).insert(sessionsIn(State::fresh).end(), session);
  session->stateSince_ = clock_.now();
  ++size_;
  while (size_ > maxConnections_ + maxRefused_ && !sessionsIn(State::lingering).empty())
    endOldest(State::lingering);
  if (hasCapacity) session->start();
  else session->refuseConnection();
}

void Listener::adopt(int fd) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(acceptor_.is_open() ? acceptor_.local_endpoint(error).protocol() : tcp::v4(), fd, error);
  if (error) ::close(fd);
  else add(std::move(socket));
}

// Only a connection without buffered bytes is handed over: bytes of a next request that were read already
// would be missing in the other process. Bytes in the kernel's receive buffer move along with the descriptor.
bool Listener::handOverSession(ClientSession& session) {
  const bool isIdle = session.state_ == State::idle || session.state_ == State::fresh;
  if (!handOver_ || session.buffer_.size() > 0 || !isIdle || session.requestStarted_) return false;
  if (!handOver_(session.socket_.native_handle())) return false;
  session.close();  // closes only this process's descriptor; the connection continues in the other process
  return true;
}

bool Listener::hasMemoryForConnection() {
  return !memory_ || memory_->grant(kBytesPerClientConnection, MemoryUse::connection);
}

// Closes a connection to free its descriptor, if one can be closed. Lingering ones are closed first. Returns
// false if none could.
bool Listener::shedConnection() {
  if (sessionsIn(State::lingering).empty()) return shedUnfinishedConnection();
  endOldest(State::lingering);
  return true;
}

// Closes a connection that has no complete request. New sessions and sessions with a partial request are
// closed first if they have been waiting for longer than a typical request is in transit, then idle ones,
// then other new ones.
bool Listener::shedUnfinishedConnection() {
  const std::size_t before = size_;
  const auto stateToShed = [this]() -> std::optional<State> {
    for (const State state : {State::fresh, State::reading})
      if (oldestAge(state) > kMaxRequestTransit) return state;
    for (const State state : {State::idle, State::fresh})
      if (!sessionsIn(state).empty()) return state;
    return std::nullopt;
  }();
  if (stateToShed) endOldest(*stateToShed);
  return size_ < before;
}

// Clients that need room beyond their shares get it in the order in which they paused.
bool Listener::reserveInput(ClientSession& session) {
  const std::size_t bytes = session.expectedInput();
  const bool waitsBehindOthers = !pausedReads_.empty() && !session.bufferAccount_.hasRoom(bytes);
  if (!waitsBehindOthers && session.bufferAccount_.tryReserve(bytes)) return true;
  pausedReads_.push_back(session.weak_from_this());
  ++pausedReadCount_;
  return false;
}

void Listener::resumePausedReads() {
  while (!pausedReads_.empty()) {
    const auto session = pausedReads_.front().lock();
    const bool reads = session && session->state_ != State::lingering && session->state_ != State::closed;
    if (reads && !session->bufferAccount_.tryReserve(session->expectedInput())) return;
    pausedReads_.pop_front();
    if (reads) session->resumeReading();
  }
}

void Listener::trimIdle() {
  if (sessionsIn(State::idle).size() > std::max<std::size_t>(1, maxConnections_ / kConnectionsPerIdle))
    sessionsIn(State::idle).front()->closeIdle();
}

void Listener::endOldest(State state) {
  const auto session = sessionsIn(state).front();
  if (state == State::lingering) session->close();
  else session->shed();
}

Duration Listener::oldestAge(State state) const {
  const Sessions& sessions = sessions_[static_cast<std::size_t>(state)];
  return sessions.empty() ? Duration(-1) : clock_.now() - sessions.front()->stateSince_;
}

// The action may close other sessions and thereby change the list, hence the copy.
template <class Action>
void Listener::forEachIn(State state, Action action) {
  const std::vector<std::shared_ptr<ClientSession>> sessions(sessionsIn(state).begin(),
                                                             sessionsIn(state).end());
  for (const auto& session : sessions)
    if (session->state_ == state) action(*session);
}

void Listener::sweep() {
  forEachIn(State::writing, [](ClientSession& session) { session.checkWriteProgress(); });
  sweepExpiredIdle();
  forEachIn(State::lingering, [](ClientSession& session) {
    if (session.isLingerOver()) session.close();
  });
  for (const State state : {State::fresh, State::reading, State::waiting})
    forEachIn(state, [](ClientSession& session) {
      if (session.isOverdue()) session.onOverdue();
    });
  forEachIn(State::waiting, [](ClientSession& session) { session.checkForDisconnect(); });
  forEachIn(State::relaying, [](ClientSession& session) { session.checkForDisconnect(); });
  if (handOver_)
    for (const State state : {State::idle, State::fresh})
      forEachIn(state, [this](ClientSession& session) { handOverSession(session); });
  closeIdleSessions();
  resumePausedReads();
}

void Listener::sweepExpiredIdle() {
  while (oldestAge(State::idle) > options_.idleTimeout) {
    const auto session = sessionsIn(State::idle).front();
    session->closeIdle();
    if (session->state_ == State::idle) break;  // its request has just arrived
  }
}

// In lame duck mode idle sessions are closed from the announced time on, and in a drain after the listener
// was closed.
void Listener::closeIdleSessions() {
  const bool ending = draining_ && !acceptor_.is_open();
  const bool lameDuck = closeIdleAt_ != Time{};
  if (lameDuck ? clock_.now() < closeIdleAt_ : !ending) return;
  forEachIn(State::idle, [](ClientSession& session) { session.closeIdle(); });
  forEachIn(State::fresh, [this, ending](ClientSession& session) {
    // A client that has just connected to a lame duck gateway may be about to send its request.
    const bool connectedLongAgo = clock_.now() - session.stateSince_ > kMaxRequestTransit;
    if (!session.requestStarted_ && (ending || connectedLongAgo)) session.closeIdle();
  });
}

void Listener::refuseIncompleteRequests() {
  for (const State state : {State::fresh, State::reading})
    forEachIn(state, [](ClientSession& session) {
      const bool writesContinue = session.writingContinue_;  // concurrent writes would interleave
      if (session.requestStarted_ && !writesContinue) session.refuse(http::status::service_unavailable);
    });
}

void Listener::close() {
  draining_ = true;
  if (!acceptor_.is_open()) return;
  // The kernel has accepted these connections already, and closing the listener would reset them. An
  // inherited listener stays open in the other process, which accepts the queued connections.
  if (!inherited_) connectionAcceptor_.acceptQueued();
  error_code ignored;
  acceptor_.close(ignored);
  connectionAcceptor_.stop();
}

}  // namespace finchstile
