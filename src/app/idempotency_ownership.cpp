#include "app/idempotency_ownership.hpp"

namespace finchstile {
namespace {

idempotency::OwnershipSettings ownershipSettings(const idempotency::IdempotencySettings& settings,
                                                 const PeerLink& link,
                                                 const load_balancing::Settings& balancerSettings) {
  idempotency::OwnershipSettings ownership = settings.peerOwnership.ownership;
  ownership.ownNumber = link.ownNumber();
  ownership.gateways = link.gatewayCount();
  ownership.retention = settings.limits.retention;
  ownership.maxRequestDuration = idempotency::maxRequestDuration(balancerSettings);
  return ownership;
}

}  // namespace

IdempotencyOwnership::IdempotencyOwnership(boost::asio::io_context& io, const Clock& clock,
                                           const idempotency::IdempotencySettings& settings, PeerLink& link,
                                           const load_balancing::Settings& balancerSettings,
                                           idempotency::IdempotencyFilter& filter)
    : clock_(clock),
      filter_(filter),
      names_(idempotency::TenantAndClassNames::of(balancerSettings)),
      channel_(link.channel()),
      ownership_(ownershipSettings(settings, link, balancerSettings), link.deriveKey("keys"), clock.now()),
      timer_(io) {
  channel_.setHandler(peer::Topic::keys,
                      [this](peer::GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
                        filter_.onGatewayMessage(from, epoch, payload);
                      });
  filter_.enableOwnership(ownership_, *this, names_, settings.peerOwnership.awaitOwnersForEveryKey);
}

void IdempotencyOwnership::send(idempotency::GatewayNumber to, std::string_view payload) {
  channel_.send(peer::Topic::keys, to, payload);
}

void IdempotencyOwnership::scheduleTimer(std::optional<Time> at) {
  if (at == scheduledAt_) return;
  scheduledAt_ = at;
  if (!at) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(clock_.steady(*at));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    scheduledAt_.reset();
    filter_.onTimer();
  });
}

}  // namespace finchstile
