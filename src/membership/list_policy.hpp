// What becomes of a list before anybody goes by it. Discovery may be down, may give an empty list or half of
// one, one that is older than what it gave before, one that names a host twice or puts two at one address, or
// one that takes a host out and back ten times a second. For each there is one rule
// (docs/design/membership.md), a count, and a bound in time. Never is what a list has named as draining or
// gone held back beyond `kDoubtMost`: the rule on drains leaves 500 ms. No I/O; the clock is passed in.
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

#include "membership/terms.hpp"

namespace finchstile::membership {

using load_balancing::HostEntry;

struct Named {
  HostEntry entry;  // `entry.address`: its name
  std::string at;   // where it listens
};

struct List {
  std::int64_t index = -1;  // below 0: none was given
  bool whole = false;
  std::vector<Named> hosts;
};

inline constexpr Duration kDoubtMost = std::chrono::milliseconds(400);

struct ListPolicySettings {
  // A whole list that leaves out more than this share of the hosts that answer is held in doubt for so long,
  // as to what it leaves out; 0: never. At most kDoubtMost.
  Duration doubt = std::chrono::milliseconds(300);
  double doubtShare = 0.5;
  // Lists older than ours are passed over; coming for so long without one that is newer, discovery has
  // started anew, and they hold.
  Duration older = std::chrono::seconds(10);
  // A host that was taken out so many times, of which half are forgotten every `flapHalf`, stays out until no
  // more than half of them are left.
  double flapMost = 4;
  Duration flapHalf = std::chrono::seconds(5);
  std::size_t hosts = 65'536;  // kept at the most
};

struct ListCounts {
  std::uint64_t lists = 0;                                              // taken
  std::uint64_t older = 0;                                              // passed over: older than ours
  std::uint64_t renumbered = 0;                                         // discovery had started anew
  std::uint64_t doubted = 0, confirmed = 0, withdrawn = 0, lapsed = 0;  // of those doubted, what came of it
  std::uint64_t twice = 0;     // hosts that one list named more than once
  std::uint64_t shared = 0;    // hosts whose address a list gave to another
  std::uint64_t flapping = 0;  // hosts that were held out for flapping
  std::uint64_t lost = 0;      // watches that ended
  std::uint64_t dropped = 0;   // hosts that had no place
};

class ListPolicy {
 public:
  explicit ListPolicy(const ListPolicySettings& settings) : settings_(settings) {}

  struct Told {
    std::optional<List> list;  // to go by from now on
    bool askWhole = false;     // discovery is to be asked for its whole list once more
  };
  using Answers = std::function<bool(std::string_view host)>;  // has it lately answered us?

  // The list that we start with; nothing is doubted, its version counts.
  void start(const List& known, Time now);
  Told onList(List&& list, Time now, const Answers& answers);
  Told onWake(Time now);  // at or after `wake`
  std::optional<Time> wake() const;
  void onLost() { ++counts_.lost; }  // the watch has ended: the list stands
  void onMoved();  // another discovery: its versions have nothing to do with those of before

  const ListCounts& counts() const { return counts_; }
  std::int64_t version() const { return version_; }
  Time listAt() const { return listAt_; }  // when the last list was taken; 0: none yet
  bool doubting() const { return doubtUntil_ != Time{}; }
  std::size_t size() const { return hosts_.size(); }
  // Why a host stands worse than the list says; empty if it does not.
  std::string_view reason(std::string_view host) const;

 private:
  struct Host {
    HostEntry listed;  // as the list has it
    std::string at;
    double flaps = 0;
    Time flapsAt{};
    bool held = false;       // for flapping
    bool displaced = false;  // its address is another's
  };

  std::vector<Named> once(std::vector<Named>&& hosts);
  void take(const Named& n, Time now);
  void leave(const std::string& name, Time now);
  void flapped(const std::string& name, Host& h, Time now);
  void claim(const std::string& name, Host& h, std::vector<Named>& changed);
  void release(const std::string& name, const Host& h);
  Named told(const Host& h) const;
  double flapsNow(const Host& h, Time now) const;
  Time freeAt(const Host& h) const;
  void endDoubt();
  void forget(Time now);

  const ListPolicySettings settings_;
  std::map<std::string, Host, std::less<>> hosts_;
  std::unordered_map<std::string, std::string> byAddress_;  // of hosts that are in
  std::set<std::pair<Time, std::string>> heldUntil_;
  std::deque<std::pair<Time, std::string>> gone_;  // what is to be forgotten, and from when on
  std::int64_t version_ = -1;
  Time olderSince_{}, listAt_{};
  Time doubtUntil_{};
  std::vector<std::string> left_;  // what the list in doubt leaves out
  ListCounts counts_;
};

}  // namespace finchstile::membership
