#include "app/idempotency_owners.hpp"

namespace finchstile {
namespace {

idempotency::OwnerSettings ownerSettings(const idempotency::IdempotencySettings& settings,
                                         const PeerLink& link, const load_balancing::Settings& known) {
  idempotency::OwnerSettings o = settings.owners.owners;
  o.own = link.ownNumber();
  o.gateways = link.gatewayCount();
  o.keep = settings.limits.keep;
  o.longest = idempotency::longestRun(known);
  return o;
}

}  // namespace

IdempotencyOwnership::IdempotencyOwnership(boost::asio::io_context& io, const Clock& clock,
                                           const idempotency::IdempotencySettings& settings, PeerLink& link,
                                           const load_balancing::Settings& known,
                                           idempotency::IdempotencyFilter& stage)
    : clock_(clock),
      stage_(stage),
      names_(idempotency::Names::of(known)),
      channel_(link.channel()),
      owners_(ownerSettings(settings, link, known), link.deriveKey("keys"), clock.now()),
      timer_(io) {
  channel_.setHandler(peer::Topic::keys,
                      [this](peer::GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
                        stage_.fromGateway(from, epoch, payload);
                      });
  stage_.join(owners_, *this, names_, settings.owners.all);
}

void IdempotencyOwnership::send(idempotency::GatewayNumber to, std::string_view payload) {
  channel_.send(peer::Topic::keys, to, payload);
}

void IdempotencyOwnership::wakeAt(std::optional<Time> at) {
  if (at == armed_) return;
  armed_ = at;
  if (!at) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(clock_.steady(*at));
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    armed_.reset();
    stage_.onWake();
  });
}

}  // namespace finchstile
