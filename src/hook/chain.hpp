// The hooks of a gateway, in their order: which run for a request, within what budget, what a fault means,
// when a hook is set aside and tried again, and which version a request goes by. No I/O; the time is passed
// in.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/header_line.hpp"
#include "finchstile/load_balancer.hpp"
#include "hook/machine.hpp"

namespace finchstile::hook {

using load_balancing::Duration;
using load_balancing::Time;

inline constexpr std::size_t kHooksMost = 64;

// What of a hook an operator sets; docs/operators/hooks.md has a line on each.
struct HookSpec {
  std::string file;                           // for messages
  std::vector<std::string> classes, tenants;  // empty: all
  std::vector<std::string> paths;             // prefixes of the path; empty: all
  Budget budget;                              // of one run
  bool closed = false;     // on a fault: refuse, where that is safe; else as if it were not there
  std::size_t faults = 5;  // so many (1 to 64)
  Duration window = std::chrono::seconds(10);      // within this: set aside,
  Duration backoff = std::chrono::seconds(1);      // for this at first, twice as long each time,
  Duration backoffMost = std::chrono::minutes(5);  // and this at the most
  std::shared_ptr<const Code> code;
  std::shared_ptr<const Code> shadow;  // a next version that runs beside it, for its differences only
};

struct ChainSettings {
  std::size_t bodyLimit = 4096;  // bytes of a body that hooks may read
  double timeShare = 0.1;        // of the time that the client has left, for all hooks of a request together
  std::string tagHeader;         // hosts get the tags under this name; empty: not
};

// One version of all hooks. Never changes; a request holds the one that it began with to its end.
struct HookSet {
  std::uint64_t version = 0;
  ChainSettings settings;
  std::vector<HookSpec> hooks;  // names (code->program().name) differ
};

struct HookCounts {
  std::uint64_t runs = 0, rejected = 0, faults = 0, shortOfTime = 0, setAside = 0, skipped = 0,
                refusedClosed = 0;
  std::uint64_t instructions = 0, shadowRuns = 0, shadowDifferent = 0;
  std::array<std::uint64_t, 12> byFault{};       // by Fault
  std::map<std::string, std::uint64_t> counted;  // by `count(name)`
};

// What hooks know of one request from its arrival to its end.
struct HookedRequest {
  std::shared_ptr<const HookSet> set;
  std::vector<Tag> tags;
  std::int64_t allowance = 0;  // ns that its hooks may still take, by the price list in chain.cpp
};

struct Verdict {
  std::int64_t status = 0;  // 0: passes
  std::string reason;
  Duration retryAfter{};  // of a refusal in place of a hook that is set aside; 0: none
};

class Chain {
 public:
  // Lines for the operator, of which the chain limits the rate itself.
  using Report = std::function<void(std::string_view line)>;
  explicit Chain(Report report) : report_(std::move(report)) {}

  // From here on new requests go by `next`. A hook whose code is the same keeps its standing and its counts;
  // a new version of a hook starts with a clean one.
  void take(std::shared_ptr<const HookSet> next);
  const std::shared_ptr<const HookSet>& set() const { return set_; }
  bool empty() const { return !set_ || set_->hooks.empty(); }

  HookedRequest begin(Duration left) const;
  // `in` needs no tags. `headers` get what the hooks set for the host, or the client in `onAnswer`.
  Verdict onRequest(Time now, HookedRequest& q, Input& in, std::string_view id,
                    std::vector<HeaderLine>& headers);
  void onAttempt(Time now, HookedRequest& q, Input& in, std::string_view id,
                 std::vector<HeaderLine>& headers);
  void onAnswer(Time now, HookedRequest& q, Input& in, std::string_view id, std::vector<HeaderLine>& headers);

  bool isSetAside(std::string_view hook, Time now) const;
  const HookCounts* counts(std::string_view hook) const;
  // One line for each hook, as the log has them.
  std::vector<std::string> summary(Time now) const;

 private:
  struct Standing {
    std::shared_ptr<const Code> code;
    HookCounts counts;
    std::deque<Time> faults;  // the latest, at most HookSpec::faults
    Time asideUntil{};        // 0: in force
    Duration backoff{};       // of the last time that it was set aside; 0: none, or forgiven
    Time triedSince{};        // in force again, after it was set aside
    // Lines of this hook: so many at once, and one more each second.
    double lines = kLinesBurst;
    Time linesAt{};
    std::uint64_t unsaid = 0;
  };
  static constexpr double kLinesBurst = 5;

  const Result* run(Time now, const HookSpec& spec, Standing& s, Handler handler, HookedRequest& q, Input& in,
                    std::string_view id);
  void shadow(Time now, const HookSpec& spec, Standing& s, Handler handler, HookedRequest& q, const Input& in,
              const Result& result, std::string_view id);
  void apply(Time now, const HookSpec& spec, Standing& s, const Result& r, HookedRequest& q,
             std::string_view id, std::vector<HeaderLine>& headers);
  void passOn(Time now, HookedRequest& q, Input& in, Handler handler, std::string_view id,
              std::vector<HeaderLine>& headers);
  bool inForce(Time now, const HookSpec& spec, Standing& s);
  void faulted(Time now, const HookSpec& spec, Standing& s);
  void say(Time now, Standing& s, const std::string& line);
  Standing& standingOf(const HookSpec& spec);
  const Standing* standingOf(std::string_view hook) const;  // null: there is no such hook

  Report report_;
  std::shared_ptr<const HookSet> set_;
  std::map<const Code*, std::unique_ptr<Standing>> standings_;  // of the hooks in force, and of old versions
  Machine machine_, shadowMachine_;
};

}  // namespace finchstile::hook
