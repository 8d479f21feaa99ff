#include "reconnect_surge/model.hpp"

#include <algorithm>
#include <cstdlib>

namespace finchstile::reconnect_surge {
namespace {

using namespace load_balancing;

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Time kStart = std::chrono::hours(24);
constexpr double kReplacementDelay = 3;     // from a worker's drain to the listing of its replacement
constexpr double kConnectTime = 0.005;      // until a stream has started
constexpr double kSettleTime = 10;          // from the end of the connection phase to the first replacement
constexpr double kObservationTime = 60;     // after the last replacement
constexpr double kMinRetryDelay = 0.05;     // of a client whose stream was ended or rejected
constexpr double kRetryDelaySpread = 0.45;  // of a client whose stream was ended, above the minimum
constexpr double kClientTimeout = 2;

Duration duration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string workerName(std::size_t number) { return "w" + std::to_string(number); }

std::size_t workerNumber(const std::string& name) {
  return static_cast<std::size_t>(std::atoi(name.c_str() + 1));
}

}  // namespace

Model::Model(const Options& options) : options_(options), engine_(options.seed) {
  for (std::size_t i = 0; i < options.workers; ++i) workers_.push_back({workerName(i), 0, HUGE_VAL, 0, {}});
  listedWorkers_ = options.workers;
  for (std::size_t i = 0; i < options.gateways; ++i) {
    Gateway gateway;
    gateway.loadBalancer = std::make_unique<LoadBalancer>(settingsOf(i), kStart);
    gateway.drainPlan = std::make_unique<stream::DrainPlan>(options.gatewayEndRate, i + 1);
    gateways_.push_back(std::move(gateway));
  }
  clients_.resize(options.streams);
  connectPhase_ = 1.5 * static_cast<double>(options.streams) /
                  std::max(1.0, options.workerRate * static_cast<double>(options.workers));
  for (Client& client : clients_) client.nextEventAt = drawUnit() * connectPhase_;
  sendEndpointList();
}

Settings Model::settingsOf(std::size_t gateway) const {
  ClassSettings streams;
  streams.name = "live";
  streams.latencyObjective = duration(kClientTimeout);
  streams.clientTimeout = duration(kClientTimeout);
  streams.idempotency = Idempotency::idempotent;
  Settings settings;
  settings.seed = options_.seed * 1000 + gateway;
  settings.gatewayCount = static_cast<std::uint32_t>(options_.gateways);
  settings.gatewayIndex = static_cast<std::uint32_t>(gateway);
  settings.classes = {streams};
  settings.maxAttempts = 3;
  settings.eventInterval = kTick;
  settings.warmUpTime = duration(options_.warmUpTime);
  settings.initialCapacityFraction = options_.initialCapacityFraction;
  settings.collapseWindow = duration(2);
  settings.hostStreamRate = options_.workerRate;
  settings.streamRetrySpread = duration(options_.retrySpread);
  return settings;
}

Time Model::time() const { return kStart + duration(now_); }

double Model::drawUnit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

void Model::run() {
  const double firstReplacement = connectPhase_ + kSettleTime;
  const auto replacementAt = [&](std::size_t worker) {
    return firstReplacement + static_cast<double>(worker) * options_.replacementInterval;
  };
  const double end = replacementAt(options_.workers) + kObservationTime;
  for (now_ = 0; now_ < end; now_ += seconds(kTick)) {
    if (replacedWorkers_ < options_.workers && now_ >= replacementAt(replacedWorkers_)) replaceNextWorker();
    deliverNotifications();
    step();
    if (now_ >= nextSampleAt_) takeSample();
  }
}

void Model::replaceNextWorker() {
  workers_[replacedWorkers_].drainsAt = now_;
  notifications_.push_back({now_ + kNotificationDelay, replacedWorkers_});
  notifications_.push_back({now_ + kReplacementDelay, workers_.size()});
  workers_.push_back(
      {workerName(workers_.size()), now_ + kReplacementDelay - kNotificationDelay, HUGE_VAL, 0, {}});
  ++replacedWorkers_;
}

void Model::deliverNotifications() {
  for (auto it = notifications_.begin(); it != notifications_.end();) {
    if (now_ < it->at) {
      ++it;
      continue;
    }
    const bool isReplacement = it->worker >= options_.workers;
    if (isReplacement) listedWorkers_ = std::max(listedWorkers_, it->worker + 1);
    else drain(it->worker);
    sendEndpointList();
    it = notifications_.erase(it);
  }
}

void Model::sendEndpointList() {
  std::vector<HostEntry> entries;
  entries.reserve(listedWorkers_);
  for (std::size_t i = 0; i < listedWorkers_; ++i) {
    const Worker& worker = workers_[i];
    HostEntry entry;
    entry.address = worker.name;
    entry.zone = "a";
    entry.machineType = "std";
    const bool drains = worker.drainsAt + kNotificationDelay <= now_;
    entry.phase = drains ? HostPhase::draining : HostPhase::active;
    if (worker.startedAt > 0) entry.startedAt = kStart + duration(worker.startedAt);
    entries.push_back(entry);
  }
  for (Gateway& gateway : gateways_) {
    gateway.loadBalancer->onHostListUpdate(time(), HostListUpdate::complete, entries);
    carryOutActions(gateway);
  }
}

// Each gateway schedules the end of its streams at the worker.
void Model::drain(std::size_t worker) {
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    std::vector<std::uint64_t> streams;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const Client& client = clients_[i];
      if (client.state == Client::State::connected && client.worker == worker && client.gateway == g)
        streams.push_back(i + 1);
    }
    gateways_[g].drainPlan->add(streams, time(), duration(options_.spreadsDrain ? options_.drainTime : 0));
  }
}

