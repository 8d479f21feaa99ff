#include "hook/hook_chain.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::hook {
namespace {

// Cost estimates that convert the client's remaining time to a budget, since the interpreter has no clock.
// They are several times the usual cost, which bench/hooks.cpp measures.
constexpr std::int64_t kInstructionPriceNs = 20;
constexpr std::int64_t kBytePriceNs = 1;

constexpr std::size_t kMaxShownIdBytes = 64;
constexpr std::size_t kMaxShownLogBytes = 256;
constexpr std::int64_t kServiceUnavailable = 503;

bool isInList(const std::vector<std::string>& names, std::string_view name) {
  return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

bool isInScope(const HookSpec& spec, const RunInput& input) {
  if (!isInList(spec.classes, input.className) || !isInList(spec.tenants, input.tenant)) return false;
  if (spec.paths.empty()) return true;
  return std::any_of(spec.paths.begin(), spec.paths.end(), [&](const std::string& prefix) {
    return input.path.substr(0, prefix.size()) == prefix;
  });
}

// Sanitizes text from clients for a log line: replaces bytes that could end the line or control a terminal.
std::string printable(std::string_view text, std::size_t maxBytes) {
  std::string shown(text.substr(0, maxBytes));
  for (char& c : shown)
    if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) >= 0x7f) c = '?';
  return shown;
}

// The hook's budget, limited to the request's remaining allowance.
RunBudget affordable(const RunBudget& budget, std::int64_t allowanceNs) {
  const auto allowance = static_cast<std::uint64_t>(std::max<std::int64_t>(0, allowanceNs));
  return {std::min(budget.instructions, allowance / kInstructionPriceNs),
          std::min(budget.bytes, allowance / kBytePriceNs)};
}

std::int64_t costNs(const RunResult& result) {
  return static_cast<std::int64_t>(result.instructions) * kInstructionPriceNs +
         static_cast<std::int64_t>(result.bytes) * kBytePriceNs;
}

// Whether the run ended because of the client's deadline, rather than the hook's own budget.
bool isOutOfTime(const RunResult& result, const RunBudget& own, const RunBudget& affordable) {
  return (result.fault == Fault::instructions && affordable.instructions < own.instructions) ||
         (result.fault == Fault::bytes && affordable.bytes < own.bytes);
}

std::string formatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::string hookName(const HookSpec& spec) { return "hook " + spec.executable->program().name; }

std::string requestName(std::string_view id) { return "request " + printable(id, kMaxShownIdBytes); }

void setTag(std::vector<Tag>& tags, Tag tag) {
  const auto existing =
      std::find_if(tags.begin(), tags.end(), [&](const Tag& other) { return other.name == tag.name; });
  if (existing != tags.end()) existing->value = std::move(tag.value);
  else if (tags.size() < RunResult::kMaxTags) tags.push_back(std::move(tag));
}

std::string describeDifference(const RunResult& result, const RunResult& shadow) {
  if (shadow.fault != Fault::none)
    return "faults on its line " + std::to_string(shadow.faultLine) + ": " +
           std::string(describe(shadow.fault));
  if (shadow.rejectStatus == result.rejectStatus) return "has different effects";
  return shadow.rejectStatus != 0 ? "rejects with " + std::to_string(shadow.rejectStatus) : "passes";
}

}  // namespace

HookChain::HookState& HookChain::stateOf(const HookSpec& spec) {
  std::unique_ptr<HookState>& state = states_[spec.executable.get()];
  if (!state) {
    state = std::make_unique<HookState>();
    state->executable = spec.executable;
  }
  return *state;
}

void HookChain::install(std::shared_ptr<const HookSet> set) {
  set_ = std::move(set);
  HookStates states;
  for (const HookSpec& spec : set_->hooks) {
    std::unique_ptr<HookState> state;
    for (auto& [executable, previousState] : states_)
      if (previousState && previousState->executable->program() == spec.executable->program())
        state = std::move(previousState);
    if (!state) state = std::make_unique<HookState>();
    state->executable = spec.executable;
    states[spec.executable.get()] = std::move(state);
  }
  // Open requests may still use older versions. A state is kept while its executable has another owner.
  for (auto& [executable, previousState] : states_)
    if (previousState && previousState->executable.use_count() > 1)
      states.emplace(executable, std::move(previousState));
  states_ = std::move(states);
}

HookedRequest HookChain::beginRequest(Duration timeLeft) const {
  HookedRequest request;
  request.set = set_;
  const double fraction = set_ ? set_->settings.timeFraction : 0;
  const double timeLeftNs = static_cast<double>(std::max<Duration::rep>(0, timeLeft.count()));
  request.allowanceNs = static_cast<std::int64_t>(timeLeftNs * fraction);
  return request;
}

