// What is known of hosts, in the program: lists, load reports, first-hand silence and the word of other
// gateways come together here, and go to the gateway as a gate for its lists and a filter of its hosts. The
// decisions are those of src/membership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "app/peer_link.hpp"
#include "membership/settings.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "net/host_list_hooks.hpp"

namespace finchstile {

class MembershipService : HostListInterceptor, HostEntryFilter, HostObserver {
 public:
  // To be made before the gateway starts; both and `link` must outlive it. `link`: null if there are no
  // peers.
  MembershipService(boost::asio::io_context& io, const Clock& clock,
                    const membership::MembershipSettings& settings, const GatewayConfig& config,
                    Gateway& gateway, PeerLink* link);

  std::string summary() const;     // one line, for the log
  std::string exposition() const;  // in the exposition format
  // What is known of one host, each fact with its source and age, or of all where `host` is empty. None: no
  // list names it.
  std::optional<std::string> text(const std::string& host) const;

  const membership::ListPolicy& lists() const { return policy_; }
  const membership::Gossip* gossip() const { return gossip_.get(); }
  const membership::WarmStart* warmStart() const { return warm_.get(); }
  const membership::View& view() const { return view_; }
  membership::HostKey keyOf(std::string_view name) const;

 private:
  void onInitialList(const HostList& known) override;
  std::optional<HostList> onList(HostList&& list) override;
  void onWatchLost() override;
  void onDiscoveryMoved() override;
  void apply(load_balancing::HostEntry& entry) const override;
  void onHostSilent(const std::string& host) override;
  void onLoadReport(const std::string& host, const load_balancing::LoadReport& report) override;

  HostList told(membership::List&& list);
  void fromPeer(peer::Number from, std::string_view payload);
  void sendOut();
  void endWarmStart();
  membership::Names names() const;
  membership::Snapshot snapshot() const;
  std::int64_t unixMs(Time upSince) const;
  std::optional<membership::ListedFact> factOf(const std::string& host) const;
  void settle();  // what the word of others has changed
  void forget();
  void arm();
  void onTimer();
  std::string line(const Gateway::HostView& host) const;

  const Clock& clock_;
  const membership::MembershipSettings settings_;
  const load_balancing::Settings& known_;
  Gateway& gateway_;
  PeerLink* const link_;
  const SipKey nameKey_;
  membership::ListPolicy policy_;
  membership::View view_;
  std::unique_ptr<membership::Gossip> gossip_;
  std::unique_ptr<membership::WarmStart> warm_;
  membership::SnapshotServer server_;
  std::unordered_map<std::string, membership::HostKey> keys_;  // of hosts that the list names
  std::unordered_map<membership::HostKey, std::string> names_;
  std::set<std::string> kinds_;
  std::set<Time> until_;  // when what others said ends to hold
  std::uint64_t renumbered_ = 0;
  bool warmed_ = false, changed_ = false;
  Time gossipAt_{}, sweepAt_{}, refilteredAt_{}, armed_{};
  boost::asio::steady_timer timer_;
};

}  // namespace finchstile
