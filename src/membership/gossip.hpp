// What gateways tell one another of hosts: that one is silent, that their list has it draining or gone. Never
// of requests. Changes are told to a few gateways drawn at random, a bounded number of times and bytes, and
// in calm nothing is sent at all (the dissemination of SWIM, Das, Gupta, Motivala 2002, section 4.1, of
// observations in place of members).
//
// A gateway tells only what it is convinced of: by its own attempts or its own list, or, of silence, because
// `quorum` others said so. One that lies, or is mad, convinces nobody of silence; what it claims of phases
// makes others more careful for a bounded share of hosts and a bounded time, and costs its credit when no
// list bears it out. Ages are told and not times, so clocks need not agree. No I/O; clock and randomness are
// passed in.
#pragma once

#include <array>
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

#include "base/splitmix64.hpp"
#include "membership/terms.hpp"

namespace finchstile::membership {

using HostKey = std::uint64_t;  // hash of a host's name, the same at all gateways
using GatewayNumber = std::uint16_t;

// One statement about one process of a host.
struct Rumour {
  enum class What : std::uint8_t { silent = 1, draining = 2, out = 3 };
  HostKey host = 0;
  std::int64_t started = 0;  // Unix time of its start in ms, as the list has it; 0: long ago
  What what = What::silent;
  std::uint64_t version = 0;  // of the list that says so; 0 for silence
  Duration age{};             // since it was seen at first hand, whoever saw it
  friend bool operator==(const Rumour&, const Rumour&) = default;
};

// Form: u8 1, u8 count, then for each: u64 host, u64 started, u8 what, u64 version, u16 age in hundredths of
// a second; integers little-endian.
inline constexpr std::uint8_t kRumoursForm = 1;
inline constexpr std::size_t kRumourBytes = 27;
inline constexpr std::size_t kRumoursMost = 8;  // 218 bytes, what a datagram between gateways has room for
inline constexpr Duration kAgeMost = std::chrono::milliseconds(655'350);

// None if there are too many, or none.
std::optional<std::string> encodeRumours(const std::vector<Rumour>& rumours);
std::optional<std::vector<Rumour>> decodeRumours(std::string_view payload);

struct GossipSettings {
  GatewayNumber own = 0, gateways = 1;
  Duration period = std::chrono::milliseconds(200);
  std::size_t fanout = 3;  // gateways told in each period
  double repeat = 2;       // times log2(gateways + 1): how often a change is told
  std::size_t quorum = 3;  // others that have to say that a host is silent; never above all others
  Duration holds = std::chrono::seconds(3);  // what was seen counts for so long
  Duration phaseHolds =
      std::chrono::seconds(10);  // a phase that our own list does not have counts for so long
  double phaseShare = 0.25;      // of the hosts that one gateway's word on phases may keep out
  double silentShare = 0.5;      // of the hosts that the word of others on silence may keep out
  double credit = 32;            // claims of a gateway that may turn out wrong before it is not heard
  Duration creditEach = std::chrono::seconds(60);  // after which one of them is forgiven
  std::size_t rumours = 4096;                      // kept at the most, of others and for telling
};

struct GossipCounts {
  std::uint64_t sent = 0, bytes = 0, received = 0, malformed = 0;
  std::uint64_t convinced = 0;     // of a host's silence, by others
  std::uint64_t contradicted = 0;  // what others said was not taken: the host had answered us since
  std::uint64_t claims = 0, borne = 0, lapsed = 0;  // on phases, taken; what came of them
  std::uint64_t unheard = 0;                        // of gateways without credit
  std::uint64_t overShare = 0;  // not taken: more hosts than the word of others may keep out
  std::uint64_t dropped = 0;    // rumours that had no place
};

class Gossip {
 public:
  struct Outgoing {
    GatewayNumber to = 0;
    std::string payload;
  };
  // When a host last answered us; 0: never.
  using AnsweredAt = std::function<Time(HostKey host)>;
  // A claim on a phase that is taken; it counts from `since` on, for `phaseHolds`.
  struct Accepted {
    HostKey host = 0;
    std::int64_t started = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};
  };
  Gossip(const GossipSettings& settings, std::uint64_t seed, Time now, AnsweredAt answeredAt);

  // At first hand: our own attempts have met silence.
  void onSilent(HostKey host, std::int64_t started, Time now);
  // Of our own list. `in` too: it bears out or ends what others claim.
  void onListed(HostKey host, std::int64_t started, HostPhase phase, std::uint64_t version, Time now);
  void onForgotten(HostKey host);

  void receive(GatewayNumber from, std::string_view payload, Time now);
  void hear(GatewayNumber from, const Rumour& rumour, Time now);  // one, however it came
  // What is to be sent now; to be called each `period`.
  std::vector<Outgoing> tick(Time now);

  // Others are enough to hold it silent, and it has not answered us since.
  bool silentByOthers(HostKey host, Time now) const;
  // Of each host that others have convinced us of since this was called last: until when that holds.
  std::vector<Time> takeSilent() { return std::exchange(silent_, {}); }
  std::vector<Accepted> takeAccepted() { return std::exchange(accepted_, {}); }

  bool heard(GatewayNumber from) const { return from < credit_.size() && credit_[from].left >= 1; }
  std::size_t size() const { return hosts_.size(); }
  std::size_t listed() const { return listed_; }
  std::size_t heldSilent() const { return held_.size(); }
  const GossipCounts& counts() const { return counts_; }

 private:
  struct Vote {
    GatewayNumber from = 0;
    Time seen{};
  };
  struct Claim {
    GatewayNumber from = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time since{};  // heard first; a claim that is said again is no younger
  };
  struct Host {
    bool known = false;  // our list names it
    std::int64_t started = 0;
    HostPhase phase = HostPhase::active;
    std::uint64_t version = 0;
    Time seenSilent{};        // what we are convinced of, at first hand: when it was seen
    std::vector<Vote> votes;  // one for each gateway, `quorum` and a few more at the most
    std::optional<Claim> claim;
  };
  struct Telling {
    Rumour rumour;           // its age, and of silence whether it still holds, is seen to as it is told
    std::uint32_t left = 0;  // times it is still to be told
  };
  struct Credit {
    double left = 0;
    Time at{};
    std::size_t keepsOut = 0;  // hosts that only its word keeps out
  };

  Time convincedSince(const Host& h, Time now) const;
  void vote(HostKey key, Host& h, GatewayNumber from, Time seen, Time now);
  void claimed(HostKey key, Host& h, GatewayNumber from, const Rumour& r, Time now);
  void dropClaim(Host& h, bool borne, Time now);
  void tell(HostKey key, const Host& h, Rumour::What what);
  void renew(Credit& c, Time now) const;
  std::size_t quorum() const;

  const GossipSettings settings_;
  SplitMix64 draw_;
  const AnsweredAt answeredAt_;
  std::unordered_map<HostKey, Host> hosts_;  // named by the list, or spoken of
  std::map<HostKey, Telling> telling_;
  std::deque<std::pair<Time, HostKey>> due_;  // claims, by when they lapse
  std::vector<Credit> credit_;                // by gateway
  std::unordered_map<HostKey, Time> held_;    // silent by others: until when
  std::vector<Time> silent_;
  std::vector<Accepted> accepted_;
  std::size_t listed_ = 0;
  std::uint32_t times_ = 0;
  GossipCounts counts_;
};

}  // namespace finchstile::membership
