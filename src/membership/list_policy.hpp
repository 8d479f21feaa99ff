// Decides which parts of an endpoint list become effective. Discovery may be unavailable, or send a list that
// is empty, truncated or older than the previous one, that contains a host twice or two hosts at the same
// endpoint, or in which a host flaps. Each case has one rule (docs/design/membership.md), one counter and a
// time limit. A host that a list marks as draining or removed, or omits, stays active for at most
// `kMaxHoldTime`: drains have to take effect within 500 ms. No I/O; the caller passes the current time.
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
  // A complete list is suspicious if it omits more than `suspiciousFraction` of the responding hosts. Its
  // omissions take effect after `holdTime`, limited to kMaxHoldTime; 0 disables the delay.
  Duration holdTime = std::chrono::milliseconds(300);
  double suspiciousFraction = 0.5;
  // For how long lists with an older version than the current one are ignored. If no newer list arrives in
  // this time, discovery has restarted its versions, and the next list becomes effective.
  Duration olderVersionTolerance = std::chrono::seconds(10);
  // See FlapDamper.
  double maxFlaps = 4;
  Duration flapHalfLife = std::chrono::seconds(5);
  std::size_t maxHosts = 65'536;
};

struct ListStatistics {
  std::uint64_t accepted = 0;         // lists
  std::uint64_t older = 0;            // lists ignored because of their version
  std::uint64_t renumbered = 0;       // version restarts of discovery
  std::uint64_t held = 0;             // suspicious lists; the next three count their outcomes
  std::uint64_t confirmed = 0;        // the next complete list was suspicious too
  std::uint64_t withdrawn = 0;        // the next complete list was not suspicious
  std::uint64_t expired = 0;          // no complete list arrived in time, so the omissions became effective
  std::uint64_t duplicateHosts = 0;   // further entries of a host in the same list
  std::uint64_t sharedEndpoints = 0;  // hosts whose endpoint is used by another host
  std::uint64_t flappingHosts = 0;    // suppressions by the flap damper
  std::uint64_t watchesLost = 0;
  std::uint64_t droppedHosts = 0;  // entries dropped because of `maxHosts`
};

class ListPolicy {
 public:
  explicit ListPolicy(const ListPolicySettings& settings)
      : settings_(settings), flapDamper_(settings.maxFlaps, settings.flapHalfLife) {}

  struct Decision {
    std::optional<EndpointList> list;  // to be applied now; empty: nothing changes
    bool requestCompleteList = false;  // the caller has to request one from discovery
  };
  // Returns whether the host has responded to this gateway recently.
  using IsResponding = std::function<bool(std::string_view host)>;

  // Sets the initial list, which the caller applies unchanged. Later lists are compared with its version.
  void start(const EndpointList& initial, Time now);
  Decision onList(EndpointList&& list, Time now, const IsResponding& isResponding);
  Decision onTimer(Time now);  // to be called at or after `nextTimer()`
  std::optional<Time> nextTimer() const;
  void onWatchLost() { ++statistics_.watchesLost; }  // the last list stays effective
  void onDiscoveryMoved();                           // discovery was replaced and has its own versions

  const ListStatistics& statistics() const { return statistics_; }
  std::int64_t version() const { return version_; }
  Time lastAcceptedAt() const { return lastAcceptedAt_; }  // 0: none yet
  // Whether omissions of a suspicious list are held back.
  bool isHolding() const { return holdUntil_ != Time{}; }
  std::size_t hostCount() const { return hosts_.size(); }
  // Why the effective phase of the host differs from the list; empty: it does not. Operators read the text.
  std::string_view restrictionReason(std::string_view host) const;

 private:
  struct Host {
    load_balancing::HostEntry listed;  // entry in the latest list
    std::string endpoint;
    FlapState flaps;
    bool displaced = false;  // another host uses its endpoint
  };
  using Hosts = std::map<std::string, Host, std::less<>>;
  enum class VersionCheck { accepted, ignored, needsCompleteList };
  struct Removal {
    Time eraseAt{};
    std::string host;
  };

  VersionCheck checkVersion(const EndpointList& list, Time now);
  std::vector<std::string> reviewOmissions(const std::vector<ListEntry>& entries, Time now,
                                           const IsResponding& isResponding, Decision& decision);
  void applyEntry(const ListEntry& entry, Time now);
  void removeOmitted(const std::string& name, Time now);
  void onDeparture(const std::string& name, Host& host, Time now);
  void scheduleErasure(const std::string& name, Time now);
  void eraseExpired(Time now);
  void claimEndpoint(const std::string& name, Host& host, std::vector<ListEntry>& displaced);
  void releaseEndpoint(const std::string& name, const Host& host);
  void cancelHold(const std::vector<ListEntry>& entries);
  void endHold();
  void expireHold(Time now, EndpointList& out);
  void releaseSuppressed(Time now, EndpointList& out);
  static ListEntry effectiveEntry(const Host& host);

  const ListPolicySettings settings_;
  Hosts hosts_;
  std::unordered_map<std::string, std::string> endpointOwners_;  // name of the active host at each endpoint
  FlapDamper flapDamper_;
  std::deque<Removal> removals_;  // earliest first
  std::int64_t version_ = -1;
  Time olderSince_{};  // arrival of the first of the current series of older lists; 0: none
  Time lastAcceptedAt_{};
  Time holdUntil_{};
  std::vector<std::string> heldOmissions_;
  ListStatistics statistics_;
};

}  // namespace finchstile::membership
