// A gateway that starts asks running ones what they know, and weighs what they say: by the age of each fact,
// and by how long the one that says it has been running. Serving never waits for it. What lists and rules
// forbid stays forbidden; what a peer knows of a drain goes the way of any peer's word (gossip.hpp). No I/O;
// clock and randomness are passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/splitmix64.hpp"
#include "membership/snapshot.hpp"

namespace finchstile::membership {

struct WarmStartSettings {
  GatewayNumber own = 0, gateways = 1;
  std::size_t ask = 2;                                 // peers asked at once
  Duration patience = std::chrono::milliseconds(100);  // one that has said nothing by then: another is asked
  std::size_t tries = 4;                               // peers asked in all
  Duration within = std::chrono::seconds(2);           // what has not come by then is not waited for
  Duration full = std::chrono::seconds(10);            // a peer that has run so long is believed in full,
  Duration young = std::chrono::seconds(1);            // one that has run for less than this not at all
  Duration half = std::chrono::seconds(5);             // after which a fact about a host counts half
  std::size_t hosts = 65'536;                          // of which facts are kept
};

// What the gateway's own names are, to find those of hashes.
struct Names {
  std::vector<std::pair<NameKey, std::string>> classes, kinds;
  std::function<std::optional<std::string>(HostKey)> host;  // that the list names
  // Since its start, of the process that the list names; 0: long ago. None: it is another process.
  std::function<std::optional<Duration>(HostKey, std::int64_t started)> up;
};

class WarmStart {
 public:
  struct Outgoing {
    GatewayNumber to = 0;
    std::string payload;
  };
  WarmStart(const WarmStartSettings& settings, std::uint64_t seed, Time now);

  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }
  // True if it was an answer to what we asked.
  bool receive(GatewayNumber from, std::string_view payload, Time now);
  void tick(Time now);  // at or after `wake`
  std::optional<Time> wake() const;
  bool over() const { return over_; }

  // What peers say of a host, each with the age of its fact now.
  struct Said {
    GatewayNumber from = 0;
    ToldHost told;
    Duration age{};
    double weight = 0;
  };
  std::vector<Said> said(HostKey host, Time now) const;
  // All of it together, for the module; none if it is worth too little.
  std::optional<load_balancing::LearnedState> learned(const Names& names, Time now) const;
  // Hosts that a peer has as draining or gone, for whoever weighs a peer's word.
  std::vector<std::pair<GatewayNumber, ToldHost>> phases() const;

  struct Counts {
    std::uint64_t asked = 0, chunks = 0, repeated = 0, malformed = 0, complete = 0, silent = 0, young = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Peer {
    Time lastAt{};  // when it last said something, or was asked
    std::uint64_t nonce = 0;
    std::size_t of = 0;
    std::set<std::uint16_t> have;
    Snapshot told;
    std::unordered_map<HostKey, std::size_t> at;  // places in `told.hosts`
    Time toldAt{};
    bool silent = false;
    bool complete() const { return of > 0 && have.size() == of; }
  };
  double worthOf(const Peer& p) const;
  void askAnother(Time now);

  const WarmStartSettings settings_;
  SplitMix64 draw_;
  const Time until_;
  std::vector<GatewayNumber> order_;  // in which peers are asked
  std::size_t next_ = 0, kept_ = 0;
  std::map<GatewayNumber, Peer> peers_;
  std::vector<Outgoing> outgoing_;
  bool over_ = false;
  Counts counts_;
};

// The other side: answers who asks, at a bounded rate, and each of them once in a while.
class SnapshotServer {
 public:
  struct Settings {
    std::size_t perTick = 20;                  // datagrams sent at each call of `tick`
    std::size_t most = 4;                      // asked for at once; others are not answered
    Duration again = std::chrono::seconds(1);  // the same gateway is answered once in so long
  };
  explicit SnapshotServer(const Settings& settings) : settings_(settings) {}

  // True if `payload` asks; `make` is called if it is answered.
  bool receive(GatewayNumber from, std::string_view payload, Time now, const std::function<Snapshot()>& make);
  std::vector<WarmStart::Outgoing> tick();
  bool busy() const { return !waiting_.empty(); }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t refused() const { return refused_; }

 private:
  const Settings settings_;
  std::deque<std::pair<GatewayNumber, std::deque<std::string>>> waiting_;
  std::map<GatewayNumber, Time> answeredAt_;
  std::uint64_t answered_ = 0, refused_ = 0;
};

}  // namespace finchstile::membership
