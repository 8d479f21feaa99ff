#include "configuration/client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "configuration/snapshot_file.hpp"

namespace finchstile::configuration {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;
// The file holds the complete set, so writing it at each change would cost too much. Versions that a crash
// loses are polled again after the start.
constexpr Duration kMinFileWriteInterval = std::chrono::seconds(30);

}  // namespace

// What the worker's jobs share; they run one at a time.
struct Client::WorkerState {
  WorkerState(const load_balancing::Settings& start, std::string snapshotPath)
      : store(start), path(std::move(snapshotPath)) {}

  ConfigurationStore store;
  const std::string path;
};

struct Client::ProcessedUpdate {
  std::uint64_t pollNumber = 0;
  ApplyOutcome outcome;
  VersionState versionState;
  std::size_t tenantCount = 0;
  std::string parseError;  // empty: the response was an update
};

Client::Client(boost::asio::io_context& io, const boost::asio::any_io_executor& worker, const Clock& clock,
               const ConfigurationSettings& settings, const std::string& gatewayName, std::uint64_t seed,
               const load_balancing::Settings& start, std::function<void(const SettingsChange&)> applyChange,
               std::function<void(const std::string&)> log)
    : io_(io),
      worker_(boost::asio::make_strand(worker)),
      clock_(clock),
      settings_(settings),
      gatewayName_(gatewayName),
      applyChange_(std::move(applyChange)),
      log_(std::move(log)),
      randomEngine_(seed),
      endpoints_(settings.addresses, gatewayName, settings.backoff),
      workerState_(std::make_shared<WorkerState>(start, settings.snapshotPath)),
      self_(std::make_shared<Client*>(this)),
      watch_(io, kMaxUpdateBytes, *this),
      pollTimer_(io),
      fileTimer_(io),
      nextFileWriteAt_(clock.now()) {
  statistics_.tenantCount = workerState_->store.tenantCount();
}

Client::~Client() { *self_ = nullptr; }

void Client::start() {
  running_ = true;
  if (!std::exchange(snapshotFileLoaded_, true)) loadSnapshotFile();
  // All gateways may start at the same moment, so the first poll is delayed at random.
  const auto maxDelay = static_cast<double>(settings_.backoff.maxFailoverDelay.count());
  schedulePoll(clock_.now() + Duration(static_cast<std::int64_t>(randomUnit() * maxDelay)));
}

void Client::stop() {
  running_ = false;
  pollTimer_.cancel();
  watch_.stop();
}

// Runs on the loop: the gateway does not serve yet, so nothing is blocked. The log lines are part of the
// operators' documentation.
void Client::loadSnapshotFile() {
  if (settings_.snapshotPath.empty()) return;
  ConfigurationStore& store = workerState_->store;
  try {
    const auto text = readFileIfExists(settings_.snapshotPath);
    if (!text) return;
    const ApplyOutcome outcome = store.apply(parseUpdate(*text));
    if (outcome.result != ApplyResult::accepted) {
      log_("configuration: " + settings_.snapshotPath + " is not taken: " + describe(outcome.errors));
      return;
    }
    versionState_ = store.versionState();
    statistics_.activeVersion = versionState_.version;
    statistics_.tenantCount = store.tenantCount();
    applyChange_(outcome.change);
    log_("configuration: " + describe(versionState_.version) + " in force, from " + settings_.snapshotPath);
  } catch (const std::exception& error) {
    log_("configuration: " + settings_.snapshotPath + " is not taken: " + error.what());
  }
}

double Client::randomUnit() { return static_cast<double>(randomEngine_() >> 11) * 0x1.0p-53; }

// --- Polling

void Client::schedulePoll(Time notBefore) {
  const ControlPlaneEndpoints::Choice choice = endpoints_.choose(clock_.now(), randomUnit());
  currentEndpoint_ = choice.endpoint;
  pollTimer_.expires_at(clock_.steady(std::max(notBefore, choice.notBefore)));
  pollTimer_.async_wait([self = self_](const boost::system::error_code& cancelled) {
    if (!cancelled && *self && (*self)->running_) (*self)->poll();
  });
}

void Client::poll() {
  polledAt_ = clock_.now();
  endpoints_.onPolled(currentEndpoint_);
  ++statistics_.polls;
  ++pollNumber_;
  // After a failure the next machine may be silent too, and a held poll would delay a change by its full
  // wait. Without a wait the machine has to answer at once, with or without news.
  const Duration maxWait = retryingAfterFailure_ ? Duration{} : settings_.longPollWait;
  const LongPollClient::Timeouts patience{maxWait + settings_.silenceTimeout, settings_.silenceTimeout,
                                          settings_.maxResponseTime};
  const PollRequest request{gatewayName_, versionState_, maxWait};
  watch_.poll(settings_.endpoints[currentEndpoint_], formatPollTarget(request), patience);
}

void Client::onLongPollFailed() { onEndpointFailure(); }

void Client::onEndpointFailure() {
  endpoints_.onFailure(currentEndpoint_, clock_.now(), randomUnit());
  statistics_.endpointFailures = endpoints_.failureCount();
  retryingAfterFailure_ = true;
  watch_.stop();
  schedulePoll(clock_.now());
}

void Client::onLongPollResponse(LongPollResponse&& response) {
  if (response.status == kStatusUnavailable && response.retryAfter > Duration{}) {
    endpoints_.onRetryAfter(currentEndpoint_, clock_.now(), response.retryAfter, randomUnit());
    schedulePoll(clock_.now());
  } else if (response.status != kStatusOk) {
    onEndpointFailure();
  } else {
    processOnWorker(std::move(response.body));
  }
}

