// A model of a rolling deploy under long-held streams: gateways with the real decision module and drain plan,
// workers that are replaced one after another, and clients that reconnect when their stream is ended.
// Simulated time, no I/O, and the same run for the same seed.
#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "stream/drain_plan.hpp"

namespace finchstile::reconnect_surge {

// Times are in seconds, rates in streams a second.
struct Options {
  std::size_t workers = 6, gateways = 2, streams = 2000;
  double workerRate = 20;           // streams that may begin at one worker; 0: no bound
  double drainTime = 20;            // in which a draining worker's streams are ended
  double gatewayEndRate = 100;      // streams that one gateway ends; 0: no bound
  double replacementInterval = 25;  // from one worker's drain to the next one's
  double retrySpread = 10;          // over which rejected clients are told to come back
  double warmUpTime = 9;
  double initialCapacityFraction = 0.32;
  bool spreadsDrain = true;  // else all streams of a draining worker are ended at once
  std::uint64_t seed = 1;
};

inline constexpr double kNotificationDelay = 1;  // from a worker's change to the endpoint list that has it
inline constexpr double kDrainGrace = 0.5;       // from that list on, until nothing new may begin there

struct Worker {
  std::string name;
  double startedAt = 0;  // 0: long ago
  double drainsAt = HUGE_VAL;
  std::size_t openStreams = 0;
  std::vector<double> streamStarts;  // times, in order
};

struct Sample {
  double at = 0;
  std::vector<std::size_t> openStreams;  // by worker
  std::size_t clientsWithoutStream = 0;
  std::size_t rejections = 0;  // since the start
};

class Model {
 public:
  explicit Model(const Options& options);
  void run();

  const std::vector<Worker>& workers() const { return workers_; }
  const std::vector<Sample>& samples() const { return samples_; }  // one a second
  std::size_t rejections() const { return rejections_; }
  double longestReconnect() const {
    return longestReconnect_;
  }  // once all streams were open for the first time

 private:
  struct Client {
    enum class State { waiting, connecting, connected };
    State state = State::waiting;
    double nextEventAt = 0;  // when it asks for a stream, or when its stream begins
    std::size_t gateway = 0, worker = 0;
    load_balancing::RequestId request = 0;
    std::uint32_t attempt = 0;
    load_balancing::HostId host = load_balancing::kNone;
  };
  struct Gateway {
    std::unique_ptr<load_balancing::LoadBalancer> loadBalancer;
    std::unique_ptr<stream::DrainPlan> drainPlan;
    std::map<load_balancing::RequestId, std::size_t> clients;  // by request, index into clients_
  };
  struct Notification {  // a change of the endpoint list
    double at = 0;
    std::size_t worker = 0;
  };

  load_balancing::Settings settingsOf(std::size_t gateway) const;
  load_balancing::Time time() const;
  double drawUnit();
  void replaceNextWorker();
  void deliverNotifications();
  void sendEndpointList();
  void drain(std::size_t worker);
  void step();
  void requestStream(std::size_t client);
  void carryOutActions(Gateway& gateway);
  void beginStream(Client& client);
  void endStream(Client& client);
  void takeSample();

  const Options options_;
  std::mt19937_64 engine_;
  std::vector<Worker> workers_;
  std::vector<Gateway> gateways_;
  std::vector<Client> clients_;
  std::map<std::size_t, double> reconnectingSince_;  // by client
  std::vector<Notification> notifications_;
  std::vector<Sample> samples_;
  load_balancing::RequestId lastRequest_ = 0;
  std::size_t listedWorkers_ = 0;
  std::size_t replacedWorkers_ = 0;
  std::size_t rejections_ = 0;
  double now_ = 0;
  double connectPhase_ = 0;  // in which all clients come for the first time
  double nextSampleAt_ = 0;
  double longestReconnect_ = 0;
};

}  // namespace finchstile::reconnect_surge
