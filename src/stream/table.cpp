#include "stream/table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace finchstile::stream {
namespace {

using load_balancing::HostId;
using load_balancing::HostPhase;

// Of the time that the gateway has for its own end, what is kept for the last streams to be closed, and to
// answer that; half of the time at the most.
constexpr Duration kLastWords = std::chrono::milliseconds(2200);
// A timer that is due sooner than this fires with the one before it.
constexpr Duration kLookLeast = std::chrono::milliseconds(1);

}  // namespace

StreamTable::StreamTable(boost::asio::io_context& io, const Clock& clock, const StreamSettings& settings,
                         std::size_t most, std::uint64_t seed, ProtocolHandlerCallbacks& gateway, Say say)
    : clock_(clock),
      settings_(settings),
      most_(most),
      gateway_(gateway),
      say_(std::move(say)),
      budget_(std::max(settings.bufferBytes, minBufferBytes(most)), most),
      account_(settings.log),
      plan_(settings.drainRate, seed),
      timer_(io) {}

StreamTable::~StreamTable() {
  for (auto& [id, held] : streams_) held.relay->abandon();
}

void StreamTable::take(const Begun& begun, RelayParts&& parts) {
  const StreamId id = ++last_;
  const Time now = clock_.now();
  Held& held = streams_[id];
  held.begun = begun;
  held.at = now;
  held.relay =
      std::make_shared<Relay>(id, std::move(parts), budget_, clock_, static_cast<RelayEvents&>(*this));
  byHost_[begun.host].insert(id);
  account_.onBegun(begun.name);
  held.relay->start();
  gateway_.attemptEstablished(begun.request, begun.attempt);
  // Begun in the moment in which its host, or the gateway, began to drain: it goes with the others.
  if (draining_ || gateway_.hostPhase(begun.host) != HostPhase::active)
    plan_.add({id}, now, settings_.drainWithin);
  arm();
}

void StreamTable::ended(const Begun& begun, const Ending& how) {
  const Time now = clock_.now();
  const std::string line = account_.onEnded(
      begun.name, {begun.name, begun.hostName, begun.from, how, now - begun.since, 0, 0}, false, now);
  if (!line.empty()) say_(line);
}

void StreamTable::onRelayOver(StreamId id, const Ending& ending) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const Held held = std::move(it->second);
  streams_.erase(it);
  deadlines_.erase(id);
  plan_.erase(id);
  if (const auto host = byHost_.find(held.begun.host); host != byHost_.end()) {
    host->second.erase(id);
    if (host->second.empty()) byHost_.erase(host);
  }
  const Time now = clock_.now();
  const Begun& b = held.begun;
  const std::string line =
      account_.onEnded(b.name,
                       {b.name, b.hostName, b.from, ending, now - b.since, held.relay->passed(Side::client),
                        held.relay->passed(Side::host)},
                       true, now);
  if (!line.empty()) say_(line);
  gateway_.attemptEnded(b.request, b.attempt, b.host, outcomeOf(ending), held.at - b.since, true);
}

void StreamTable::onRelayDue(StreamId id, Time due) {
  deadlines_.atLatest(id, due);
  arm();
}

// Put back in before its streams were closed, a host keeps those that are left.
void StreamTable::onHost(HostId host, HostPhase phase) {
  const auto it = byHost_.find(host);
  if (it == byHost_.end()) return;
  if (phase == HostPhase::active && draining_) return;
  std::vector<StreamId> all(it->second.begin(), it->second.end());
  std::sort(all.begin(), all.end());  // not by the hash's order: the same seed gives the same plan
  if (phase == HostPhase::active)
    for (const StreamId id : all) plan_.erase(id);
  else plan_.add(all, clock_.now(), settings_.drainWithin);
  arm();
}

void StreamTable::onDrain(Time until) {
  const Time now = clock_.now();
  const Time last = std::max(now, until - std::min(kLastWords, (until - now) / 2));
  draining_ = true;
  std::vector<StreamId> all;
  for (const auto& [id, held] : streams_) all.push_back(id);
  std::sort(all.begin(), all.end());
  plan_.endsAt(last);
  plan_.add(all, now, std::min(settings_.drainWithin, last - now));
  arm();
}

void StreamTable::arm() {
  const Time now = clock_.now();
  const Time want = std::max(std::min(deadlines_.next(), plan_.next(now)), now + kLookLeast);
  if (want >= armed_) return;  // it is asked again then
  armed_ = want;
  if (want == Time::max()) return;
  timer_.expires_at(clock_.steady(want));
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) onTimer();
  });
}

void StreamTable::onTimer() {
  armed_ = Time::max();
  const Time now = clock_.now();
  for (const StreamId id : plan_.due(now))
    if (const auto it = streams_.find(id); it != streams_.end()) {
      const std::shared_ptr<Relay> relay = it->second.relay;  // it may go with the call
      relay->close(Why::drain);
    }
  std::vector<StreamId> due;
  while (const StreamId id = deadlines_.pop(now)) due.push_back(id);
  for (const StreamId id : due)
    if (const auto it = streams_.find(id); it != streams_.end()) {
      const std::shared_ptr<Relay> relay = it->second.relay;
      relay->check(now);
    }
  arm();
}

}  // namespace finchstile::stream
