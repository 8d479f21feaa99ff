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

// The version of one service means nothing to another. But the configuration names a service together with a
// list and its version there. Asking for the changes since spares a service to which all gateways move at
// once three quarters of the work of complete lists.
void Discovery::move(const tcp::endpoint& endpoint, HostList known) {
  stop();
  endpoint_ = endpoint;
  const bool usable = known.version >= 0 && !known.hosts.empty();  // changes to no hosts make no list
  version_ = usable ? known.version : kNoVersion;
  changeBase_ = usable ? std::optional(std::move(known)) : std::nullopt;
  wantsEarlyResponse_ = true;  // also a response without changes confirms the list that came with the move
  watch();
}

void Discovery::stop() {
  watching_ = false;
  client_.stop();
}

// The form of the poll is the platform's.
void Discovery::poll() {
  std::string target = "/registry/instances";
  Duration timeout = timeouts_.silence;
  if (version_ >= 0) {
    const Duration watchTime =
        wantsEarlyResponse_ ? std::min(timeouts_.watch, timeouts_.watchAfterFailure) : timeouts_.watch;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(watchTime).count();
    target += "?since=" + std::to_string(version_) + "&timeout_ms=" + std::to_string(milliseconds);
    timeout += watchTime;
  }
  client_.poll(endpoint_, target, {timeout, {}, {}});
}

void Discovery::onLongPollResponse(LongPollResponse&& response) {
  if (response.status != kOk) return endWatch();
  HostList list;
  try {
    list = parseHostList(response.body, clock_);
  } catch (const ConfigError&) {
    return endWatch();
  }
  // These may be changes to a list that the gateway does not have: it asked for the complete one, or the
  // service counts its versions anew, or it is another service than the version is from.
  if (!list.complete && (version_ < 0 || list.version < version_)) {
    version_ = kNoVersion;
    changeBase_.reset();
    return endWatch();
  }
  version_ = list.version;
  wantsEarlyResponse_ = false;
  if (const auto base = std::exchange(changeBase_, std::nullopt); base && !list.complete)
    list = applyChanges(*base, std::move(list));
  // The next poll goes out first: to the service a watch lasts only as long as polls follow each other
  // closely.
  poll();
  callbacks_.onHostList(std::move(list));
}

void Discovery::endWatch() {
  stop();
  wantsEarlyResponse_ = true;
  callbacks_.onDiscoveryLost();
}

}  // namespace finchstile
