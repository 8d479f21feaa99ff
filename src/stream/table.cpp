#include "stream/table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace finchstile::stream {
namespace {

using load_balancing::HostId;
using load_balancing::HostPhase;

// Part of the drain time of the gateway reserved for the close handshakes of the last streams; at most half
// of the drain time.
constexpr Duration kCloseReserve = std::chrono::milliseconds(2200);
// Minimum timer interval, so that deadlines close together are handled by one expiry.
constexpr Duration kMinTimerInterval = std::chrono::milliseconds(1);

}  // namespace

StreamTable::StreamTable(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
                         std::size_t most, std::uint64_t seed, ProtocolHandlerCallbacks& gateway, LogSink say)
    : clock_(clock),
      settings_(settings),
      most_(most),
      gateway_(gateway),
      logSink_(std::move(say)),
      budget_(std::max(settings.bufferBytes, minBufferBytes(most)), most),
      statistics_(settings.log),
      plan_(settings.maxDrainRate, seed),
      timer_(io) {}

StreamTable::~StreamTable() {
  for (auto& [id, entry] : streams_) entry.relay->abandon();
}

void StreamTable::addEstablished(const StreamInfo& info, RelayParts&& parts) {
  const StreamId id = ++lastId_;
  const Time now = clock_.now();
  Entry& entry = streams_[id];
  entry.info = info;
  entry.establishedAt = now;
  entry.relay =
      std::make_shared<Relay>(id, std::move(parts), budget_, clock_, static_cast<RelayEvents&>(*this));
  byHost_[info.host].insert(id);
  statistics_.onBegun(info.name);
  entry.relay->start();
  gateway_.attemptEstablished(info.request, info.attempt);
  // The host or the gateway may have started draining while the stream was established.
  if (draining_ || gateway_.hostPhase(info.host) != HostPhase::active)
    plan_.add({id}, now, settings_.drainInterval);
  armTimer();
}

void StreamTable::onNotEstablished(const StreamInfo& info, const Ending& how) {
  const Time now = clock_.now();
  const std::string line = statistics_.onEnded(
      info.name, {info.name, info.hostName, info.from, how, now - info.since, 0, 0}, false, now);
  if (!line.empty()) logSink_(line);
}

void StreamTable::onRelayOver(StreamId id, const Ending& ending) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const Entry entry = std::move(it->second);
  streams_.erase(it);
  deadlines_.erase(id);
  plan_.erase(id);
  if (const auto host = byHost_.find(entry.info.host); host != byHost_.end()) {
    host->second.erase(id);
    if (host->second.empty()) byHost_.erase(host);
  }
  const Time now = clock_.now();
  const StreamInfo& b = entry.info;
  const std::string line =
      statistics_.onEnded(b.name,
                          {b.name, b.hostName, b.from, ending, now - b.since,
                           entry.relay->passed(Side::client), entry.relay->passed(Side::host)},
                          true, now);
  if (!line.empty()) logSink_(line);
  gateway_.attemptEnded(b.request, b.attempt, b.host, outcomeOf(ending), entry.establishedAt - b.since, true);
}

void StreamTable::onRelayDue(StreamId id, Time due) {
  deadlines_.setNoLaterThan(id, due);
  armTimer();
}

// Reacts to a phase change of a host. A host that becomes active again before its streams were closed keeps
// the remaining ones.
void StreamTable::updateHostPhase(HostId host, HostPhase phase) {
  const auto it = byHost_.find(host);
  if (it == byHost_.end()) return;
  if (phase == HostPhase::active && draining_) return;
  std::vector<StreamId> all(it->second.begin(), it->second.end());
  std::sort(all.begin(),
            all.end());  // independent of hash order, so that a seed always gives the same schedule
  if (phase == HostPhase::active)
    for (const StreamId id : all) plan_.erase(id);
  else plan_.add(all, clock_.now(), settings_.drainInterval);
  armTimer();
}

void StreamTable::onDrain(Time until) {
  const Time now = clock_.now();
  const Time last = std::max(now, until - std::min(kCloseReserve, (until - now) / 2));
  draining_ = true;
  std::vector<StreamId> all;
  for (const auto& [id, entry] : streams_) all.push_back(id);
  std::sort(all.begin(), all.end());
  plan_.endsAt(last);
  plan_.add(all, now, std::min(settings_.drainInterval, last - now));
  armTimer();
}

void StreamTable::armTimer() {
  const Time now = clock_.now();
  const Time wakeAt = std::max(std::min(deadlines_.next(), plan_.next(now)), now + kMinTimerInterval);
  if (wakeAt >= timerExpiry_) return;  // the pending expiry rearms the timer
  timerExpiry_ = wakeAt;
  if (wakeAt == Time::max()) return;
  timer_.expires_at(clock_.steady(wakeAt));
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) onTimer();
  });
}

void StreamTable::onTimer() {
  timerExpiry_ = Time::max();
  const Time now = clock_.now();
  for (const StreamId id : plan_.due(now))
    if (const auto it = streams_.find(id); it != streams_.end()) {
      const std::shared_ptr<Relay> relay = it->second.relay;  // close() may remove the entry
      relay->close(EndReason::drain);
    }
  std::vector<StreamId> due;
  while (const StreamId id = deadlines_.pop(now)) due.push_back(id);
  for (const StreamId id : due)
    if (const auto it = streams_.find(id); it != streams_.end()) {
      const std::shared_ptr<Relay> relay = it->second.relay;
      relay->check(now);
    }
  armTimer();
}

}  // namespace finchstile::stream
