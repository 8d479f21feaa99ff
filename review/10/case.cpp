// Keyed bookings with long bodies are repeated while the first still runs. See claim.txt.
#include "../support-2/keyed_hosts.hpp"

using namespace review;

int main(int argc, char** argv) {
  const Test test(argc, argv, 60);
  constexpr int kBookings = 20;
  KeyedHosts hosts(milliseconds(250));
  const Discovery discovery(hosts.all());
  const TemporaryFolder folder;
  const std::string operatorFile = folder.write("operator.toml", "[idempotency]\nenabled = true\n");
  GatewayConfig config;
  config.listen = freePort();
  config.discovery = discovery.port();
  config.known = discovery.list();
  Process gateway({test.root,
                   runCommand(test.root) + " --operator " + operatorFile,
                   folder.folder("tmp"),
                   folder / "log",
                   {{"LB_CONFIG", folder.write("config.json", configurationText(config))}},
                   -1});
  if (!awaitReady(config.listen, 10)) return kCouldNotRun;

  const std::size_t bodyBytes = test.trouble ? 100'000 : 2'000;
  for (int i = 0; i < kBookings; ++i) {
    const Booking booking{"7a0f6e1a2b3d4c59a8b7c6d5e4f3" + std::to_string(1000 + i),
                          std::string(bodyBytes, 'b')};
    std::thread first([&] {
      const int status = sendBooking(config.listen, booking, 1000);
      RECORD("booking %d of %zu bytes, first try: answered %d", i, bodyBytes, status);
    });
    sleepMs(100);
    const int status = sendBooking(config.listen, booking, 900);
    RECORD("booking %d of %zu bytes, repeat: answered %d", i, bodyBytes, status);
    first.join();
  }
  if (gateway.exitStatus()) RECORD("the gateway has ended");
  const int twice = hosts.keysRunTwice();
  RECORD("keys that ran more than once: %d of %d", twice, kBookings);
  return twice > 0 ? kBroken : kHeld;
}
