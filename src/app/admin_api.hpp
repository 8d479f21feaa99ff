// Executes the operations of the administration interface on the gateway. Cordons are applied as a filter on
// its endpoint list, and written to a file that the other processes of the gateway read.
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
  // `gateway` must outlive this object. Throws boost::system::system_error if it cannot listen at the
  // endpoint.
  AdminApi(boost::asio::io_context& io, const Clock& clock, const GatewayConfig& config,
           const std::string& cordonFile, Gateway& gateway);

  ops::ConfigMetrics configMetrics;  // updated by the owner when it loads a configuration

  // Returns further lines of the telemetry reply, in the exposition format. May be unset.
  std::function<std::string()> additionalMetrics;

  // Describes a host, or all hosts if the name is empty. Returns nothing if the list does not contain the
  // host. Unset if membership is not enabled.
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
  const Duration cordonRetention_;  // how long uncordoned hosts are tracked: no warm-up takes longer
  Gateway& gateway_;
  ops::HostCordon cordon_;
  ops::StateFile stateFile_;
  boost::asio::steady_timer timer_;
  ops::AdminServer server_;
};

// The path of the cordon file that the processes of a gateway share, in the directory TMPDIR and named after
// the gateway; empty if TMPDIR is not set.
std::string cordonFilePath(const std::string& name);

}  // namespace finchstile
