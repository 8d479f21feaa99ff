// Carries out the calls of the administration interface on the gateway. Cordoned hosts are filtered in its
// endpoint list, and written to a file that the other processes of the gateway read.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "ops/admin_server.hpp"
#include "ops/exposition.hpp"
#include "ops/host_cordon.hpp"
#include "ops/state_file.hpp"

namespace finchstile {

class AdminApi : ops::AdminCallHandler, HostEntryFilter {
 public:
  // `config` has an admin endpoint. `cordonFile`: the path of the shared file; empty for none. `clock` and
  // `gateway` must outlive this object. Throws boost::system::system_error if the endpoint cannot be listened
  // at.
  AdminApi(boost::asio::io_context& io, const Clock& clock, const GatewayConfig& config,
           const std::string& cordonFile, Gateway& gateway);

  ops::ConfigMetrics configMetrics;  // counted by the owner, who reads configurations

  // Further lines of the exposition format. May be empty.
  std::function<std::string()> additionalMetrics;

  // What is known of a host, or of all hosts if the name is empty. Returns nothing if the list does not name
  // the host. Empty if membership is not enabled.
  std::function<std::optional<std::string>(const std::string& host)> hostsText;

 private:
  ops::Reply onCall(const ops::AdminCall& call) override;
  void apply(load_balancing::HostEntry& entry) const override { cordon_.apply(entry); }
  ops::Reply setLameDuck(bool enabled);
  ops::Reply describeHosts(const std::string& host);
  ops::Reply cordonHost(const std::string& host);
  ops::Reply uncordonHost(const std::string& host);
  bool isKnownHost(const std::string& host);
  ops::Reply onCordonChanged(const std::string& host, const char* change);
  bool readSharedState();
  void scheduleRefresh();

  const Clock& clock_;
  const Duration cordonMemory_;  // for which uncordoned hosts are remembered: no host warms up for longer
  Gateway& gateway_;
  ops::HostCordon cordon_;
  ops::StateFile stateFile_;
  boost::asio::steady_timer timer_;
  ops::AdminServer server_;
};

// The path of the file that the processes of a gateway share, named after the gateway; empty if there is no
// directory for it.
std::string cordonFilePath(const std::string& name);

}  // namespace finchstile