void Model::step() {
  for (Gateway& gateway : gateways_) {
    gateway.loadBalancer->onTimer(time());
    carryOutActions(gateway);
    for (const std::uint64_t id : gateway.drainPlan->due(time())) endStream(clients_[id - 1]);
  }
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    Client& client = clients_[i];
    if (now_ < client.nextEventAt) continue;
    if (client.state == Client::State::waiting) requestStream(i);
    else if (client.state == Client::State::connecting) beginStream(client);
  }
}

// Uses a random gateway, like a front end that distributes connections at random.
void Model::requestStream(std::size_t clientIndex) {
  Client& client = clients_[clientIndex];
  client.gateway = engine_() % gateways_.size();
  Gateway& gateway = gateways_[client.gateway];
  Request request;
  request.id = client.request = ++lastRequest_;
  request.classIndex = 0;
  request.timeLeft = duration(kClientTimeout);
  request.isStream = true;
  gateway.clients[request.id] = clientIndex;
  if (client.nextEventAt > 0) reconnectingSince_.try_emplace(clientIndex, now_);
  gateway.loadBalancer->onRequest(time(), request);
  carryOutActions(gateway);
}

void Model::carryOutActions(Gateway& gateway) {
  const std::vector<Action> actions = std::exchange(gateway.loadBalancer->actions(), {});
  for (const Action& action : actions) {
    const auto it = gateway.clients.find(action.request);
    if (it == gateway.clients.end()) continue;
    Client& client = clients_[it->second];
    if (action.kind == ActionKind::sendAttempt) {
      client.state = Client::State::connecting;
      client.nextEventAt = now_ + kConnectTime;
      client.attempt = action.attempt;
      client.host = action.host;
      client.worker = workerNumber(gateway.loadBalancer->hostAddress(action.host));
    } else if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) {
      ++rejections_;
      client.state = Client::State::waiting;
      client.nextEventAt = now_ + std::max(kMinRetryDelay, seconds(action.duration));
      gateway.clients.erase(it);
    }
  }
}

void Model::beginStream(Client& client) {
  client.state = Client::State::connected;
  Worker& worker = workers_[client.worker];
  ++worker.openStreams;
  worker.streamStarts.push_back(now_);
  Gateway& gateway = gateways_[client.gateway];
  gateway.loadBalancer->onResponseStarted(time(), client.request, client.attempt);
  const std::size_t index = gateway.clients.at(client.request);
  if (const auto since = reconnectingSince_.find(index); since != reconnectingSince_.end()) {
    if (now_ > connectPhase_ + kSettleTime)
      longestReconnect_ = std::max(longestReconnect_, now_ - since->second);
    reconnectingSince_.erase(since);
  }
  if (worker.drainsAt + kNotificationDelay <= now_)
    gateway.drainPlan->add({index + 1}, time(), duration(options_.drainTime));
}

void Model::endStream(Client& client) {
  if (client.state != Client::State::connected) return;
  --workers_[client.worker].openStreams;
  Gateway& gateway = gateways_[client.gateway];
  gateway.clients.erase(client.request);
  AttemptResult result;
  result.request = client.request;
  result.attempt = client.attempt;
  result.host = client.host;
  result.requestEnded = true;
  gateway.loadBalancer->onAttemptResult(time(), result);
  client.state = Client::State::waiting;
  client.nextEventAt = now_ + kMinRetryDelay + kRetryDelaySpread * drawUnit();
}

void Model::takeSample() {
  Sample sample;
  sample.at = now_;
  for (const Worker& worker : workers_) sample.openStreams.push_back(worker.openStreams);
  for (const Client& client : clients_)
    sample.clientsWithoutStream += client.state != Client::State::connected;
  sample.rejections = rejections_;
  samples_.push_back(std::move(sample));
  nextSampleAt_ += 1;
}

}  // namespace finchstile::reconnect_surge
