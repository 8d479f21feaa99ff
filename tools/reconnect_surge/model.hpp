// Simulation of a rolling deploy with long-lived streams: gateways with the real decision module and drain
// plan, workers that are replaced one after another, and clients that reconnect when their stream is ended.
// Time is simulated, there is no I/O, and a run is determined by its seed.
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

// Times are in seconds, rates in streams per second.
struct Options {
  std::size_t workers = 6, gateways = 2, streams = 2000;
  double workerRate = 20;           // limit for streams started at one worker; 0: no limit
  double drainTime = 20;            // within which the streams of a draining worker are ended
  double gatewayEndRate = 100;      // streams ended by one gateway; 0: no limit
  double replacementInterval = 25;  // between the drains of two workers
  double retrySpread = 10;          // over which retries of rejected clients are spread
  double warmUpTime = 9;
  double initialCapacityFraction = 0.32;
  bool spreadsDrain = true;  // false: all streams of a draining worker are ended at the same time
  std::uint64_t seed = 1;
};

inline constexpr double kNotificationDelay =
    1;                                      // from a change of a worker to the endpoint list that shows it
inline constexpr double kDrainGrace = 0.5;  // from that list until no stream may start at the worker

struct Worker {
  std::string name;
  double startedAt = 0;  // 0: long before the run
  double drainsAt = HUGE_VAL;
  std::size_t openStreams = 0;
  std::vector<double> streamStarts;  // in ascending order
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
  const std::vector<Sample>& samples() const { return samples_; }  // one per second
  std::size_t rejections() const { return rejections_; }
  double longestReconnect() const { return longestReconnect_; }  // after the initial connection phase

 private:
  struct Client {
    enum class State { waiting, connecting, connected };
    State state = State::waiting;
    double nextEventAt = 0;  // when it requests a stream, or when its stream starts
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
  double connectPhase_ = 0;  // duration over which the first connections of all clients are spread
  double nextSampleAt_ = 0;
  double longestReconnect_ = 0;
};

}  // namespace finchstile::reconnect_surge
