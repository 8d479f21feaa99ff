// The operators' calls, carried out on the gateway: what was said by hand goes to the gateway as a filter of
// its list, and into a file that the next process of this gateway reads before it serves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "ops/exposition.hpp"
#include "ops/host_cordon.hpp"
#include "ops/server.hpp"
#include "ops/state_file.hpp"

namespace finchstile {

class AdminApi : ops::CallEvents, HostEntryFilter {
 public:
  // `file`: where hosts out by hand are written down; empty: nowhere.
  AdminApi(boost::asio::io_context& io, const Clock& clock, const GatewayConfig& config,
           const std::string& file, Gateway& gateway);

  ops::ConfigMetrics config;          // counted by whoever reads configurations
  std::function<std::string()> more;  // further figures, as lines of the exposition format
  // What is known of a host, of all if none is named; none: no list names it. Empty: nobody keeps it.
  std::function<std::optional<std::string>(const std::string& host)> hosts;

 private:
  ops::Reply onCall(const ops::Call& call) override;
  void apply(load_balancing::HostEntry& entry) const override { out_.apply(entry); }
  ops::Reply takeOut(const std::string& host);
  ops::Reply putBack(const std::string& host);
  bool known(const std::string& host);
  ops::Reply changed(const std::string& host, const char* how);
  bool refresh();
  void waitToLook();

  const Clock& clock_;
  const Duration keep_;  // how long a host is cold at the most
  Gateway& gateway_;
  ops::HostCordon out_;
  ops::StateFile file_;
  boost::asio::steady_timer timer_;
  ops::Server server_;
};

// The file of a gateway's processes in the folder that they share, named after it; empty if there is none.
std::string opsFile(const std::string& name);

}  // namespace finchstile
