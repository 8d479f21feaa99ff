// Watches the endpoint list of a discovery service by long polls.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/long_poll_client.hpp"

namespace finchstile {

/// Events of a Discovery.
class DiscoveryCallbacks {
 public:
  virtual ~DiscoveryCallbacks() = default;
  /// A list has arrived. The next poll has been sent already.
  virtual void onHostList(HostList&& list) = 0;
  /// The watch has failed; `Discovery::watch` starts a new one.
  virtual void onDiscoveryLost() = 0;
};

/// Sends the next poll as soon as a poll is answered. Each poll requests the changes since the last version.
class Discovery : LongPollCallbacks {
 public:
  struct Timeouts {
    Duration watch{};              ///< How long the service may hold a poll while nothing changes.
    Duration watchAfterFailure{};  ///< As `watch`, for the first poll after a failed one or after a move.
    Duration responseMargin{};     ///< Time allowed for a response beyond the watch time.
  };

  /// `version` is that of the list that the gateway has. Below 0 it has none, and the complete list is
  /// requested.
  Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint,
            const Timeouts& timeouts, std::int64_t version, DiscoveryCallbacks& callbacks);

  /// Starts a watch. Does nothing while one is open.
  void watch();
  /// Watches another service from now on. `knownHosts` is a list of that service with its version there. The
  /// changes since that version are requested, and the first response is applied to `knownHosts` and passed
  /// on as a complete list. Without a version the complete list is requested.
  void move(const tcp::endpoint& endpoint, HostList knownHosts = {});
  /// Requests the complete list from the present service.
  void requestCompleteList() { move(endpoint_); }
  /// Version of the last list; below 0 if there is none.
  std::int64_t version() const { return version_; }
  const tcp::endpoint& endpoint() const { return endpoint_; }
  /// Ends the watch without a callback.
  void stop();

 private:
  void poll();
  void onLongPollResponse(LongPollResponse&& response) override;
  void onLongPollFailed() override { endWatch(); }
  void endWatch();

  const Clock& clock_;
  tcp::endpoint endpoint_;
  Timeouts timeouts_;
  std::int64_t version_;
  bool nextWatchIsShort_ = false;       // no response since a poll failed or since a move
  std::optional<HostList> changeBase_;  // the first response after a move has changes to this list
  DiscoveryCallbacks& callbacks_;
  LongPollClient client_;
  bool watching_ = false;
};

}  // namespace finchstile
