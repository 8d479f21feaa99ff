// Interfaces for components that influence the host list beside discovery, or observe hosts.
#pragma once

#include <optional>
#include <string>

#include "finchstile/load_balancer.hpp"
#include "net/config.hpp"

namespace finchstile {

/// Modifies entries of the endpoint list before they are applied. It may only restrict an entry, for example
/// from active to draining. `Gateway::reapplyHostFilters` is to be called when the result of `apply` may have
/// changed.
class HostEntryFilter {
 public:
  virtual ~HostEntryFilter() = default;
  virtual void apply(load_balancing::HostEntry& entry) const = 0;
};

/// Decides which lists of discovery, and of the process before this one, are applied.
class HostListInterceptor {
 public:
  virtual ~HostListInterceptor() = default;
  /// The initial list of the gateway; it is applied unchanged.
  virtual void onInitialList(const HostList& knownHosts) = 0;
  /// Returns the list to apply in place of `list`, or none to apply nothing. Further lists may be applied at
  /// any time with `Gateway::applyHostList`.
  virtual std::optional<HostList> onList(HostList&& list) = 0;
  /// The watch on discovery has failed.
  virtual void onWatchLost() = 0;
  /// Another discovery service is watched from now on.
  virtual void onDiscoveryMoved() = 0;
};

/// Observes the results of attempts per host.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// An attempt got no response, and nothing was received from the host since the attempt was sent.
  virtual void onHostUnresponsive(const std::string& host) = 0;
  /// A response had a valid load report.
  virtual void onLoadReport(const std::string& host, const load_balancing::LoadReport& report) = 0;
};

}  // namespace finchstile
