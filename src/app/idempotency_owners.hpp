// Owners of keys in the program: the datagrams to the other gateways, and the timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "app/peer_link.hpp"
#include "idempotency/filter.hpp"
#include "net/clock.hpp"

namespace finchstile {

class IdempotencyOwnership : idempotency::OwnerLink {
 public:
  // Has the stage ask the other gateways. `link` must outlive it.
  IdempotencyOwnership(boost::asio::io_context& io, const Clock& clock,
                       const idempotency::IdempotencySettings& settings, PeerLink& link,
                       const load_balancing::Settings& known, idempotency::IdempotencyFilter& stage);
  ~IdempotencyOwnership() override = default;

 private:
  void send(idempotency::GatewayNumber to, std::string_view payload) override;
  void wakeAt(std::optional<Time> at) override;

  const Clock& clock_;
  idempotency::IdempotencyFilter& stage_;
  const idempotency::Names names_;
  peer::Channel& channel_;
  idempotency::Owners owners_;
  boost::asio::steady_timer timer_;
  std::optional<Time> armed_;
};

}  // namespace finchstile