// Parses and applies the update on the worker and returns to the loop with the result.
void Client::processOnWorker(std::string&& body) {
  boost::asio::post(worker_, [&io = io_, self = self_, state = workerState_, pollNumber = pollNumber_,
                              text = std::move(body)] {
    auto processed = std::make_shared<ProcessedUpdate>();
    processed->pollNumber = pollNumber;
    try {
      processed->outcome = state->store.apply(parseUpdate(text));
    } catch (const std::exception& error) {
      processed->parseError = error.what();
    }
    processed->versionState = state->store.versionState();
    processed->tenantCount = state->store.tenantCount();
    boost::asio::post(io, [self, processed] {
      if (*self) (*self)->onUpdateProcessed(*processed);
    });
  });
}

// Runs on the loop between two requests, so each request sees all of a change or nothing of it.
void Client::onUpdateProcessed(const ProcessedUpdate& processed) {
  versionState_ = processed.versionState;
  statistics_.tenantCount = processed.tenantCount;
  const bool parsed = processed.parseError.empty();
  const ApplyResult result = processed.outcome.result;
  if (parsed && result == ApplyResult::accepted) {
    applyChange_(processed.outcome.change);
    scheduleFileWrite();
  }
  recordResult(processed);
  // A client that was stopped and started meanwhile has polled again; going on here would make two polls at
  // once.
  if (!running_ || processed.pollNumber != pollNumber_) return;
  // Errors are reported with the next poll, and the machine does not send that version again.
  const bool reportsErrors = !processed.outcome.errors.empty();
  const bool usable = result == ApplyResult::accepted || result == ApplyResult::unchanged ||
                      result == ApplyResult::gap || reportsErrors;
  if (!parsed || !usable) {
    onEndpointFailure();
    return;
  }
  endpoints_.onSuccess(currentEndpoint_);
  retryingAfterFailure_ = false;
  schedulePoll(polledAt_ + settings_.minPollInterval);
}

// Counts and logs the result. The line of a rejected version is part of the operators' documentation.
void Client::recordResult(const ProcessedUpdate& processed) {
  const std::string& address = settings_.addresses[currentEndpoint_];
  if (!processed.parseError.empty()) {
    log_("configuration: " + address + " answers what is " + processed.parseError);
    return;
  }
  const ApplyOutcome& outcome = processed.outcome;
  switch (outcome.result) {
    case ApplyResult::accepted:
      ++statistics_.accepted;
      statistics_.activeVersion = processed.versionState.version;
      statistics_.lastRejected.reset();
      return;
    case ApplyResult::rejected:
    case ApplyResult::conflict: {
      if (outcome.errors.empty()) return;
      ++(outcome.result == ApplyResult::rejected ? statistics_.rejected : statistics_.conflicts);
      const RejectedVersion& rejected = *processed.versionState.rejected;
      statistics_.lastRejected = rejected.version;
      log_("configuration: " + describe(rejected.version) + " from " + address + " not taken, " +
           describe(statistics_.activeVersion) + " stays in force: " + rejected.reason);
      return;
    }
    case ApplyResult::gap: ++statistics_.gaps; return;
    case ApplyResult::stale: ++statistics_.stale; return;
    case ApplyResult::unchanged: return;
  }
}

// --- The file

void Client::scheduleFileWrite() {
  if (settings_.snapshotPath.empty() || std::exchange(fileWritePending_, true)) return;
  fileTimer_.expires_at(clock_.steady(nextFileWriteAt_));
  fileTimer_.async_wait([self = self_](const boost::system::error_code& cancelled) {
    if (!cancelled && *self) (*self)->writeFileOnWorker();
  });
}

void Client::writeFileOnWorker() {
  fileWritePending_ = false;
  nextFileWriteAt_ = clock_.now() + kMinFileWriteInterval;
  boost::asio::post(worker_, [&io = io_, self = self_, state = workerState_] {
    try {
      replaceFile(state->path, state->store.serialize());
    } catch (const std::exception& error) {
      boost::asio::post(io, [self, message = std::string(error.what())] {
        if (*self) (*self)->log_("configuration: " + message);
      });
    }
  });
}

// --- Statistics

std::string Client::exposition() const {
  std::string text;
  const auto addMetric = [&](const char* name, std::uint64_t value) {
    text += std::string("lb_configuration_") + name + " " + std::to_string(value) + "\n";
  };
  addMetric("epoch", statistics_.activeVersion.epoch);
  addMetric("revision", statistics_.activeVersion.revision);
  addMetric("tenants", statistics_.tenantCount);
  addMetric("taken_total", statistics_.accepted);
  addMetric("refused_total", statistics_.rejected);
  addMetric("conflicts_total", statistics_.conflicts);
  addMetric("gaps_total", statistics_.gaps);
  addMetric("behind_total", statistics_.stale);
  addMetric("polls_total", statistics_.polls);
  addMetric("source_failures_total", statistics_.endpointFailures);
  return text;
}

std::string Client::summary() const {
  std::string line = "configuration in_force=" + describe(statistics_.activeVersion) +
                     " tenants=" + std::to_string(statistics_.tenantCount) +
                     " taken=" + std::to_string(statistics_.accepted) +
                     " refused=" + std::to_string(statistics_.rejected);
  if (statistics_.lastRejected) line += " last_refused=" + describe(*statistics_.lastRejected);
  return line + " source_failures=" + std::to_string(statistics_.endpointFailures);
}

}  // namespace finchstile::configuration
