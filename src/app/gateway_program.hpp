// The gateway process: creates the subsystems that the operator's file enables, connects them to the gateway,
// and starts a drain or a reload on signals. No other class depends on all subsystems.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "app/admin_api.hpp"
#include "app/idempotency_log.hpp"
#include "app/idempotency_ownership.hpp"
#include "app/loaded_operator_file.hpp"
#include "app/membership_service.hpp"
#include "app/operator_file_reloader.hpp"
#include "app/peer_link.hpp"
#include "app/process_handover.hpp"
#include "app/run.hpp"
#include "app/summary_log.hpp"
#include "app/system_memory.hpp"
#include "app/trace_log.hpp"
#include "configuration/client.hpp"
#include "cross_zone/cross_zone_filter.hpp"
#include "hook/hook_filter.hpp"
#include "idempotency/filter.hpp"
#include "net/gateway.hpp"
#include "stream/table.hpp"
#include "stream/tcp_proxy_handler.hpp"
#include "websocket/web_socket_handler.hpp"

namespace finchstile {

class GatewayProgram {
 public:
  // Reads both files and opens the listener, or takes over the inherited one (LB_INHERITED_FD). Throws
  // std::exception with one line, or with all problems of the operator's file, if the gateway cannot start
  // with them.
  explicit GatewayProgram(const RunOptions& options);

  // Serves until a drain has completed. Handles signals from here on: SIGTERM and SIGINT start a drain,
  // SIGHUP a reload.
  void serve();

 private:
  GatewayConfig readGatewayConfig();
  void limitMemory(GatewayConfig& config);

  void attachHooks();
  void ensureHookFilter();
  void attachCrossZoneBudget();
  void attachIdempotency();
  void attachStreams();
  void attachConfigurationClient();
  void attachMembership();
  void attachAdminApi();
  void attachTraceLog();
  void attachProcessHandover();

  void waitForSignal();
  void drain();
  void reload();
  void onOperatorFileLoaded(LoadedOperatorFile&& loaded);

  std::vector<std::string> summaries();
  std::string subsystemMetrics() const;

  // Members are destroyed in reverse order. Filters and the attempt log outlive the gateway, which calls
  // them; objects that call the gateway, among them the protocol handlers, are destroyed before it.
  const RunOptions options_;
  const Clock clock_;
  boost::asio::io_context io_{1};
  LoadedOperatorFile operator_;
  SystemMemory systemMemory_;
  std::optional<MemoryAccount> memory_;  // if the process has a limit
  const GatewayConfig config_;
  hook::HookFilter hooks_;
  std::unique_ptr<idempotency::IdempotencyFilter> idempotency_;
  std::unique_ptr<cross_zone::CrossZoneFilter> crossZone_;
  std::unique_ptr<IdempotencyLog> idempotencyLog_;
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<IdempotencyOwnership> idempotencyOwners_;
  std::unique_ptr<TraceLog> trace_;
  Gateway gateway_;
  std::unique_ptr<stream::StreamTable> streams_;
  std::unique_ptr<stream::TcpProxyHandler> tcpProxy_;
  std::random_device entropy_;
  std::unique_ptr<websocket::WebSocketHandler> webSocket_;
  std::unique_ptr<MembershipService> membership_;
  std::unique_ptr<AdminApi> adminApi_;
  std::unique_ptr<ProcessHandover> handover_;
  std::unique_ptr<boost::asio::thread_pool>
      configurationWorker_;  // outlives the client, which has a strand on it
  std::unique_ptr<configuration::Client> configuration_;
  bool hookFilterAttached_ = false;
  bool draining_ = false;
  boost::asio::signal_set signals_;
  SummaryLog summaryLog_;
  OperatorFileReloader reloader_;
};

}  // namespace finchstile
