// Seams for whoever has a say about hosts beside the list, or wants to hear of them. The gateway carries out.
#pragma once

#include <optional>
#include <string>

#include "finchstile/load_balancer.hpp"
#include "net/config.hpp"

namespace finchstile {

// What stands of an entry of the list. It may make it worse, never better. Each must outlive the gateway;
// `Gateway::refilter` when it would say something else than before.
class HostEntryFilter {
 public:
  virtual ~HostEntryFilter() = default;
  virtual void apply(load_balancing::HostEntry& entry) const = 0;
};

// What becomes of a list before anybody goes by it.
class HostListInterceptor {
 public:
  virtual ~HostListInterceptor() = default;
  virtual void onInitialList(
      const HostList& known) = 0;  // the list that the gateway starts with; it holds as it is
  // What is told in its place; none: nothing. `Gateway::takeList` tells more at any later time.
  virtual std::optional<HostList> onList(HostList&& list) = 0;
  virtual void onWatchLost() = 0;       // the watch has ended
  virtual void onDiscoveryMoved() = 0;  // another discovery is watched from now on
};

// What attempts show of hosts, at first hand.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  // An attempt has met silence, and nothing has been heard of the host since it went out.
  virtual void onHostSilent(const std::string& host) = 0;
  virtual void onLoadReport(const std::string& host, const load_balancing::LoadReport& report) = 0;
};

}  // namespace finchstile
