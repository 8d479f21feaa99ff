#include "app/run.hpp"

#include <csignal>

#include "app/gateway_program.hpp"

namespace finchstile {
namespace {

// The signals that the program handles while it serves.
sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

int run(const RunOptions& options) {
  // Without SIGPIPE, a write to a connection that the peer has closed returns an error.
  std::signal(SIGPIPE, SIG_IGN);
  // Signals are blocked until the program has installed its handlers: before that, SIGHUP and SIGTERM would
  // end the process, and a SIGTERM must lead to a drain at any time. If the start fails they stay blocked, so
  // that the process ends with the exit code of the failure.
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  GatewayProgram program(options);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  program.serve();
  return 0;
}

}  // namespace finchstile
