// The hooks of a gateway in their order: which of them run for a request, within which budget, what a fault
// means for the request, and which version of the hooks a request uses. No I/O; the time is passed in.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/header_line.hpp"
#include "finchstile/load_balancer.hpp"
#include "hook/hook_health.hpp"
#include "hook/interpreter.hpp"
#include "hook/line_limiter.hpp"

namespace finchstile::hook {

inline constexpr std::size_t kMaxHooks = 64;

// A hook and what the operator sets for it; docs/operators/hooks.md has a line on each setting.
struct HookSpec {
  std::string file;                  // for messages
  std::vector<std::string> classes;  // empty: all
  std::vector<std::string> tenants;  // empty: all
  std::vector<std::string> paths;    // prefixes of the path; empty: all
  RunBudget budget;
  // Whether a request is rejected if the hook faults or is suspended before its first attempt. Otherwise it
  // goes on as if the hook did not exist.
  bool failClosed = false;
  FaultPolicy faultPolicy;
  std::shared_ptr<const Executable> executable;
  // A candidate version that runs beside the hook. Its effects are only compared. Null: none.
  std::shared_ptr<const Executable> shadow;
};

struct ChainSettings {
  std::size_t maxBodyBytes = 4096;  // of a body that hooks may read
  double timeFraction = 0.1;        // of the client's time left, for all hooks of a request together
  std::string tagHeader;            // in which hosts receive the tags; empty: they do not
};

// One version of all hooks. Immutable; a request keeps the version that it began with.
struct HookSet {
  std::uint64_t version = 0;
  ChainSettings settings;
  std::vector<HookSpec> hooks;  // with different names (executable->program().name)
};

struct HookCounts {
  std::uint64_t runs = 0;
  std::uint64_t rejected = 0;
  std::uint64_t faults = 0;
  std::uint64_t outOfTime = 0;  // cut short by the client's time; no fault of the hook
  std::uint64_t suspensions = 0;
  std::uint64_t skipped = 0;  // not run, because it was suspended
  std::uint64_t rejectedFailClosed = 0;
  std::uint64_t instructions = 0;
  std::uint64_t shadowRuns = 0;
  std::uint64_t shadowDifferences = 0;
  std::array<std::uint64_t, kFaults> byFault{};  // by Fault
  std::map<std::string, std::uint64_t> counted;  // by the name in `count(name)`
};

// What the chain keeps of a request from its arrival to its end.
struct HookedRequest {
  std::shared_ptr<const HookSet> set;
  std::vector<Tag> tags;
  std::int64_t allowanceNs = 0;  // that its hooks may still take, by the prices of hook_chain.cpp
};

struct HookDecision {
  std::int64_t rejectStatus = 0;  // 0: the request passes
  std::string reason;
  Duration retryAfter{};  // of a rejection because of a suspended hook; 0: none
};

class HookChain {
 public:
  // Receives lines for the log. The chain limits their rate.
  using Report = std::function<void(std::string_view line)>;
  explicit HookChain(Report report) : report_(std::move(report)) {}

  // New requests use `set` from here on. A hook whose program is unchanged keeps its health and counts.
  void install(std::shared_ptr<const HookSet> set);
  const std::shared_ptr<const HookSet>& set() const { return set_; }
  bool empty() const { return !set_ || set_->hooks.empty(); }

  HookedRequest beginRequest(Duration timeLeft) const;

  // Run the handlers of a request that arrives, of an attempt before it is sent, and of a response. `input`
  // needs no tags; `id` is the request's. What the hooks set is added to `headers`: for the host, or in
  // onResponse for the client.
  HookDecision onRequest(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                         std::vector<HeaderLine>& headers);
  void onAttempt(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                 std::vector<HeaderLine>& headers);
  void onResponse(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                  std::vector<HeaderLine>& headers);

  bool isSuspended(std::string_view hook, Time now) const;
  // Null if there is no hook of that name.
  const HookCounts* counts(std::string_view hook) const;
  // One line per hook with its counts, for the log. docs/operators/hooks.md promises their form.
  std::vector<std::string> summary(Time now) const;

 private:
  struct HookState {
    std::shared_ptr<const Executable> executable;
    HookCounts counts;
    HookHealth health;
    LineLimiter lines;
  };
  using HookStates = std::map<const Executable*, std::unique_ptr<HookState>>;

  // The arguments of one handler of a request, for all hooks.
  struct Call {
    Time now;
    Handler handler;
    HookedRequest& request;
    RunInput& input;
    std::string_view id;
    std::vector<HeaderLine>& headers;
  };

  const RunResult* runIfActive(const Call& call, const HookSpec& spec, HookState& state);
  const RunResult* run(const Call& call, const HookSpec& spec, HookState& state);
  void recordFault(const Call& call, const HookSpec& spec, HookState& state, const RunResult& result);
  void reportSuspension(Time now, const HookSpec& spec, HookState& state,
                        const HookHealth::Suspension& suspension);
  void runShadow(const Call& call, const HookSpec& spec, HookState& state, const RunResult& result);
  void applyResult(const Call& call, const HookSpec& spec, HookState& state, const RunResult& result);
  void runAfterRequest(const Call& call);
  void report(Time now, HookState& state, const std::string& line);
  HookState& stateOf(const HookSpec& spec);
  const HookState* findState(std::string_view hook) const;

  Report report_;
  std::shared_ptr<const HookSet> set_;
  HookStates states_;  // of the installed hooks, and of older versions that requests still use
  Interpreter interpreter_;
  Interpreter shadowInterpreter_;
};

}  // namespace finchstile::hook
