// Seams for whoever has a say about hosts beside the list, or wants to hear of them. The gateway carries out.
#pragma once

#include <optional>
#include <string>

#include "net/config.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

// What stands of an entry of the list. It may make it worse, never better. Each must outlive the gateway;
// `Gateway::refilter` when it would say something else than before.
class HostFilter {
 public:
  virtual ~HostFilter() = default;
  virtual void apply(ridgeshift::HostEntry& entry) const = 0;
};

// What becomes of a list before anybody goes by it.
class ListGate {
 public:
  virtual ~ListGate() = default;
  virtual void onStart(
      const HostList& known) = 0;  // the list that the gateway starts with; it holds as it is
  // What is told in its place; none: nothing. `Gateway::takeList` tells more at any later time.
  virtual std::optional<HostList> onList(HostList&& list) = 0;
  virtual void onLost() = 0;   // the watch has ended
  virtual void onMoved() = 0;  // another discovery is watched from now on
};

// What attempts show of hosts, at first hand.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  // An attempt has met silence, and nothing has been heard of the host since it went out.
  virtual void onSilent(const std::string& host) = 0;
  virtual void onReport(const std::string& host, const ridgeshift::LoadReport& report) = 0;
};

}  // namespace finchstile
