// Checks the recorded events of a fleet against the four rules that every gateway must keep: 1, each request
// ends once and in time; 2, no effect takes place twice; 3, nothing is sent to draining hosts; 4, warming
// hosts are not overloaded. Shares no logic with the decision module: its inputs are requests, attempts,
// answers and published hosts.
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
  enum class Answer { served, rejected, failed };

  void onRequest(std::uint32_t gateway, RequestId id, const ClassSettings& settings, Time deadline) {
    requests_[id] = {gateway,
                     settings.idempotency,
                     settings.deduplicationScope,
                     settings.deduplicationWindow,
                     deadline,
                     {},
                     false,
                     false};
  }
  void onSend(std::uint32_t gateway, RequestId id, std::uint32_t attempt, const HostEntry& host, Time now) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return report("1: " + name(id) + " sent without a request");
    Request& r = it->second;
    if (r.isAnswered) report("1: " + name(id) + " sent after its answer");
    for (const Attempt& t : r.attempts) {
      if (!t.isPending && !t.mayHaveRun) continue;
      if (r.idempotency == Idempotency::idempotent) {
        if (t.isPending && !t.isCancelled) report("2: " + name(id) + " pending twice at once");
        continue;
      }
      if (t.isPending) report("2: " + name(id) + " sent while an attempt is pending");
      else if (r.idempotency == Idempotency::nonIdempotent)
        report("2: " + name(id) + " sent again, and it may have run");
      else if (now > t.at + r.window || (r.scope == DeduplicationScope::zone && t.zone != host.zone) ||
               (r.scope == DeduplicationScope::cell && t.cell != host.cell))
        report("2: " + name(id) + " sent again outside its scope or window");
    }
    r.attempts.push_back({attempt, now, host.zone, host.cell, true, true, false});
    const auto published = published_.find({gateway, host.address});
    if (published != published_.end() && published->second.phase != HostPhase::active &&
        now > published->second.at + kDrainGrace)
      report("3: " + name(id) + " sent to " + host.address + ", which the gateway knew to be draining");
  }
  void onCancel(RequestId id, std::uint32_t attempt) {
    if (Attempt* t = find(id, attempt)) t->isCancelled = true;
  }
  void onAttemptEnd(RequestId id, std::uint32_t attempt, Outcome outcome) {
    Attempt* t = find(id, attempt);
    if (!t) return;
    t->isPending = false;
    t->mayHaveRun = mayHaveRun(outcome);
  }
  void onAnswer(RequestId id, Answer how, Time now) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    if (r.isExcused) return;
    if (std::exchange(r.isAnswered, true)) return report("1: " + name(id) + " answered twice");
    if (now > r.deadline + kAnswerSlack) report("1: " + name(id) + " answered too late");
    if (how != Answer::rejected || r.idempotency == Idempotency::idempotent) return;
    for (const Attempt& t : r.attempts) {
      const bool dropped = r.idempotency == Idempotency::idempotentWithKey &&
                           r.scope == DeduplicationScope::all && !t.isPending;
      if ((t.isPending || t.mayHaveRun) && !dropped)
        report("2: " + name(id) + " rejected, and it may have run");
    }
  }
  // A gateway has received the entry of a host. Entries are kept per process: onGatewayStop() clears them.
  void onHostPublished(std::uint32_t gateway, const HostEntry& e, Time now) {
    PublishedHost& host = published_[{gateway, e.address}];
    if (host.phase != e.phase || host.at == Time{}) host.at = now;
    host.phase = e.phase;
    host.started = e.startedAt;
  }
  // The process has ended. Its open requests need no answer from it: their clients may send them again.
  void onGatewayStop(std::uint32_t gateway) {
    for (auto& [id, r] : requests_)
      if (r.gateway == gateway && !r.isAnswered) r.isExcused = true;
    for (auto it = published_.lower_bound({gateway, ""});
         it != published_.end() && it->first.first == gateway;)
      it = published_.erase(it);
  }
  // An attempt of `work` seconds was sent to a warming host that can now do `capacity` seconds of work per
  // second. Returns the work sent in the window that ends now, as a multiple of that capacity.
  double onWarmingHostSend(std::uint32_t gateway, const HostEntry& host, double work, double capacity,
                           Time now) {
    const auto published = published_.find({gateway, host.address});
    const bool wasPublished = published != published_.end() && published->second.phase == HostPhase::active &&
                              published->second.started == host.startedAt;
    WarmingHost& c = warmingHosts_[host.address];
    c.sent.push_back({now, work, wasPublished});
    c.sum += work;
    c.publishedSum += wasPublished ? work : 0;
    while (c.sent.front().at < now - kCollapseWindow) {
      c.sum -= c.sent.front().work;
      c.publishedSum -= c.sent.front().wasPublished ? c.sent.front().work : 0;
      c.sent.pop_front();
    }
    const double window = std::chrono::duration<double>(kCollapseWindow).count();
    const double times = c.sum / (capacity * window);
    // The budget as a number of attempts of mean work. An excess of up to two standard deviations (of a
    // Poisson count) and two more attempts is attributed to chance.
    if (meanWorkSeconds > 0 && c.publishedSum > c.sum * 2 / 3) {
      const double allowed = kCollapseLoadFactor * capacity * window / meanWorkSeconds;
      worstBudgetExcess = std::max(
          worstBudgetExcess, static_cast<double>(c.sent.size()) - (allowed + 2 * std::sqrt(allowed) + 2));
      worstBudgetFraction = std::max(worstBudgetFraction, static_cast<double>(c.sent.size()) / allowed);
    }
    if (times > kCollapseLoadFactor && c.publishedSum > c.sum * 2 / 3 && !std::exchange(c.hasCollapsed, true))
      report("4: " + host.address + " was overloaded while warming up");
    return times;
  }
  double meanWorkSeconds = 0;  // of an attempt on a warm host; 0: attempts are not counted
  // Attempts to a warming host in the worst window: beyond budget and chance, and as a fraction of the
  // budget.
  double worstBudgetExcess = -1e9;
  double worstBudgetFraction = 0;
  // Reports each request that is unanswered past its deadline. Called once, at the end of a run.
  void finish(Time now) {
    for (const auto& [id, r] : requests_)
      if (!r.isAnswered && !r.isExcused && now > r.deadline + kAnswerSlack)
        report("1: " + name(id) + " never answered");
  }

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t violationsOf(char rule) const {
    std::size_t n = 0;
    for (const std::string& b : violations_) n += b[0] == rule;
    return n;
  }

 private:
  struct Attempt {
    std::uint32_t number;
    Time at;
    std::string zone;
    std::int64_t cell;
    bool isPending, mayHaveRun, isCancelled;
  };
  struct Request {
    std::uint32_t gateway;
    Idempotency idempotency;
    DeduplicationScope scope;
    Duration window;
    Time deadline;
    std::vector<Attempt> attempts;
    bool isAnswered, isExcused;
  };
  struct PublishedHost {
    HostPhase phase = HostPhase::active;
    Time at{};       // when the gateway first received `phase`
    Time started{};  // start of the host process that the entry names
  };
  struct WarmingSend {
    Time at;
    double work;
    bool wasPublished;
  };
  struct WarmingHost {
    std::deque<WarmingSend> sent;
    double sum = 0;
    double publishedSum = 0;
    bool hasCollapsed = false;
  };

  static constexpr Duration kAnswerSlack = std::chrono::milliseconds(50);  // past a request's deadline
  static constexpr Duration kDrainGrace = std::chrono::milliseconds(500);
  // A warming host counts as overloaded at this multiple of its capacity, over this window.
  static constexpr double kCollapseLoadFactor = 3;
  static constexpr Duration kCollapseWindow = std::chrono::seconds(2);

  static std::string name(RequestId id) { return "request " + std::to_string(id); }
  Attempt* find(RequestId id, std::uint32_t attempt) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return nullptr;
    for (Attempt& t : it->second.attempts)
      if (t.number == attempt) return &t;
    return nullptr;
  }
  void report(std::string what) { violations_.push_back(std::move(what)); }

  std::map<RequestId, Request> requests_;
  std::map<std::pair<std::uint32_t, std::string>, PublishedHost> published_;
  std::map<std::string, WarmingHost> warmingHosts_;
  std::vector<std::string> violations_;
};

}  // namespace finchstile::load_balancing::testing
