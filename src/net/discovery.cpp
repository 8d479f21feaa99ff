#include "net/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace finchstile {
namespace {

constexpr std::size_t kMaxListBytes = std::size_t{4} * 1024 * 1024;
constexpr unsigned kOk = 200;
constexpr std::int64_t kNoVersion = -1;

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint,
                     const Timeouts& timeouts, std::int64_t version, DiscoveryCallbacks& callbacks)
    : clock_(clock),
      endpoint_(endpoint),
      timeouts_(timeouts),
      version_(version),
      callbacks_(callbacks),
      client_(io, kMaxListBytes, *this) {}

void Discovery::watch() {
  if (std::exchange(watching_, true)) return;
  poll();
}

// Versions of one service are not valid at another. But the configuration has a list of the new service with
// its version there. Requesting only the changes since that version saves a service to which all gateways
// move at once three quarters of the work for complete lists.
void Discovery::move(const tcp::endpoint& endpoint, HostList knownHosts) {
  stop();
  endpoint_ = endpoint;
  // Changes can't be applied to an empty list.
  const bool usable = knownHosts.version >= 0 && !knownHosts.hosts.empty();
  version_ = usable ? knownHosts.version : kNoVersion;
  changeBase_ = usable ? std::optional(std::move(knownHosts)) : std::nullopt;
  nextWatchIsShort_ = true;  // a response without changes also confirms the list of the move
  watch();
}

void Discovery::stop() {
  watching_ = false;
  client_.stop();
}

// The platform defines the request target.
void Discovery::poll() {
  std::string target = "/registry/instances";
  Duration timeout = timeouts_.responseMargin;
  if (version_ >= 0) {
    const Duration watchTime =
        nextWatchIsShort_ ? std::min(timeouts_.watch, timeouts_.watchAfterFailure) : timeouts_.watch;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(watchTime).count();
    target += "?since=" + std::to_string(version_) + "&timeout_ms=" + std::to_string(milliseconds);
    timeout += watchTime;
  }
  client_.sendPoll(endpoint_, target, {timeout, {}, {}});
}

void Discovery::onLongPollResponse(LongPollResponse&& response) {
  if (response.status != kOk) return endWatch();
  HostList list;
  try {
    list = parseHostList(response.body, clock_);
  } catch (const ConfigError&) {
    return endWatch();
  }
  // These may be changes to a list that the gateway does not have: the complete list was requested, or the
  // service has restarted its version numbers, or the version comes from another service.
  if (!list.complete && (version_ < 0 || list.version < version_)) {
    version_ = kNoVersion;
    changeBase_.reset();
    return endWatch();
  }
  version_ = list.version;
  nextWatchIsShort_ = false;
  if (const auto base = std::exchange(changeBase_, std::nullopt); base && !list.complete)
    list = applyChanges(*base, std::move(list));
  // The next poll is sent first: the service ends a watch unless polls follow each other closely.
  poll();
  callbacks_.onHostList(std::move(list));
}

void Discovery::endWatch() {
  stop();
  nextWatchIsShort_ = true;
  callbacks_.onDiscoveryLost();
}

}  // namespace finchstile
