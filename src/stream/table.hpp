// The streams that are held: their relays, when each is looked at, and how those of a draining host are
// brought to an end. Bounded by the module's bound on streams; one timer for all.
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
#include "stream/account.hpp"
#include "stream/buffers.hpp"
#include "stream/deadlines.hpp"
#include "stream/drain_plan.hpp"
#include "stream/relay.hpp"
#include "stream/settings.hpp"

namespace finchstile::stream {

struct Begun {  // a stream as it begins
  load_balancing::RequestId request = 0;
  std::uint32_t attempt = 0;
  load_balancing::HostId host = load_balancing::kNone;
  std::string name, hostName, from;
  Time since{};  // when it was taken
};

class StreamTable : RelayEvents {
 public:
  using Say = std::function<void(std::string_view line)>;
  StreamTable(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
              std::size_t most, std::uint64_t seed, ProtocolHandlerCallbacks& gateway, Say say);
  ~StreamTable() override;

  // Tells the module that it has begun. Counted as taken before.
  void take(const Begun& begun, RelayParts&& parts);
  // One that did not begin.
  void ended(const Begun& begun, const Ending& how);
  void onHost(load_balancing::HostId host, load_balancing::HostPhase phase);
  void onDrain(Time until);

  bool idle() const { return streams_.empty(); }
  std::size_t size() const { return streams_.size(); }
  std::size_t most() const { return most_; }
  const BufferBudget& buffers() const { return budget_; }
  const DrainPlan& drains() const { return plan_; }
  StreamAccount& account() { return account_; }
  const StreamAccount& account() const { return account_; }
  std::string exposition() const { return account_.exposition(budget_.held()); }

 private:
  struct Held {
    Begun begun;
    std::shared_ptr<Relay> relay;
    Time at{};
  };
  void onRelayOver(StreamId id, const Ending& ending) override;
  void onRelayDue(StreamId id, Time due) override;
  void arm();
  void onTimer();

  const Clock& clock_;
  const StreamSettings settings_;
  const std::size_t most_;
  ProtocolHandlerCallbacks& gateway_;
  const Say say_;
  BufferBudget budget_;
  StreamAccount account_;
  Deadlines deadlines_;
  DrainPlan plan_;
  boost::asio::steady_timer timer_;
  Time armed_ = Time::max();
  std::unordered_map<StreamId, Held> streams_;
  std::unordered_map<load_balancing::HostId, std::unordered_set<StreamId>> byHost_;
  StreamId last_ = 0;
  bool draining_ = false;
};

}  // namespace finchstile::stream
