// Decides what of an endpoint list becomes effective. Discovery may be down, send an empty or truncated list,
// an older one than before, one that names a host twice or two hosts at one endpoint, or one in which a host
// flaps. Each case has one rule (docs/design/membership.md), one counter and a bound in time. A host that a
// list has as draining or removed stays active for `kMaxHoldTime` at most: drains have to take effect within
// 500 ms. No I/O; the clock is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/endpoint_list.hpp"
#include "membership/flap_damper.hpp"

namespace finchstile::membership {

inline constexpr Duration kMaxHoldTime = std::chrono::milliseconds(400);

struct ListPolicySettings {
  // A complete list is suspicious if it omits more than this fraction of the responding hosts. Its omissions
  // are held back for `holdTime`, at most kMaxHoldTime; 0: never.
  Duration holdTime = std::chrono::milliseconds(300);
  double suspiciousFraction = 0.5;
  // Lists with an older version than ours are ignored for so long. If no newer one comes, discovery has
  // restarted and they become effective.
  Duration olderVersionTolerance = std::chrono::seconds(10);
  // See FlapDamper.
  double maxFlaps = 4;
  Duration flapHalfLife = std::chrono::seconds(5);
  std::size_t maxHosts = 65'536;
};

struct ListStatistics {
  std::uint64_t accepted = 0;         // lists
  std::uint64_t older = 0;            // lists ignored for their version
  std::uint64_t renumbered = 0;       // restarts of discovery
  std::uint64_t held = 0;             // suspicious lists, of which the next three are what followed
  std::uint64_t confirmed = 0;        // the next complete list was as suspicious
  std::uint64_t withdrawn = 0;        // the next complete list was not
  std::uint64_t expired = 0;          // none came in time, so the omissions became effective
  std::uint64_t duplicateHosts = 0;   // entries for a host that its list names before
  std::uint64_t sharedEndpoints = 0;  // hosts whose endpoint a list gave to another host
  std::uint64_t flappingHosts = 0;    // suppressions by the flap damper
  std::uint64_t watchesLost = 0;
  std::uint64_t droppedHosts = 0;  // entries for which there was no room
};

class ListPolicy {
 public:
  explicit ListPolicy(const ListPolicySettings& settings)
      : settings_(settings), flapDamper_(settings.maxFlaps, settings.flapHalfLife) {}

  struct Decision {
    std::optional<EndpointList> list;  // effective from now on
    bool requestCompleteList = false;  // discovery is to be asked for a complete list
  };
  // Whether a host has responded to this gateway recently.
  using IsResponding = std::function<bool(std::string_view host)>;

  // The list that the gateway starts with. It is effective as it is, and its version counts.
  void start(const EndpointList& known, Time now);
  Decision onList(EndpointList&& list, Time now, const IsResponding& isResponding);
  Decision onTimer(Time now);  // to be called at or after `nextTimer`
  std::optional<Time> nextTimer() const;
  void onWatchLost() { ++statistics_.watchesLost; }  // the last list stays effective
  void onDiscoveryMoved();                           // another discovery, with versions of its own

  const ListStatistics& statistics() const { return statistics_; }
  std::int64_t version() const { return version_; }
  Time lastAcceptedAt() const { return lastAcceptedAt_; }  // 0: no list was accepted yet
  bool isHolding() const { return holdUntil_ != Time{}; }  // omissions of a suspicious list
  std::size_t hostCount() const { return hosts_.size(); }
  // Why a host's phase is worse, or its omission is not effective; empty: the list is effective as it is.
  std::string_view restrictionReason(std::string_view host) const;

 private:
  struct Host {
    load_balancing::HostEntry listed;  // as the list has it
    std::string endpoint;
    FlapState flaps;
    bool displaced = false;  // its endpoint belongs to another host
  };
  using Hosts = std::map<std::string, Host, std::less<>>;
  enum class VersionCheck { accepted, ignored, needsCompleteList };
  struct Removal {
    Time forgetAt{};
    std::string host;
  };

  VersionCheck checkVersion(const EndpointList& list, Time now);
  std::vector<std::string> reviewOmissions(const std::vector<ListEntry>& entries, Time now,
                                           const IsResponding& isResponding, Decision& decision);
  void applyEntry(const ListEntry& entry, Time now);
  void removeOmitted(const std::string& name, Time now);
  void onDeparture(const std::string& name, Host& host, Time now);
  void scheduleForgetting(const std::string& name, Time now);
  void forgetRemoved(Time now);
  void claimEndpoint(const std::string& name, Host& host, std::vector<ListEntry>& displaced);
  void releaseEndpoint(const std::string& name, const Host& host);
  void cancelHold(const std::vector<ListEntry>& entries);
  void endHold();
  void expireHold(Time now, EndpointList& out);
  void releaseSuppressed(Time now, EndpointList& out);
  static ListEntry effectiveEntry(const Host& host);

  const ListPolicySettings settings_;
  Hosts hosts_;
  std::unordered_map<std::string, std::string> endpointOwners_;  // active hosts by endpoint
  FlapDamper flapDamper_;
  std::deque<Removal> removals_;  // in the order of time
  std::int64_t version_ = -1;
  Time olderSince_{};  // when the first of the current run of older lists came; 0: there is none
  Time lastAcceptedAt_{};
  Time holdUntil_{};
  std::vector<std::string> heldOmissions_;
  ListStatistics statistics_;
};

}  // namespace finchstile::membership
