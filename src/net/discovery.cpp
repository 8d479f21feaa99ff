#include "net/discovery.hpp"

#include <algorithm>
#include <exception>
#include <string>
#include <utility>

namespace finchstile {
namespace {

constexpr std::size_t kListMost = std::size_t{4} * 1024 * 1024;
constexpr unsigned kOk = 200;
constexpr std::int64_t kNoIndex = -1;  // the whole list is asked for

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& at, Limits limits,
                     std::int64_t index, DiscoveryCallbacks& events)
    : clock_(clock), at_(at), limits_(limits), index_(index), events_(events), watch_(io, kListMost, *this) {}

void Discovery::watch() {
  if (std::exchange(watching_, true)) return;
  ask();
}

// Danger: a version of one discovery means nothing to another, so ours is of no use there. But the
// configuration names a discovery together with a list and its version, as it does at a start. The changes
// since cost a discovery that all gateways turn to at once a quarter of what the whole list does.
void Discovery::move(const tcp::endpoint& at, HostList known) {
  stop();
  at_ = at;
  const bool usable = known.version >= 0 && !known.hosts.empty();  // danger: changes to nothing are no list
  index_ = usable ? known.version : kNoIndex;
  base_ = usable ? std::optional(std::move(known)) : std::nullopt;
  soon_ = true;  // no news is a word too: that the list which came with the move holds
  watch();
}

void Discovery::stop() {
  watching_ = false;
  watch_.stop();
}

void Discovery::ask() {
  std::string target = "/registry/instances";
  Duration most = limits_.silence;
  if (index_ >= 0) {
    const Duration wait = soon_ ? std::min(limits_.wait, limits_.soon) : limits_.wait;
    target += "?since=" + std::to_string(index_) + "&timeout_ms=" +
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    most += wait;
  }
  watch_.call(at_, target, {most, {}, {}});
}

void Discovery::onWatchResponse(WatchResponse&& answer) {
  if (answer.status != kOk) return lost();
  HostList list;
  try {
    list = parseHostList(answer.body, clock_);
  } catch (const std::exception&) {
    return lost();
  }
  // Danger: these may be changes to a list that we do not have: we asked for a whole one, or it has begun to
  // count anew, or is another one than our version is from.
  if (!list.complete && (index_ < 0 || list.version < index_)) {
    index_ = kNoIndex;
    base_.reset();
    return lost();
  }
  index_ = list.version;
  soon_ = false;
  if (const auto base = std::exchange(base_, std::nullopt); base && !list.complete)
    list = applyChanges(*base, std::move(list));
  // The next call goes out first: a watch lasts only as long as calls follow one another closely.
  ask();
  events_.onHostList(std::move(list));
}

void Discovery::onWatchLost() { lost(); }

void Discovery::lost() {
  stop();
  soon_ = true;
  events_.onDiscoveryLost();
}

}  // namespace finchstile
