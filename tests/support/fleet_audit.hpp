// The four rules, checked on what the gateways of a fleet did. Shares nothing with the module: it sees
// requests come, attempts go out and end, answers, and what each gateway was told of hosts.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::testing {

class FleetAudit {
 public:
  enum class Answer { served, refused, failed };

  void asked(std::uint32_t gateway, RequestId id, const ClassSettings& of, Time deadline) {
    open_[id] = {gateway, of.idempotency, of.deduplicationScope, of.deduplicationWindow, deadline, {},
                 false,   false};
  }
  void sent(std::uint32_t gateway, RequestId id, std::uint32_t attempt, const HostEntry& host, Time now) {
    const auto it = open_.find(id);
    if (it == open_.end()) return note("1: " + name(id) + " sent, and never asked for");
    Request& r = it->second;
    if (r.answered) note("1: " + name(id) + " sent after its answer");
    for (const Try& t : r.tries) {
      if (!t.out && !t.mayHaveRun) continue;
      if (r.effect == Idempotency::idempotent) {
        if (t.out && !t.calledOff) note("2: " + name(id) + " out twice at once");
        continue;
      }
      if (t.out) note("2: " + name(id) + " sent while an attempt is out");
      else if (r.effect == Idempotency::nonIdempotent)
        note("2: " + name(id) + " sent again, and it may have run");
      else if (now > t.at + r.window || (r.group == DeduplicationScope::zone && t.zone != host.zone) ||
               (r.group == DeduplicationScope::cell && t.cell != host.cell))
        note("2: " + name(id) + " sent again outside its group or window");
    }
    r.tries.push_back({attempt, now, host.zone, host.cell, true, true, false});
    const auto told = told_.find({gateway, host.address});
    if (told != told_.end() && told->second.phase != HostPhase::active && now > told->second.at + kDrainGrace)
      note("3: " + name(id) + " sent to " + host.address + ", which the gateway knew to drain");
  }
  void calledOff(RequestId id, std::uint32_t attempt) {
    if (Try* t = find(id, attempt)) t->calledOff = true;
  }
  void over(RequestId id, std::uint32_t attempt, Outcome outcome) {
    Try* t = find(id, attempt);
    if (!t) return;
    t->out = false;
    t->mayHaveRun = mayHaveRun(outcome);
  }
  void answered(RequestId id, Answer how, Time now) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    Request& r = it->second;
    if (r.excused) return;
    if (std::exchange(r.answered, true)) return note("1: " + name(id) + " answered twice");
    if (now > r.deadline + kAnswerSlack) note("1: " + name(id) + " answered too late");
    if (how != Answer::refused || r.effect == Idempotency::idempotent) return;
    for (const Try& t : r.tries) {
      const bool dropped =
          r.effect == Idempotency::idempotentWithKey && r.group == DeduplicationScope::all && !t.out;
      if ((t.out || t.mayHaveRun) && !dropped) note("2: " + name(id) + " refused, and it may have run");
    }
  }
  // What a gateway has been told of a host. A new process knows only what it is told.
  void told(std::uint32_t gateway, const HostEntry& e, Time now) {
    Word& w = told_[{gateway, e.address}];
    if (w.phase != e.phase || w.at == Time{}) w.at = now;
    w.phase = e.phase;
    w.started = e.startedAt;
  }
  // The process has gone with all that it held: that is its clients' to repeat.
  void gone(std::uint32_t gateway) {
    for (auto& [id, r] : open_)
      if (r.gateway == gateway && !r.answered) r.excused = true;
    for (auto it = told_.lower_bound({gateway, ""}); it != told_.end() && it->first.first == gateway;)
      it = told_.erase(it);
  }
  // Work was sent to a cold host that can do so much in a second now. How many times what it can do was sent
  // to it in the window that ends now.
  double sentCold(std::uint32_t gateway, const HostEntry& host, double work, double capacity, Time now) {
    const auto word = told_.find({gateway, host.address});
    const bool told = word != told_.end() && word->second.phase == HostPhase::active &&
                      word->second.started == host.startedAt;
    Cold& c = cold_[host.address];
    c.sent.push_back({now, work, told});
    c.sum += work;
    c.known += told ? work : 0;
    while (c.sent.front().at < now - kFallWindow) {
      c.sum -= c.sent.front().work;
      c.known -= c.sent.front().told ? c.sent.front().work : 0;
      c.sent.pop_front();
    }
    const double window = std::chrono::duration<double>(kFallWindow).count();
    const double times = c.sum / (capacity * window);
    // The same by calls: so many of mean work as the window allows, and two of its roots and two more for
    // chance.
    if (meanWork > 0 && c.known > c.sum * 2 / 3) {
      const double allowed = kFallMultiple * capacity * window / meanWork;
      coldExcess =
          std::max(coldExcess, static_cast<double>(c.sent.size()) - (allowed + 2 * std::sqrt(allowed) + 2));
      coldPart = std::max(coldPart, static_cast<double>(c.sent.size()) / allowed);
    }
    if (times > kFallMultiple && c.known > c.sum * 2 / 3 && !std::exchange(c.fell, true))
      note("4: " + host.address + " was pushed over while cold");
    return times;
  }
  double meanWork = 0;       // seconds of a call on a warm host; 0: calls are not counted
  double coldExcess = -1e9;  // the worst window: calls to a cold host beyond what is allowed and chance
  double coldPart = 0;       // the worst window: calls to a cold host, as a part of what is allowed
  // No request may be open past its time.
  void close(Time now) {
    for (const auto& [id, r] : open_)
      if (!r.answered && !r.excused && now > r.deadline + kAnswerSlack)
        note("1: " + name(id) + " never answered");
  }

  const std::vector<std::string>& breaks() const { return breaks_; }
  std::size_t broken(char rule) const {
    std::size_t n = 0;
    for (const std::string& b : breaks_) n += b[0] == rule;
    return n;
  }

 private:
  struct Try {
    std::uint32_t number;
    Time at;
    std::string zone;
    std::int64_t cell;
    bool out, mayHaveRun, calledOff;
  };
  struct Request {
    std::uint32_t gateway;
    Idempotency effect;
    DeduplicationScope group;
    Duration window;
    Time deadline;
    std::vector<Try> tries;
    bool answered, excused;
  };
  struct Word {
    HostPhase phase = HostPhase::active;
    Time at{};       // when it was told of that phase first
    Time started{};  // the start of the process that it was told of
  };
  struct ColdSend {
    Time at;
    double work;
    bool told;
  };
  struct Cold {
    std::deque<ColdSend> sent;
    double sum = 0, known = 0;
    bool fell = false;
  };

  static constexpr Duration kAnswerSlack = std::chrono::milliseconds(50);  // past a client's time
  static constexpr Duration kDrainGrace = std::chrono::milliseconds(500);
  static constexpr double kFallMultiple = 3;                        // of what a cold host can do,
  static constexpr Duration kFallWindow = std::chrono::seconds(2);  // for this long

  static std::string name(RequestId id) { return "request " + std::to_string(id); }
  Try* find(RequestId id, std::uint32_t attempt) {
    const auto it = open_.find(id);
    if (it == open_.end()) return nullptr;
    for (Try& t : it->second.tries)
      if (t.number == attempt) return &t;
    return nullptr;
  }
  void note(std::string what) { breaks_.push_back(std::move(what)); }

  std::map<RequestId, Request> open_;
  std::map<std::pair<std::uint32_t, std::string>, Word> told_;
  std::map<std::string, Cold> cold_;
  std::vector<std::string> breaks_;
};

}  // namespace finchstile::load_balancing::testing
