#include "hook/hook_loader.hpp"

#include <algorithm>

#include "hook/bytecode.hpp"
#include "hook/compiler.hpp"
#include "hook/expectations.hpp"
#include "hook/stable_file.hpp"

namespace finchstile::hook {
namespace {

// Thrown after the errors were added to the problems; loadHook() then returns none.
struct LoadFailed {};

std::string folderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

// Loads one hook. Errors are added to `problems`, and load() throws LoadFailed.
class HookLoader {
 public:
  HookLoader(const std::string& path, std::vector<std::string>& problems)
      : path_(path), problems_(problems) {}

  LoadedHook load() {
    const std::string content = readFile(path_, kMaxProgramBytes);
    const bool isBytecode = content.substr(0, kBytecodePrefix.size()) == kBytecodePrefix;
    Program program = isBytecode ? decodeProgram(content) : compileProgram(content);
    std::vector<std::shared_ptr<const Table>> tables = loadTables(program.tables);
    try {
      hook_.executable = linkProgram(std::move(program), std::move(tables));
    } catch (const LinkError& error) {
      fail(error.what());
    }
    return std::move(hook_);
  }

 private:
  // The magic without its line feed: a file whose line feed is damaged is reported as invalid bytecode rather
  // than as source.
  static constexpr std::string_view kBytecodePrefix = kBytecodeMagic.substr(0, 5);

  [[noreturn]] void fail(const std::string& reason) {
    problems_.push_back(path_ + ": " + reason);
    throw LoadFailed{};
  }

  std::string readFile(const std::string& path, std::size_t maxBytes) {
    try {
      return readStableFile(path, maxBytes);
    } catch (const FileError& error) {
      problems_.push_back(path + ": " + error.what());
      throw LoadFailed{};
    }
  }

  Program decodeProgram(const std::string& content) {
    Program program;
    try {
      program = decode(content);
    } catch (const BytecodeError& error) {
      fail("the bytecode is " + std::string(error.what()));
    }
    if (!std::all_of(program.tables.begin(), program.tables.end(), isPlainFileName))
      fail("a table's file is a plain name of a file beside the hook");
    return program;
  }

  Program compileProgram(const std::string& content) {
    std::vector<Problem> found;
    auto compiled = compile(content, found);
    for (const Problem& problem : found) problems_.push_back(describe(path_, problem));
    if (!compiled) throw LoadFailed{};
    hook_.expectations = std::move(compiled->expectations);
    return std::move(compiled->program);
  }

  // Tries all tables before it fails, so that all errors are reported at once.
  std::vector<std::shared_ptr<const Table>> loadTables(const std::vector<std::string>& names) {
    std::vector<std::shared_ptr<const Table>> tables;
    bool failed = false;
    for (const std::string& name : names) {
      try {
        tables.push_back(loadTable(folderOf(path_) + "/" + name));
      } catch (const LoadFailed&) {
        failed = true;
      }
    }
    if (failed) throw LoadFailed{};
    return tables;
  }

  std::shared_ptr<const Table> loadTable(const std::string& path) {
    const std::string content = readFile(path, kMaxTableBytes);
    std::vector<Problem> found;
    auto table = Table::parse(content, found);
    for (const Problem& problem : found) problems_.push_back(describe(path, problem));
    if (!table) throw LoadFailed{};
    return std::make_shared<const Table>(std::move(*table));
  }

  const std::string& path_;
  std::vector<std::string>& problems_;
  LoadedHook hook_;
};

// Returns null if the hook cannot be loaded. Expectations that fail are added to `problems`.
std::shared_ptr<const Executable> loadAndTest(const std::string& path, const RunBudget& budget,
                                              std::vector<std::string>& problems) {
  const auto hook = loadHook(path, problems);
  if (!hook) return nullptr;
  for (const Problem& problem : runExpectations(*hook->executable, hook->expectations, budget))
    problems.push_back(describe(path, problem));
  return hook->executable;
}

}  // namespace

std::optional<LoadedHook> loadHook(const std::string& path, std::vector<std::string>& problems) {
  try {
    return HookLoader(path, problems).load();
  } catch (const LoadFailed&) {
    return std::nullopt;
  }
}

std::shared_ptr<const HookSet> loadHooks(const HookSettings& settings, std::uint64_t version,
                                         std::vector<std::string>& problems) {
  const std::size_t problemsBefore = problems.size();
  auto set = std::make_shared<HookSet>();
  set->version = version;
  set->settings = settings.chain;
  for (const HookFileSettings& hook : settings.hooks) {
    HookSpec spec = hook.spec;
    spec.executable = loadAndTest(hook.path, spec.budget, problems);
    if (!hook.shadow.empty()) spec.shadow = loadAndTest(hook.shadow, spec.budget, problems);
    if (!spec.executable) continue;
    const std::string& name = spec.executable->program().name;
    if (std::any_of(set->hooks.begin(), set->hooks.end(),
                    [&](const HookSpec& other) { return other.executable->program().name == name; }))
      problems.push_back(hook.path + ": the name '" + name + "' is that of an earlier hook");
    set->hooks.push_back(std::move(spec));
  }
  if (problems.size() > problemsBefore) return nullptr;
  return set;
}

}  // namespace finchstile::hook
