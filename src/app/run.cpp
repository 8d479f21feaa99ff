#include "app/run.hpp"

#include <csignal>

#include "app/gateway_program.hpp"

namespace finchstile {
namespace {

// The signals that the program handles once it serves.
sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, signal);
  return signals;
}

}  // namespace

int run(const RunOptions& options) {
  std::signal(SIGPIPE,
              SIG_IGN);  // a connection that its other side has closed shows as an error of the write
  // Nobody handles signals before the program is made: SIGHUP would end the process, and a SIGTERM has to
  // lead to a drain like any other. They are held back until then. If the start fails they stay held back,
  // and its exit code stands.
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  GatewayProgram program(options);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  program.serve();
  return 0;
}

}  // namespace finchstile
