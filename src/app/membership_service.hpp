// Connects src/membership to the gateway. Passes it endpoint lists, load reports, the gateway's own
// observations and the messages of other gateways, and provides the gateway with effective lists and a filter
// for host entries. The decisions are made in src/membership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/peer_link.hpp"
#include "membership/settings.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "net/host_list_hooks.hpp"

namespace finchstile {

class MembershipService : HostListInterceptor, HostEntryFilter, HostObserver {
 public:
  // To be constructed before the gateway starts. `config`, `gateway` and `link` must outlive the service.
  // `link`: null if there are no peers; gossip and warm start are off then.
  MembershipService(boost::asio::io_context& io, const Clock& clock,
                    const membership::MembershipSettings& settings, const GatewayConfig& config,
                    Gateway& gateway, PeerLink* link);

  std::string summary() const;     // the statistics in one line for the log
  std::string exposition() const;  // the statistics in the exposition format of metrics
  // Describes one host, each observation with its source and age, or all hosts if `host` is empty. Returns
  // nothing if no list contains the host.
  std::optional<std::string> describeHosts(const std::string& host) const;

  const membership::ListPolicy& listPolicy() const { return listPolicy_; }
  const membership::Gossip* gossip() const { return gossip_.get(); }           // null: there are no peers
  const membership::WarmStart* warmStart() const { return warmStart_.get(); }  // null: off
  const membership::HostStateTable& hostStates() const { return hostStates_; }
  membership::HostKey keyOf(std::string_view name) const;

 private:
  void onInitialList(const HostList& known) override;
  std::optional<HostList> onList(HostList&& list) override;
  void onWatchLost() override;
  void onDiscoveryMoved() override;
  void apply(load_balancing::HostEntry& entry) const override;
  void onHostUnresponsive(const std::string& host) override;
  void onLoadReport(const std::string& host, const load_balancing::LoadReport& report) override;

  HostList recordList(membership::EndpointList&& list);
  void recordEntry(const membership::ListEntry& entry, std::uint64_t version, Time now);
  void recordOmissions(const membership::EndpointList& list, std::uint64_t version, Time now);
  void onPeerMessage(peer::GatewayNumber from, std::string_view payload);
  void send(const std::vector<membership::OutgoingMessage>& messages);
  void applyGossip();

  void startGossip(std::uint64_t seed, Time now);
  void startWarmStart(Time now);
  void finishWarmStart();
  membership::NameResolver nameResolver() const;
  membership::StateSnapshot makeSnapshot() const;
  std::optional<membership::ListedHostState> listedState(const std::string& host) const;
  const std::string* findName(membership::HostKey key) const;
  const membership::HostState* findState(membership::HostKey key) const;
  std::int64_t unixMs(Time startedAt) const;

  Time nextTimer() const;
  void scheduleTimer();
  void onTimer();
  void onListPolicyTimer(Time now);
  void onGossipTimer(Time now);
  void onWarmStartTimer(Time now);
  void onFilterTimer(Time now);
  void onCleanupTimer(Time now);

  std::string describeHost(const Gateway::HostView& host) const;
  std::string describeListState(std::size_t hostCount) const;

  const Clock& clock_;
  const membership::MembershipSettings settings_;
  const load_balancing::Settings& balancerSettings_;
  Gateway& gateway_;
  PeerLink* const link_;
  const SipKey nameKey_;
  membership::ListPolicy listPolicy_;
  membership::HostStateTable hostStates_;
  std::unique_ptr<membership::Gossip> gossip_;
  std::unique_ptr<membership::WarmStart> warmStart_;
  membership::SnapshotServer snapshotServer_;
  std::unordered_map<std::string, membership::HostKey> keys_;  // of listed hosts, by address
  std::unordered_map<membership::HostKey, std::string> names_;
  std::set<std::string> machineTypes_;
  std::set<Time> restrictionEnds_;  // expiry times of phases and unresponsiveness reported by other gateways
  std::uint64_t knownRenumberings_ = 0;
  bool warmStartFinished_ = false;
  bool filterChanged_ = false;  // the gateway has not reapplied the changed filter yet
  Time nextGossipAt_{};
  Time nextCleanupAt_{};
  Time filteredAt_{};
  Time timerAt_{};  // 0: the timer is not set
  boost::asio::steady_timer timer_;
};

}  // namespace finchstile
