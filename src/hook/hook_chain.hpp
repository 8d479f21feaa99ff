// Runs the hooks of a gateway in their configured order. Selects the hooks of a request, limits their budget,
// applies their results, handles faults, and keeps the version of the hooks that a request started with. No
// I/O; the time is passed in.
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

// A hook and its settings, which docs/operators/hooks.md describes.
struct HookSpec {
  std::string file;                  // for messages
  std::vector<std::string> classes;  // empty: all
  std::vector<std::string> tenants;  // empty: all
  std::vector<std::string> paths;    // prefixes of the path; empty: all
  RunBudget budget;
  // Whether a request is rejected if the hook faults or is suspended before the request's first attempt. If
  // false, the request continues as if the hook did not exist.
  bool failClosed = false;
  FaultPolicy faultPolicy;
  std::shared_ptr<const Executable> executable;
  // A candidate version that runs in addition to the hook. Its effects are compared with the hook's and not
  // applied. Null: none.
  std::shared_ptr<const Executable> shadow;
};

struct ChainSettings {
  std::size_t maxBodyBytes = 4096;  // the part of a request body that hooks may read
  double timeFraction = 0.1;  // of the time to the client's deadline, for all hooks of a request together
  std::string tagHeader;      // the header that carries the tags to hosts; empty: tags are not sent
};

// One version of all hooks. Immutable; a request keeps the version that it started with.
struct HookSet {
  std::uint64_t version = 0;
  ChainSettings settings;
  std::vector<HookSpec> hooks;  // with different names (executable->program().name)
};

struct HookCounts {
  std::uint64_t runs = 0;
  std::uint64_t rejected = 0;
  std::uint64_t faults = 0;
  std::uint64_t outOfTime = 0;  // runs that the client's deadline cut short; not counted as faults
  std::uint64_t suspensions = 0;
  std::uint64_t skipped = 0;  // runs omitted because the hook was suspended
  std::uint64_t rejectedFailClosed = 0;
  std::uint64_t instructions = 0;
  std::uint64_t shadowRuns = 0;
  std::uint64_t shadowDifferences = 0;
  std::array<std::uint64_t, kFaults> byFault{};  // by Fault
  std::map<std::string, std::uint64_t> counted;  // by the name in `count(name)`
};

// State of a request in the chain, from its arrival to its end.
struct HookedRequest {
  std::shared_ptr<const HookSet> set;
  std::vector<Tag> tags;
  std::int64_t allowanceNs = 0;  // time that its hooks may still use, by the cost estimates of hook_chain.cpp
};

struct HookDecision {
  std::int64_t rejectStatus = 0;  // 0: the request passes
  std::string reason;
  Duration retryAfter{};  // of a rejection due to a suspended hook; 0: none
};

class HookChain {
 public:
  // Receives the log lines. The chain limits their rate per hook.
  using Report = std::function<void(std::string_view line)>;
  explicit HookChain(Report report) : report_(std::move(report)) {}

  // Later requests use `set`. A hook whose program is unchanged keeps its health and counts.
  void install(std::shared_ptr<const HookSet> set);
  const std::shared_ptr<const HookSet>& set() const { return set_; }
  bool empty() const { return !set_ || set_->hooks.empty(); }

  HookedRequest beginRequest(Duration timeLeft) const;

  // These run the handlers when a request arrives, before an attempt is sent, and when a response arrives.
  // The chain sets the tags of `input`. `id` is the request's. Headers that hooks set are appended to
  // `headers`: for the host, or in onResponse for the client.
  HookDecision onRequest(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                         std::vector<HeaderLine>& headers);
  void onAttempt(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                 std::vector<HeaderLine>& headers);
  void onResponse(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                  std::vector<HeaderLine>& headers);

  bool isSuspended(std::string_view hook, Time now) const;
  // Null if there is no hook of that name.
  const HookCounts* counts(std::string_view hook) const;
  // One log line per hook with its counts. docs/operators/hooks.md specifies the format.
  std::vector<std::string> summary(Time now) const;

 private:
  struct HookState {
    std::shared_ptr<const Executable> executable;
    HookCounts counts;
    HookHealth health;
    LineLimiter lines;
  };
  using HookStates = std::map<const Executable*, std::unique_ptr<HookState>>;

  // The arguments of a handler, shared by all hooks of the chain.
  struct HandlerArguments {
    Time now;
    Handler handler;
    HookedRequest& request;
    RunInput& input;
    std::string_view id;
    std::vector<HeaderLine>& headers;
  };

  const RunResult* runIfActive(const HandlerArguments& arguments, const HookSpec& spec, HookState& state);
  const RunResult* run(const HandlerArguments& arguments, const HookSpec& spec, HookState& state);
  void recordFault(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                   const RunResult& result);
  void reportSuspension(Time now, const HookSpec& spec, HookState& state,
                        const HookHealth::Suspension& suspension);
  void runShadow(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                 const RunResult& result);
  void applyResult(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                   const RunResult& result);
  void runAfterRequest(const HandlerArguments& arguments);
  void report(Time now, HookState& state, const std::string& line);
  HookState& stateOf(const HookSpec& spec);
  const HookState* findState(std::string_view hook) const;

  Report report_;
  std::shared_ptr<const HookSet> set_;
  HookStates states_;  // of the installed hooks, and of older versions that open requests still use
  Interpreter interpreter_;
  Interpreter shadowInterpreter_;
};

}  // namespace finchstile::hook
