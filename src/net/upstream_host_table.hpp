// Table of the hosts of the endpoint list with their addresses, effective phases and last responses.
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

/// The gateway's record of one host.
struct UpstreamHost {
  tcp::endpoint endpoint;
  /// Effective phase, after the filters; may be more restrictive than that of the list.
  load_balancing::HostPhase effectivePhase = load_balancing::HostPhase::removed;
  load_balancing::HostEntry listed;  ///< Entry of the list, before the filters.
  Time lastResponseAt{};  ///< When an attempt last received a response from the host; 0 if none did.
  Time lastListedAt{};    ///< When a list last contained the host.
};

/// The new effective phase of a host.
struct HostPhaseChange {
  load_balancing::HostId host = load_balancing::kNone;
  load_balancing::HostPhase phase{};
};

/// Snapshot of one host for operators.
struct UpstreamHostView {
  load_balancing::HostEntry listed;
  tcp::endpoint endpoint;
  load_balancing::HostPhase effectivePhase{};
  Time lastResponseAt{};  ///< When an attempt last received a response; 0 if none did.
  bool avoided = false;   ///< The load balancer sends no new requests to the host at present.
  std::size_t streams = 0;
};

/// Applies endpoint lists to the load balancer, the connection pool, and its own records.
class UpstreamHostTable {
 public:
  UpstreamHostTable(const Clock& clock, load_balancing::LoadBalancer& balancer, UpstreamPool& pool)
      : clock_(clock), balancer_(balancer), pool_(pool) {}

  /// Filters are applied in the order in which they were added. Each must outlive the table.
  void addFilter(const HostEntryFilter& filter) { filters_.push_back(&filter); }
  /// Returns the hosts whose effective phase has changed, including new hosts.
  std::vector<HostPhaseChange> apply(const HostList& list, load_balancing::HostListUpdate kind);
  /// Removes the records of removed hosts that neither the load balancer nor the pool needs any more.
  void eraseRemoved();

  /// Returns null if there is no such host. The pointer stays valid until the host's record is removed.
  UpstreamHost* find(load_balancing::HostId host);
  const UpstreamHost* find(load_balancing::HostId host) const;
  const UpstreamHost* findByName(const std::string& name) const;
  bool isListed(const std::string& name) const;
  bool empty() const { return hosts_.empty(); }
  std::size_t size() const { return hosts_.size(); }
  /// Returns all listed hosts, as an incremental list.
  HostList listedHosts() const;
  std::vector<UpstreamHostView> views() const;  ///< Snapshots of the listed hosts, sorted by name.
  std::size_t listedCount() const;
  std::size_t avoidedCount() const;  ///< Number of listed hosts that receive no new requests at present.

 private:
  load_balancing::HostEntry filtered(const load_balancing::HostEntry& listed) const;

  const Clock& clock_;
  load_balancing::LoadBalancer& balancer_;
  UpstreamPool& pool_;
  std::vector<const HostEntryFilter*> filters_;
  std::unordered_map<load_balancing::HostId, UpstreamHost> hosts_;
};

}  // namespace finchstile
