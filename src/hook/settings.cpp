#include "hook/settings.hpp"

#include "hook/headers.hpp"

namespace finchstile::hook {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxScopeNames = 64;
constexpr std::size_t kMaxScopeNameBytes = 256;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxShownBytes = 40;
constexpr std::int64_t kMinInstructions = 10;
constexpr std::int64_t kMaxInstructionBudget = 1'000'000;
constexpr std::int64_t kMinByteBudget = 1024;
constexpr std::int64_t kMaxByteBudget = std::int64_t{16} * 1024 * 1024;
constexpr std::size_t kMaxFaultsLimit = 64;
constexpr std::size_t kMaxBodyLimit = std::size_t{64} * 1024;
constexpr double kMinTimeFraction = 0.001;
constexpr double kMaxTimeFraction = 0.5;

void readPath(SettingReader& table, const char* key, const std::string& folder, std::string& out) {
  if (table.text(key, out, kMaxPathBytes)) out = resolvePath(folder, out);
}

void readUnsigned(SettingReader& table, const char* key, std::int64_t min, std::int64_t max,
                  std::uint64_t& out) {
  auto value = static_cast<std::int64_t>(out);
  if (table.integer(key, value, min, max)) out = static_cast<std::uint64_t>(value);
}

void readScope(SettingReader& table, HookSpec& spec) {
  table.texts("classes", spec.classes, kMaxScopeNames, kMaxScopeNameBytes);
  table.texts("tenants", spec.tenants, kMaxScopeNames, kMaxScopeNameBytes);
  if (!table.texts("paths", spec.paths, kMaxScopeNames, kMaxScopeNameBytes)) return;
  for (const std::string& prefix : spec.paths)
    if (prefix.front() != '/')
      table.error("paths", "must be prefixes that begin with '/', and one is \"" +
                               prefix.substr(0, kMaxShownBytes) + "\"");
}

void readFaultPolicy(SettingReader& table, FaultPolicy& policy) {
  table.size("faults", policy.maxFaults, 1, kMaxFaultsLimit);
  table.duration("window", policy.window, milliseconds(100), hours(1));
  table.duration("backoff", policy.initialBackoff, milliseconds(100), hours(1));
  table.duration("backoff_most", policy.maxBackoff, milliseconds(100), hours(24));
  if (policy.maxBackoff < policy.initialBackoff)
    table.error("backoff_most", "must not be less than backoff, " + formatDuration(policy.initialBackoff));
}

void readHook(SettingReader& table, const std::string& folder, HookFileSettings& hook) {
  table.require("file", "the hook's source or bytecode, as in \"yard.hook\"");
  readPath(table, "file", folder, hook.path);
  readPath(table, "shadow", folder, hook.shadow);
  hook.spec.file = hook.path;
  readScope(table, hook.spec);
  readUnsigned(table, "instructions", kMinInstructions, kMaxInstructionBudget, hook.spec.budget.instructions);
  readUnsigned(table, "bytes", kMinByteBudget, kMaxByteBudget, hook.spec.budget.bytes);
  std::string onFault = "open";
  table.choice("on_fault", onFault, {"open", "closed"});
  hook.spec.failClosed = onFault == "closed";
  readFaultPolicy(table, hook.spec.faultPolicy);
}

void readTagHeader(SettingReader& table, std::string& header) {
  if (!table.text("tag_header", header, kMaxHeaderNameBytes)) return;
  if (!isHeaderName(header) || isReservedHeader(header))
    table.error("tag_header",
                "must be a header's name that is not the gateway's own, and is \"" + header + "\"");
}

}  // namespace

void readHookSettings(SettingReader& root, const std::string& folder, HookSettings& out) {
  root.table("hooks", [&](SettingReader& table) {
    table.size("body_limit", out.chain.maxBodyBytes, 0, kMaxBodyLimit);
    table.number("time_share", out.chain.timeFraction, kMinTimeFraction, kMaxTimeFraction);
    readTagHeader(table, out.chain.tagHeader);
    table.duration("report", out.reportInterval, seconds(1), hours(24));
    table.tables("hook", kMaxHooks, [&](SettingReader& hookTable) {
      out.hooks.emplace_back();
      readHook(hookTable, folder, out.hooks.back());
    });
  });
}

}  // namespace finchstile::hook
