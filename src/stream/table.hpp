// Table of established streams: their relays, deadlines and drain schedule. Bounded by the stream limit of
// the decision module; one timer serves all streams.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "net/protocol_handler.hpp"
#include "stream/buffers.hpp"
#include "stream/deadlines.hpp"
#include "stream/drain_plan.hpp"
#include "stream/relay.hpp"
#include "stream/settings.hpp"
#include "stream/statistics.hpp"

namespace finchstile::stream {

struct StreamInfo {  // Identity of a stream: its request, attempt, host and client address.
  load_balancing::RequestId request = 0;
  std::uint32_t attempt = 0;
  load_balancing::HostId host = load_balancing::kNone;
  std::string name, hostName, from;
  Time since{};  // time of acceptance
};

class StreamTable : RelayEvents {
 public:
  using LogSink = std::function<void(std::string_view line)>;
  StreamTable(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
              std::size_t most, std::uint64_t seed, ProtocolHandlerCallbacks& gateway, LogSink say);
  ~StreamTable() override;

  // Starts relaying and reports the attempt as established. The stream must have been counted with
  // StreamStatistics::onAccepted.
  void addEstablished(const StreamInfo& info, RelayParts&& parts);
  // Records the ending of a stream that was not established.
  void onNotEstablished(const StreamInfo& info, const Ending& how);
  void updateHostPhase(load_balancing::HostId host, load_balancing::HostPhase phase);
  void onDrain(Time until);

  bool idle() const { return streams_.empty(); }
  std::size_t size() const { return streams_.size(); }
  std::size_t most() const { return most_; }
  const BufferBudget& buffers() const { return budget_; }
  const DrainPlan& drains() const { return plan_; }
  StreamStatistics& statistics() { return statistics_; }
  const StreamStatistics& statistics() const { return statistics_; }
  std::string exposition() const { return statistics_.exposition(budget_.held()); }

 private:
  struct Entry {
    StreamInfo info;
    std::shared_ptr<Relay> relay;
    Time establishedAt{};
  };
  void onRelayOver(StreamId id, const Ending& ending) override;
  void onRelayDue(StreamId id, Time due) override;
  void armTimer();
  void onTimer();

  const Clock& clock_;
  const StreamSettings settings_;
  const std::size_t most_;
  ProtocolHandlerCallbacks& gateway_;
  const LogSink logSink_;
  BufferBudget budget_;
  StreamStatistics statistics_;
  Deadlines deadlines_;
  DrainPlan plan_;
  boost::asio::steady_timer timer_;
  Time timerExpiry_ = Time::max();
  std::unordered_map<StreamId, Entry> streams_;
  std::unordered_map<load_balancing::HostId, std::unordered_set<StreamId>> byHost_;
  StreamId lastId_ = 0;
  bool draining_ = false;
};

}  // namespace finchstile::stream