void HookChain::report(Time now, HookState& state, const std::string& line) {
  const auto omitted = state.lines.admit(now);
  if (!omitted) return;
  if (*omitted == 0) return report_(line);
  report_(line + " (" + std::to_string(*omitted) + " earlier lines omitted)");
}

// Null if the hook is suspended or faults.
const RunResult* HookChain::runIfActive(const HandlerArguments& arguments, const HookSpec& spec,
                                        HookState& state) {
  switch (state.health.admitRun(arguments.now, spec.faultPolicy)) {
    case HookHealth::Admission::suspended: ++state.counts.skipped; return nullptr;
    case HookHealth::Admission::trialBegins:
      report(arguments.now, state, hookName(spec) + " runs on trial after its suspension");
      break;
    case HookHealth::Admission::active: break;
  }
  return run(arguments, spec, state);
}

// Null if the hook faults.
const RunResult* HookChain::run(const HandlerArguments& arguments, const HookSpec& spec, HookState& state) {
  const RunBudget budget = affordable(spec.budget, arguments.request.allowanceNs);
  arguments.input.tags = &arguments.request.tags;
  const RunResult& result = interpreter_.run(*spec.executable, arguments.handler, arguments.input, budget);
  ++state.counts.runs;
  state.counts.instructions += result.instructions;
  arguments.request.allowanceNs -= costNs(result);
  if (result.fault == Fault::none) return &result;
  // Not a fault of the hook: otherwise clients with short deadlines could cause its suspension for all
  // clients.
  if (isOutOfTime(result, spec.budget, budget)) ++state.counts.outOfTime;
  else recordFault(arguments, spec, state, result);
  return nullptr;
}

void HookChain::recordFault(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                            const RunResult& result) {
  ++state.counts.faults;
  ++state.counts.byFault[static_cast<std::size_t>(result.fault)];
  report(arguments.now, state,
         hookName(spec) + " faulted on line " + std::to_string(result.faultLine) + " of " + spec.file +
             " (on " + std::string(nameOf(arguments.handler)) + "): " + std::string(describe(result.fault)) +
             "; " + requestName(arguments.id) + "; fault " + std::to_string(state.counts.faults));
  const auto suspension = state.health.recordFault(arguments.now, spec.faultPolicy);
  if (!suspension) return;
  ++state.counts.suspensions;
  reportSuspension(arguments.now, spec, state, *suspension);
}

void HookChain::reportSuspension(Time now, const HookSpec& spec, HookState& state,
                                 const HookHealth::Suspension& suspension) {
  const FaultPolicy& policy = spec.faultPolicy;
  const std::string cause = suspension.onTrial ? std::string("a fault on trial")
                                               : std::to_string(policy.maxFaults) + " faults within " +
                                                     formatMilliseconds(policy.window);
  const char* const consequence = spec.failClosed ? "; requests in its scope are rejected meanwhile"
                                                  : "; requests in its scope pass without it meanwhile";
  state.lines.guaranteeNext();
  report(now, state,
         hookName(spec) + " is set aside for " + formatMilliseconds(suspension.duration) + " after " + cause +
             consequence);
}

void HookChain::runShadow(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                          const RunResult& result) {
  if (!spec.shadow || arguments.request.allowanceNs <= 0) return;
  static const RunResult kNoEffect{};
  const RunBudget budget = affordable(spec.budget, arguments.request.allowanceNs);
  const RunResult& shadow =
      spec.shadow->handles(arguments.handler)
          ? shadowInterpreter_.run(*spec.shadow, arguments.handler, arguments.input, budget)
          : kNoEffect;
  arguments.request.allowanceNs -= costNs(shadow);
  ++state.counts.shadowRuns;
  if (sameEffect(result, shadow)) return;
  ++state.counts.shadowDifferences;
  report(arguments.now, state,
         hookName(spec) + ": its shadow " + describeDifference(result, shadow) + " (on " +
             std::string(nameOf(arguments.handler)) + "); " + requestName(arguments.id) + "; difference " +
             std::to_string(state.counts.shadowDifferences) + " of " +
             std::to_string(state.counts.shadowRuns));
}

