// A gateway whose process can be replaced, as the page DAYS says: the platform keeps the clients' listening
// socket, which every process inherits as descriptor 3; both have the same addresses but for the operators'
// one, and share $TMPDIR.
#pragma once

#include <memory>

#include "stand_ins.hpp"

namespace review {

struct GatewayProcess {
  GatewayProcess(const Process::Options& options, int opsPort, std::string logFile)
      : process(options), ops(opsPort), log(std::move(logFile)) {}
  Process process;
  int ops;
  std::string log;
};

class GatewayInstallation {
 public:
  // `known`: the list of hosts in each process's configuration. `operatorFile`: empty for none.
  GatewayInstallation(const Test& test, const TemporaryFolder& folder, int discoveryPort, std::string known,
                      std::string operatorFile = "")
      : test_(test), folder_(folder), operatorFile_(std::move(operatorFile)) {
    config_.listen = freePort();
    config_.discovery = discoveryPort;
    config_.known = std::move(known);
    listener_ = listenOnLoopback(config_.listen);
    temporaryFolder_ = folder_.folder("tmp");
  }
  int port() const { return config_.listen; }

  std::unique_ptr<GatewayProcess> start(const std::string& name) {
    GatewayConfig config = config_;
    config.ops = freePort();
    config.seed = newSeed();
    const std::string file = folder_.write(name + ".json", configurationText(config));
    Process::Options options;
    options.root = test_.root;
    options.command = runCommand(test_.root) + (operatorFile_.empty() ? "" : " --operator " + operatorFile_);
    options.temporaryFolder = temporaryFolder_;
    options.log = folder_ / (name + ".log");
    options.environment = {{"LB_CONFIG", file},
                           {"LB_NAME", config.name},
                           {"LB_LISTEN", textOf(config.listen)},
                           {"LB_DISCOVERY", textOf(config.discovery)},
                           {"LB_OPS", textOf(config.ops)}};
    options.inheritedListener = listener_;
    RECORD("start of the process '%s'", name.c_str());
    return std::make_unique<GatewayProcess>(options, config.ops, options.log);
  }

  // Waits until the process says yes to operators. Returns false if it does not in time, or has ended.
  bool awaitOpsReady(GatewayProcess& gateway, double seconds) const {
    const double until = secondsNow() + seconds;
    while (secondsNow() < until && !gateway.process.exitStatus()) {
      if (ask(gateway.ops, "/api/ready") == 200) return true;
      sleepMs(50);
    }
    std::string log = readFile(gateway.log);
    for (char& c : log)
      if (c == '\n') c = ' ';
    const auto status = gateway.process.exitStatus();
    if (status && WIFEXITED(*status))
      RECORD("the process has ended with code %d; its log: %s", WEXITSTATUS(*status), log.c_str());
    else if (status)
      RECORD("the process was ended by signal %d; its log: %s", WTERMSIG(*status), log.c_str());
    else RECORD("the process is not ready after %.0f s; its log: %s", seconds, log.c_str());
    return false;
  }

 private:
  const Test& test_;
  const TemporaryFolder& folder_;
  std::string operatorFile_, temporaryFolder_;
  GatewayConfig config_;
  int listener_ = -1;
};

}  // namespace review
