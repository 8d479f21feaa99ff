// Polls the control machines for newer versions of the configuration and hands accepted changes to the
// gateway. ConfigurationStore decides what becomes of an update, ControlPlaneEndpoints which machine is
// polled and when.
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

// File descriptors that a client holds at most: its connection, the one it has just closed, and the file that
// is written.
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
    std::size_t tenantCount = 0;  // of the active set
  };

  // `worker` runs the parsing and checking of updates and the writing of the file; it must not be the loop's
  // thread, which long updates would block. `applyChange` is called on the loop and has to apply all of a
  // change before it returns. `log` writes one line. `start` is the configuration that is active before any
  // version; `seed` is for the jitter. `io`, `clock` and what the callbacks use must outlive the client;
  // `worker` must run or be joined.
  Client(boost::asio::io_context& io, const boost::asio::any_io_executor& worker, const Clock& clock,
         const ConfigurationSettings& settings, const std::string& gatewayName, std::uint64_t seed,
         const load_balancing::Settings& start, std::function<void(const SettingsChange&)> applyChange,
         std::function<void(const std::string&)> log);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts to poll. The first call applies the version in the file before, if there is a valid one.
  void start();
  // Ends polling; `start` resumes it.
  void stop();

  const Statistics& statistics() const { return statistics_; }
  std::string exposition() const;  // the statistics in the exposition format of metrics
  std::string summary() const;     // the statistics in one line for the log
  std::uint64_t bytesSent() const { return watch_.bytesSent(); }
  std::uint64_t bytesReceived() const { return watch_.bytesReceived(); }

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
  double randomUnit();

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
  // Points to null once this client is destroyed: results of the worker are dropped then.
  std::shared_ptr<Client*> self_;
  VersionState versionState_;
  LongPollClient watch_;
  boost::asio::steady_timer pollTimer_;
  boost::asio::steady_timer fileTimer_;
  Time nextFileWriteAt_;
  bool fileWritePending_ = false;
  std::size_t currentEndpoint_ = 0;  // of the poll that is out or scheduled
  Time polledAt_{};
  std::uint64_t pollNumber_ = 0;  // of the last poll
  bool running_ = false;
  bool snapshotFileLoaded_ = false;
  bool retryingAfterFailure_ = false;  // no poll was answered since one failed
  Statistics statistics_;
};

}  // namespace finchstile::configuration
