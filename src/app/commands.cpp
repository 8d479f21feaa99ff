#include "app/commands.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "app/hook_commands.hpp"
#include "app/hosts_command.hpp"
#include "app/operator_file.hpp"
#include "app/run.hpp"
#include "app/trace_command.hpp"
#include "hook/hook_loader.hpp"
#include "net/config.hpp"

namespace finchstile {
namespace {

int check(const RunOptions& options) {
  bool good = true;
  if (!options.config.empty()) {
    try {
      loadConfig(options.config, Clock{});
      std::printf("%s: good\n", options.config.c_str());
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%s: %s\n", options.config.c_str(), error.what());
      good = false;
    }
  }
  if (!options.operatorFile.empty()) {
    try {
      const OperatorFile file = loadOperatorFile(options.operatorFile);
      std::vector<std::string> problems;
      if (!hook::loadHooks(file.hooks, 1, problems)) throw OperatorFileError(std::move(problems));
      std::printf("%s: good\n", options.operatorFile.c_str());
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%s\n", error.what());
      good = false;
    }
  }
  return good ? 0 : kExitCheck;
}

}  // namespace

int runCommand(int argc, char** argv) {
  CLI::App app{"finchstile: an HTTP/1.1 gateway that sheds the requests of the lowest priority first",
               "finchstile"};
  app.set_version_flag("--version", "finchstile " FINCHSTILE_VERSION);
  app.footer("Exit codes: 0 done, 1 could not start or serve, 2 wrong command line, 3 a check failed.");
  RunOptions options;
  if (const char* path = std::getenv("LB_CONFIG")) options.config = path;
  const auto addFileOptions = [&](CLI::App* command) {
    command->add_option("--config", options.config, "the platform's configuration; else LB_CONFIG names it")
        ->type_name("FILE");
    command->add_option("--operator", options.operatorFile, "the operator's file, TOML")->type_name("FILE");
  };
  addFileOptions(&app);
  CLI::App* runSubcommand = app.add_subcommand("run", "serve (the default)");
  CLI::App* checkSubcommand =
      app.add_subcommand("check", "read the files that are named, list all that is wrong");
  addFileOptions(runSubcommand);
  addFileOptions(checkSubcommand);
  std::function<int()> selectedCommand;
  addHookCommands(app, selectedCommand);
  addHostsCommand(app, selectedCommand);
  addTraceCommand(app, selectedCommand);
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& parseError) {
    return app.exit(parseError) == 0 ? 0 : kExitUsage;
  }
  if (selectedCommand) return selectedCommand();
  if (*checkSubcommand) {
    if (!options.config.empty() || !options.operatorFile.empty()) return check(options);
    std::fputs("finchstile: check needs --operator or --config\n", stderr);
    return kExitUsage;
  }
  if (options.config.empty()) {
    std::fputs("finchstile: LB_CONFIG does not name a configuration file\n", stderr);
    return kExitUsage;
  }
  return run(options);
}

}  // namespace finchstile
