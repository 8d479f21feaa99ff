// Watches the endpoint list of a discovery service.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/long_poll_client.hpp"

namespace finchstile {

class DiscoveryCallbacks {
 public:
  virtual ~DiscoveryCallbacks() = default;
  virtual void onHostList(HostList&& list) = 0;
  /// The watch has ended; `Discovery::watch` starts a new one.
  virtual void onDiscoveryLost() = 0;
};

/// Polls the service again as soon as a poll is answered, each time for what has changed since the last
/// version.
class Discovery : LongPollCallbacks {
 public:
  struct Timeouts {
    Duration watch{};              ///< How long the service may hold a poll while nothing changes.
    Duration watchAfterFailure{};  ///< The same for the first poll after a failed one, or after a move.
    Duration responseMargin{};     ///< How much longer a response may take.
  };

  /// `version`: of the list that the gateway has; below 0: it has none, and polls for the complete one.
  Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& endpoint,
            const Timeouts& timeouts, std::int64_t version, DiscoveryCallbacks& callbacks);

  /// Does nothing while a watch is open.
  void watch();
  /// Watches another service from now on. `known`: a list of that service, with its version there. The
  /// service is asked for what has changed since, and the first response is passed on as the complete list
  /// that it makes. With no version the complete list is asked for.
  void move(const tcp::endpoint& endpoint, HostList known = {});
  /// Asks the service that it watches for the complete list.
  void requestCompleteList() { move(endpoint_); }
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
  bool nextWatchIsShort_ = false;       // nothing was answered since a poll failed, or since a move
  std::optional<HostList> changeBase_;  // to which the first response after a move tells the changes
  DiscoveryCallbacks& callbacks_;
  LongPollClient client_;
  bool watching_ = false;
};

}  // namespace finchstile
