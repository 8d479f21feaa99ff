// Connects the ownership of idempotency keys, which gateways share, to the program: sends and receives its
// datagrams and runs its timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "app/peer_link.hpp"
#include "idempotency/filter.hpp"
#include "net/clock.hpp"

namespace finchstile {

class IdempotencyOwnership : idempotency::GatewayLink {
 public:
  // Makes `filter` query the other gateways from now on. `balancerSettings` is read by the constructor only;
  // the other references must outlive this object.
  IdempotencyOwnership(boost::asio::io_context& io, const Clock& clock,
                       const idempotency::IdempotencySettings& settings, PeerLink& link,
                       const load_balancing::Settings& balancerSettings,
                       idempotency::IdempotencyFilter& filter);
  ~IdempotencyOwnership() override = default;

 private:
  void send(idempotency::GatewayNumber to, std::string_view payload) override;
  void scheduleTimer(std::optional<Time> at) override;

  const Clock& clock_;
  idempotency::IdempotencyFilter& filter_;
  const idempotency::TenantAndClassNames names_;
  peer::Channel& channel_;
  idempotency::KeyOwnership ownership_;
  boost::asio::steady_timer timer_;
  std::optional<Time> scheduledAt_;  // expiry of the running timer; empty: it is not set
};

}  // namespace finchstile
