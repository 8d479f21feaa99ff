// The hosts of the endpoint list, as the gateway knows them: address, phase in force, signs of life.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/host_list_hooks.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

struct UpstreamHost {
  tcp::endpoint endpoint;
  /// After the filters; may be worse than the phase that the list gives.
  load_balancing::HostPhase effectivePhase = load_balancing::HostPhase::removed;
  load_balancing::HostEntry listed;  ///< As the list has it.
  Time lastResponseAt{};             ///< When an attempt last showed that it lives; 0: never.
  Time lastListedAt{};               ///< When a list last named it.
};

struct HostPhaseChange {
  load_balancing::HostId host = load_balancing::kNone;
  load_balancing::HostPhase phase{};
};

/// One row for operators.
struct UpstreamHostView {
  load_balancing::HostEntry listed;
  tcp::endpoint endpoint;
  load_balancing::HostPhase effectivePhase{};
  Time lastResponseAt{};  ///< 0: never.
  bool avoided = false;   ///< The load balancer sends it nothing for now.
  std::size_t streams = 0;
};

/// Applies endpoint lists to the load balancer, to the connection pool, and to its own records.
class UpstreamHostTable {
 public:
  UpstreamHostTable(const Clock& clock, load_balancing::LoadBalancer& balancer, UpstreamPool& pool)
      : clock_(clock), balancer_(balancer), pool_(pool) {}

  /// Filters are applied in the order of these calls. Each must outlive the table.
  void addFilter(const HostEntryFilter& filter) { filters_.push_back(&filter); }
  /// Returns the hosts whose phase in force has changed, new hosts among them.
  std::vector<HostPhaseChange> apply(const HostList& list, load_balancing::HostListUpdate kind);
  /// Drops the records of removed hosts that neither the load balancer nor the pool still needs.
  void forgetRemoved();

  /// Null: there is no such host. The pointer stays valid until the host is forgotten.
  UpstreamHost* find(load_balancing::HostId host);
  const UpstreamHost* find(load_balancing::HostId host) const;
  const UpstreamHost* findByName(const std::string& name) const;
  bool isListed(const std::string& name) const;
  bool empty() const { return hosts_.empty(); }
  std::size_t size() const { return hosts_.size(); }
  /// All listed hosts, as an incremental list.
  HostList listedHosts() const;
  std::vector<UpstreamHostView> views() const;  ///< Of listed hosts, sorted by name.
  std::size_t listedCount() const;
  std::size_t avoidedCount() const;  ///< Listed hosts that get no new requests for now.

 private:
  load_balancing::HostEntry filtered(const load_balancing::HostEntry& listed) const;

  const Clock& clock_;
  load_balancing::LoadBalancer& balancer_;
  UpstreamPool& pool_;
  std::vector<const HostEntryFilter*> filters_;
  std::unordered_map<load_balancing::HostId, UpstreamHost> hosts_;
};

}  // namespace finchstile
