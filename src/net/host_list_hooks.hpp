// Interfaces for parts that influence the hosts beside the endpoint list, or want to learn of them.
#pragma once

#include <optional>
#include <string>

#include "finchstile/load_balancer.hpp"
#include "net/config.hpp"

namespace finchstile {

/// Changes entries of the endpoint list before they are applied. May make an entry worse, never better.
/// `Gateway::reapplyHostFilters` is to be called when it would change an entry in another way than before.
class HostEntryFilter {
 public:
  virtual ~HostEntryFilter() = default;
  virtual void apply(load_balancing::HostEntry& entry) const = 0;
};

/// Decides which lists of discovery are applied.
class HostListInterceptor {
 public:
  virtual ~HostListInterceptor() = default;
  /// The list with which the gateway starts; it is applied as it is.
  virtual void onInitialList(const HostList& known) = 0;
  /// Returns the list to apply in place of `list`; none: nothing is applied. `Gateway::applyHostList` applies
  /// more at any later time.
  virtual std::optional<HostList> onList(HostList&& list) = 0;
  /// The watch on discovery has ended.
  virtual void onWatchLost() = 0;
  /// Another discovery is watched from now on.
  virtual void onDiscoveryMoved() = 0;
};

/// Learns what attempts show of hosts.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// An attempt got no sign of life, and nothing else has come from the host since it was sent.
  virtual void onHostUnresponsive(const std::string& host) = 0;
  virtual void onLoadReport(const std::string& host, const load_balancing::LoadReport& report) = 0;
};

}  // namespace finchstile
