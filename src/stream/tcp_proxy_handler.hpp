// Opaque TCP streams on separate listeners, one class per listener. Accepts a client connection, submits a
// request to the decision module, connects to the chosen host on a new connection and passes both sockets to
// the stream table. Until then, client bytes stay in the kernel buffer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/protocol_handler.hpp"
#include "stream/proxy_protocol.hpp"
#include "stream/settings.hpp"
#include "stream/table.hpp"

namespace finchstile::stream {

class TcpProxyHandler : public ProtocolHandler {
 public:
  // Throws std::runtime_error naming the listener if its address cannot be bound or its class is not in the
  // platform settings. `table` must outlive this object.
  TcpProxyHandler(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
                  const load_balancing::Settings& platform, ProtocolHandlerCallbacks& gateway,
                  StreamTable& table);
  ~TcpProxyHandler() override;

  void start();
  tcp::endpoint endpoint(std::size_t listener) const;

  void onSendAttempt(load_balancing::RequestId request, std::uint32_t attempt, const AttemptTarget& to,
                     Duration limit) override;
  void onCancelAttempt(load_balancing::RequestId request, std::uint32_t attempt) override;
  void onRequestRejected(load_balancing::RequestId request, Duration after) override;
  void onRequestFailed(load_balancing::RequestId request) override;
  void onHostPhaseChanged(load_balancing::HostId host, load_balancing::HostPhase phase) override;
  void onDrain(Time until) override;
  bool isIdle() const override { return pendingStreams_.empty() && table_.idle(); }

 private:
  struct Listener;
  struct PendingStream;  // client connection whose stream is not established yet

  void startPending(Listener& listener, tcp::socket socket);
  void readHeader(const std::shared_ptr<PendingStream>& pending);
  void submit(const std::shared_ptr<PendingStream>& pending);
  void watchForReset(const std::shared_ptr<PendingStream>& pending);
  void onConnectFinished(const std::shared_ptr<PendingStream>& pending, std::uint32_t attempt, bool good);
  void endAttempt(PendingStream& pending, load_balancing::Outcome outcome);
  void dropPending(const std::shared_ptr<PendingStream>& pending, const Ending& how);
  std::shared_ptr<PendingStream> find(load_balancing::RequestId request) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  ProtocolHandlerCallbacks& gateway_;
  StreamTable& table_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<load_balancing::RequestId, std::shared_ptr<PendingStream>> pendingStreams_;
};

}  // namespace finchstile::stream
