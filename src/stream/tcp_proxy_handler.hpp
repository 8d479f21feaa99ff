// Opaque streams over TCP: listeners of their own, a class for each. A client's connection is taken in, the
// module asked, a host dialled on a connection of its own, and both are handed to the table. What comes of
// the client before that waits in the kernel.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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
  // Throws std::runtime_error that names the listener whose address can't be bound or whose class is none of
  // the platform's. The table must outlive it.
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
  bool isIdle() const override { return comers_.empty() && table_.idle(); }

 private:
  struct Listener;
  struct Comer;  // a client whose stream has not begun

  void accept(Listener& listener);
  void take(Listener& listener, tcp::socket socket);
  void readHeader(const std::shared_ptr<Comer>& comer);
  void ask(const std::shared_ptr<Comer>& comer);
  void watch(const std::shared_ptr<Comer>& comer);
  void dialled(const std::shared_ptr<Comer>& comer, std::uint32_t attempt, bool good);
  void giveUp(Comer& comer, load_balancing::Outcome outcome);
  void drop(const std::shared_ptr<Comer>& comer, const Ending& how);
  std::shared_ptr<Comer> find(load_balancing::RequestId request) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  ProtocolHandlerCallbacks& gateway_;
  StreamTable& table_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<load_balancing::RequestId, std::shared_ptr<Comer>> comers_;
};

}  // namespace finchstile::stream
