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

#include "net/front.hpp"
#include "stream/proxy_protocol.hpp"
#include "stream/settings.hpp"
#include "stream/table.hpp"

namespace finchstile::stream {

class TcpFront : public Front {
 public:
  // Throws std::runtime_error that names the listener whose address can't be bound or whose class is none of
  // the platform's. The table must outlive it.
  TcpFront(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
           const ridgeshift::Settings& platform, FrontHost& gateway, StreamTable& table);
  ~TcpFront() override;

  void start();
  tcp::endpoint endpoint(std::size_t listener) const;

  void onSend(ridgeshift::RequestId request, std::uint32_t attempt, const Target& to,
              Duration limit) override;
  void onCancel(ridgeshift::RequestId request, std::uint32_t attempt) override;
  void onRefused(ridgeshift::RequestId request, Duration after) override;
  void onFailed(ridgeshift::RequestId request) override;
  void onHost(ridgeshift::HostId host, ridgeshift::Phase phase) override;
  void onDrain(Time until) override;
  bool idle() const override { return comers_.empty() && table_.idle(); }

 private:
  struct Listener;
  struct Comer;  // a client whose stream has not begun

  void accept(Listener& listener);
  void take(Listener& listener, tcp::socket socket);
  void readHeader(const std::shared_ptr<Comer>& comer);
  void ask(const std::shared_ptr<Comer>& comer);
  void watch(const std::shared_ptr<Comer>& comer);
  void dialled(const std::shared_ptr<Comer>& comer, std::uint32_t attempt, bool good);
  void giveUp(Comer& comer, ridgeshift::Outcome outcome);
  void drop(const std::shared_ptr<Comer>& comer, const Ending& how);
  std::shared_ptr<Comer> find(ridgeshift::RequestId request) const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  FrontHost& gateway_;
  StreamTable& table_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<ridgeshift::RequestId, std::shared_ptr<Comer>> comers_;
};

}  // namespace finchstile::stream
