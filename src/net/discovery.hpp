// The watch on the list of hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/watch.hpp"

namespace finchstile {

class DiscoveryCallbacks {
 public:
  virtual ~DiscoveryCallbacks() = default;
  virtual void onHostList(HostList&& list) = 0;
  virtual void onDiscoveryLost() = 0;  // the watch has ended; `watch` starts a new one
};

class Discovery : WatchCallbacks {
 public:
  struct Limits {
    Duration wait{};     // how long discovery may hold a call that has no news,
    Duration soon{};     // and the first one after a failed call or a move, whose answer is wanted soon
    Duration silence{};  // after that wait: how much longer an answer may take
  };

  Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& at, Limits limits,
            std::int64_t index, DiscoveryCallbacks& events);

  void watch();  // does nothing while a watch is on
  // Watches another discovery from now on. `known`: a list as that one had it, with its version there; what
  // has changed since is asked for, and the first answer is handed on as the whole list that it makes. With
  // no version the whole list is asked for.
  void move(const tcp::endpoint& at, HostList known = {});
  void renew() { move(at_); }  // asks for the whole list where it watches
  void stop();

 private:
  void ask();
  void onWatchResponse(WatchResponse&& answer) override;
  void onWatchLost() override;
  void lost();

  const Clock& clock_;
  tcp::endpoint at_;
  Limits limits_;
  std::int64_t index_;
  bool soon_ = false;             // nothing has been answered since a call failed, or since a move
  std::optional<HostList> base_;  // what the first answer after a move tells the changes of
  DiscoveryCallbacks& events_;
  Watch watch_;
  bool watching_ = false;
};

}  // namespace finchstile
