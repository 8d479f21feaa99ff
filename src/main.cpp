// The gateway as a program: configuration, signals, wiring.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/gateway.hpp"

int main() try {
  std::signal(SIGPIPE, SIG_IGN);  // a client or host that went away shows as an error of the write
  const char* path = std::getenv("LB_CONFIG");
  if (!path || !*path) {
    std::fputs("finchstile: LB_CONFIG does not name a configuration file\n", stderr);
    return 2;
  }
  const finchstile::Clock clock;
  boost::asio::io_context io(1);
  finchstile::Gateway gateway(io, clock, finchstile::loadConfig(path, clock));
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gateway.drain([&] { io.stop(); });
  });
  gateway.start();
  io.run();
  return 0;
} catch (const std::exception& bad) {
  std::fprintf(stderr, "finchstile: %s\n", bad.what());
  return 1;
}
