// Long-polls the control machines, which publish the configuration, for newer versions and passes accepted
// changes to the gateway. ConfigurationStore decides whether an update is accepted, and ControlPlaneEndpoints
// which machine is polled and when.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "configuration/configuration_store.hpp"
#include "configuration/control_plane_endpoints.hpp"
#include "configuration/poll_request.hpp"
#include "configuration/settings.hpp"
#include "net/clock.hpp"
#include "net/long_poll_client.hpp"

namespace finchstile::configuration {

// Maximum number of file descriptors of a Client: its connection, the connection closed last, and the file
// being written.
inline constexpr std::size_t kMaxClientDescriptors = 3;

class Client : LongPollCallbacks {
 public:
  struct Statistics {
    Version activeVersion;
    std::optional<Version> lastRejected;  // reset when a newer version is accepted
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t gaps = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t stale = 0;
    std::uint64_t polls = 0;
    std::uint64_t endpointFailures = 0;
    std::size_t tenantCount = 0;  // in the active configuration
  };

  // `worker` parses and validates updates and writes the file. It must not run on the thread of the loop,
  // which long updates would block. `applyChange` is called on the loop and must apply the whole change
  // before it returns. `log` writes one line. `initialSettings` are active until a version is accepted;
  // `seed` is for the jitter. `io`, `clock` and everything that the callbacks use must outlive the client;
  // `worker` must keep running or be joined.
  Client(boost::asio::io_context& io, const boost::asio::any_io_executor& worker, const Clock& clock,
         const ConfigurationSettings& settings, const std::string& gatewayName, std::uint64_t seed,
         const load_balancing::Settings& initialSettings,
         std::function<void(const SettingsChange&)> applyChange, std::function<void(const std::string&)> log);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts polling. The first call also applies the version stored in the file, if it is valid.
  void start();
  // Stops polling; `start` resumes it.
  void stop();

  const Statistics& statistics() const { return statistics_; }
  std::string exposition() const;  // statistics in the Prometheus exposition format
  std::string summary() const;     // statistics as one log line
  std::uint64_t bytesSent() const { return longPollClient_.bytesSent(); }
  std::uint64_t bytesReceived() const { return longPollClient_.bytesReceived(); }

 private:
  struct WorkerState;
  struct ProcessedUpdate;

  void loadSnapshotFile();
  void schedulePoll(Time notBefore);
  void poll();
  void onLongPollResponse(LongPollResponse&& response) override;
  void onLongPollFailed() override;
  void processOnWorker(std::string&& body);
  void onUpdateProcessed(const ProcessedUpdate& processed);
  void recordResult(const ProcessedUpdate& processed);
  void onEndpointFailure();
  void scheduleFileWrite();
  void writeFileOnWorker();
  double randomFraction();

  boost::asio::io_context& io_;
  boost::asio::any_io_executor worker_;  // a strand: one job at a time
  const Clock& clock_;
  const ConfigurationSettings settings_;
  const std::string gatewayName_;
  const std::function<void(const SettingsChange&)> applyChange_;
  const std::function<void(const std::string&)> log_;
  std::mt19937_64 randomEngine_;
  ControlPlaneEndpoints endpoints_;
  std::shared_ptr<WorkerState> workerState_;
  // Set to null when this client is destroyed; later results of the worker are dropped.
  std::shared_ptr<Client*> self_;
  VersionState versionState_;
  LongPollClient longPollClient_;
  boost::asio::steady_timer pollTimer_;
  boost::asio::steady_timer fileTimer_;
  Time nextFileWriteAt_;
  bool fileWritePending_ = false;
  std::size_t currentEndpoint_ = 0;  // endpoint of the pending or scheduled poll
  Time polledAt_{};
  std::uint64_t pollNumber_ = 0;  // number of the latest poll
  bool running_ = false;
  bool snapshotFileLoaded_ = false;
  bool retryingAfterFailure_ = false;  // from a failed poll until the next successful one
  Statistics statistics_;
};

}  // namespace finchstile::configuration
