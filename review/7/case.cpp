// The process of a gateway is replaced, with one subsystem after another switched on. See claim.txt.
#include <sys/stat.h>

#include "../support-2/keyed_hosts.hpp"
#include "../support-2/replacement.hpp"

using namespace review;

namespace {

struct Subsystem {
  std::string name, settings;
};

std::vector<Subsystem> subsystems(const TemporaryFolder& folder) {
  const std::string secret = folder.write("peers.secret", "00112233445566778899aabbccddeeff\n");
  ::chmod(secret.c_str(), 0600);
  const std::string own = textOf(freePort()), other = textOf(freePort());
  return {{"none", ""},
          {"log of keys",
           "[idempotency]\nenabled = true\n[idempotency.log]\nfolder = \"" + (folder / "keys") + "\"\n"},
          {"owners of keys",
           "[idempotency]\nenabled = true\n[idempotency.owners]\nenabled = true\n[peers]\nenabled = "
           "true\naddresses = [\"" +
               own + "\", \"" + other + "\"]\nown = \"" + own + "\"\nsecret_file = \"" + secret + "\"\n"},
          {"streams", "[streams]\nenabled = true\n[[streams.listen]]\nname = \"scanners\"\naddress = \"" +
                          textOf(freePort()) + "\"\nclass = \"log-in\"\n"}};
}

// Returns whether the rule held; nothing if the test couldn't run.
std::optional<bool> run(const Test& test, const TemporaryFolder& folder, const Discovery& discovery,
                        const Subsystem& subsystem) {
  RECORD("--- subsystem: %s", subsystem.name.c_str());
  const TemporaryFolder own;
  const std::string operatorFile = folder.write("operator.toml", subsystem.settings);
  GatewayInstallation installation(test, own, discovery.port(), discovery.list(), operatorFile);
  auto first = installation.start("first");
  if (!installation.awaitOpsReady(*first, 10)) return std::nullopt;
  if (sendBooking(installation.port(), {"key-1-" + newId(), "x"}, 1000) != 200) return std::nullopt;
  if (!test.trouble) {  // the process ends, then starts again
    first->process.signal(SIGTERM);
    const double until = secondsNow() + 5;
    while (secondsNow() < until && !first->process.exitStatus()) sleepMs(20);
    if (!first->process.exitStatus()) return std::nullopt;
  }
  auto second = installation.start("second");
  const bool ready = installation.awaitOpsReady(*second, 6);
  if (ready && test.trouble) {
    first->process.signal(SIGTERM);
    sleepMs(200);
  }
  const bool served = ready && sendBooking(installation.port(), {"key-2-" + newId(), "x"}, 1000) == 200;
  RECORD("subsystem %s: the second process %s", subsystem.name.c_str(),
         ready ? (served ? "says yes and serves" : "says yes") : "does not come up");
  return ready;
}

}  // namespace

int main(int argc, char** argv) {
  const Test test(argc, argv, 100);
  KeyedHosts hosts(milliseconds(20));
  const Discovery discovery(hosts.all());
  const TemporaryFolder folder;
  int broken = 0;
  for (const Subsystem& subsystem : subsystems(folder)) {
    const auto held = run(test, folder, discovery, subsystem);
    if (!held) return kCouldNotRun;
    broken += !*held;
  }
  RECORD("replacements whose new process ended: %d", broken);
  return broken > 0 ? kBroken : kHeld;
}
