// Queue of actions for the embedding proxy, in the order in which they must be carried out.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

class ActionQueue {
 public:
  Action& push(ActionKind kind, RequestId request = 0, std::uint32_t attempt = 0, HostId host = kNone,
               Duration duration = {}) {
    actions_.push_back({kind, request, attempt, host, duration, false, {}});
    return actions_.back();
  }
  void pushPeerMessage(std::uint32_t gateway, std::string bytes) {
    actions_.push_back({ActionKind::sendPeerMessage, 0, gateway, kNone, {}, false, std::move(bytes)});
  }

  // Log lines are rate limited. Callers check this before they build a line.
  bool mayLog(Time now) const { return now - lastLogAt_ >= kMinLogInterval || lastLogAt_ == Time{}; }
  void log(Time now, std::string text) {
    actions_.push_back({ActionKind::log, 0, 0, kNone, {}, false, std::move(text)});
    lastLogAt_ = now;
  }

  std::vector<Action>& actions() { return actions_; }

 private:
  static constexpr Duration kMinLogInterval = std::chrono::seconds(1);
  std::vector<Action> actions_;
  Time lastLogAt_{};
};

}  // namespace finchstile::load_balancing