void HookChain::applyResult(const HandlerArguments& arguments, const HookSpec& spec, HookState& state,
                            const RunResult& result) {
  for (std::size_t i = 0; i < result.headerCount; ++i)
    arguments.headers.push_back({std::string(result.headers[i].name), std::string(result.headers[i].value)});
  for (std::size_t i = 0; i < result.countCount; ++i)
    ++state.counts.counted[spec.executable->program().counters[result.counts[i]]];
  for (std::size_t i = 0; i < result.logCount; ++i)
    report(arguments.now, state,
           hookName(spec) + ": " + printable(result.logs[i], kMaxShownLogBytes) + "; " +
               requestName(arguments.id));
  // The result's views may point into the request's tags, so they are copied before any tag changes.
  std::vector<Tag> tags;
  for (std::size_t i = 0; i < result.tagCount; ++i)
    tags.push_back({std::string(result.tags[i].name), std::string(result.tags[i].value)});
  for (Tag& tag : tags) setTag(arguments.request.tags, std::move(tag));
}

HookDecision HookChain::onRequest(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                                  std::vector<HeaderLine>& headers) {
  HookDecision decision;
  if (!request.set) return decision;
  const HandlerArguments arguments{now, Handler::request, request, input, id, headers};
  for (const HookSpec& spec : request.set->hooks) {
    if (!spec.executable->handles(Handler::request) || !isInScope(spec, input)) continue;
    HookState& state = stateOf(spec);
    const RunResult* const result = runIfActive(arguments, spec, state);
    if (result == nullptr) {
      if (!spec.failClosed) continue;
      // No attempt has been sent, so the request cannot have run and a rejection is safe.
      ++state.counts.rejectedFailClosed;
      decision.rejectStatus = kServiceUnavailable;
      decision.reason = "a rule that this request needs is out of order";
      decision.retryAfter = state.health.suspendedFor(now);
      return decision;
    }
    runShadow(arguments, spec, state, *result);
    decision.rejectStatus = result->rejectStatus;
    decision.reason = std::string(result->rejectReason);
    applyResult(arguments, spec, state, *result);
    if (decision.rejectStatus == 0) continue;
    ++state.counts.rejected;
    return decision;
  }
  return decision;
}

// Runs the handlers of attempts and responses. A hook that faults has no effect here, even if it fails
// closed: once a request has been sent, the load balancer and the host determine its response.
void HookChain::runAfterRequest(const HandlerArguments& arguments) {
  if (!arguments.request.set) return;
  arguments.input.mayReject = false;
  for (const HookSpec& spec : arguments.request.set->hooks) {
    if (!spec.executable->handles(arguments.handler) || !isInScope(spec, arguments.input)) continue;
    HookState& state = stateOf(spec);
    const RunResult* const result = runIfActive(arguments, spec, state);
    if (result == nullptr) continue;
    runShadow(arguments, spec, state, *result);
    applyResult(arguments, spec, state, *result);
  }
}

void HookChain::onAttempt(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                          std::vector<HeaderLine>& headers) {
  runAfterRequest({now, Handler::attempt, request, input, id, headers});
}

void HookChain::onResponse(Time now, HookedRequest& request, RunInput& input, std::string_view id,
                           std::vector<HeaderLine>& headers) {
  runAfterRequest({now, Handler::response, request, input, id, headers});
}

const HookChain::HookState* HookChain::findState(std::string_view hook) const {
  if (!set_) return nullptr;
  for (const HookSpec& spec : set_->hooks)
    if (spec.executable->program().name == hook) return states_.at(spec.executable.get()).get();
  return nullptr;
}

bool HookChain::isSuspended(std::string_view hook, Time now) const {
  const HookState* const state = findState(hook);
  return state != nullptr && state->health.isSuspended(now);
}

const HookCounts* HookChain::counts(std::string_view hook) const {
  const HookState* const state = findState(hook);
  return state != nullptr ? &state->counts : nullptr;
}

std::vector<std::string> HookChain::summary(Time now) const {
  std::vector<std::string> lines;
  if (!set_) return lines;
  const auto field = [](const char* key, std::uint64_t value) {
    return " " + std::string(key) + "=" + std::to_string(value);
  };
  for (const HookSpec& spec : set_->hooks) {
    const HookState& state = *states_.at(spec.executable.get());
    const HookCounts& counts = state.counts;
    std::string line = hookName(spec) + field("runs", counts.runs) + field("rejected", counts.rejected) +
                       field("faults", counts.faults) + field("short_of_time", counts.outOfTime) +
                       field("set_aside", counts.suspensions) + field("skipped", counts.skipped) +
                       field("refused_closed", counts.rejectedFailClosed) +
                       field("instructions", counts.instructions);
    line += state.health.isSuspended(now) ? " aside=yes" : " aside=no";
    if (spec.shadow)
      line += field("shadow_runs", counts.shadowRuns) + field("shadow_different", counts.shadowDifferences);
    for (const auto& [name, count] : counts.counted) line += field(("count." + name).c_str(), count);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace finchstile::hook
