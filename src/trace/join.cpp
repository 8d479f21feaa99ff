#include "trace/join.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <tuple>
#include <utility>

namespace finchstile::trace {
namespace {

std::string printed(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string printed(const char* format, ...) {
  char line[1024];
  va_list values;
  va_start(values, format);
  std::vsnprintf(line, sizeof line, format, values);
  va_end(values);
  return line;
}

double ms(std::int64_t us) { return static_cast<double>(us) / 1000; }

std::string age(std::int64_t known) {
  return known == kNever ? std::string("never") : std::to_string(known) + " ms ago";
}

// Whether hosts drop a second run of it, if the first may have run.
bool dropped(const AttemptLine& first, const AttemptLine& again) {
  if (first.effect == Idempotency::idempotent) return true;
  if (first.effect == Idempotency::nonIdempotent) return false;
  if (first.group != DeduplicationScope::all && first.zone != again.zone) return false;
  if (first.group == DeduplicationScope::cell && first.cell != again.cell) return false;
  return again.begun <= first.sent + first.window * 1000;
}

bool wasOut(const AttemptLine& a) { return a.begun > 0; }

Story sorted(Story s) {
  std::sort(s.attempts.begin(), s.attempts.end(), [](const AttemptLine& a, const AttemptLine& b) {
    return std::tie(a.sent, a.gateway, a.number) < std::tie(b.sent, b.gateway, b.number);
  });
  std::sort(s.requests.begin(), s.requests.end(), [](const RequestLine& a, const RequestLine& b) {
    return std::tie(a.came, a.gateway, a.ended) < std::tie(b.came, b.gateway, b.ended);
  });
  return s;
}

// Of the times that a gateway took this id, the one that an attempt belongs to.
const RequestLine* takenFor(const Story& s, const AttemptLine& a) {
  const RequestLine* found = nullptr;
  for (const RequestLine& r : s.requests)
    if (r.gateway == a.gateway && r.came <= a.sent) found = &r;
  return found;
}

}  // namespace

const char* name(Finding::Kind kind) {
  switch (kind) {
    case Finding::Kind::answeredTwice: return "answered_twice";
    case Finding::Kind::late: return "late";
    case Finding::Kind::sentAfterAnswer: return "sent_after_answer";
    case Finding::Kind::noAnswer: return "no_answer";
    case Finding::Kind::leftOpen: return "left_open";
    case Finding::Kind::twoAtOnce: return "two_at_once";
    case Finding::Kind::ranTwice: return "ran_twice";
    case Finding::Kind::refusedAfterRun: return "refused_after_run";
    case Finding::Kind::sentToDraining: return "sent_to_draining";
  }
  return "unknown";
}

void Join::add(const Line& line) {
  ++lines_;
  const std::int64_t at = timeOf(line);
  if (first_ == 0 || at < first_) first_ = at;
  if (const auto* a = std::get_if<AttemptLine>(&line)) stories_[a->id].attempts.push_back(*a);
  else if (const auto* r = std::get_if<RequestLine>(&line)) stories_[r->id].requests.push_back(*r);
  else if (const auto* h = std::get_if<HostLine>(&line))
    known_[{h->gateway, h->host}].push_back({h->at, h->phase});
  else if (const auto* start = std::get_if<StartLine>(&line)) starts_[start->gateway].push_back(start->at);
  else if (const auto* stop = std::get_if<StopLine>(&line)) stops_[stop->gateway].push_back(*stop);
  else if (const auto* g = std::get_if<GapLine>(&line)) {
    gaps_[g->gateway].push_back(g->at);
    missing_ += g->lines;
  }
}

Story Join::story(const std::string& id) const {
  const auto it = stories_.find(id);
  return it == stories_.end() ? Story{} : sorted(it->second);
}

// The process that a gateway was at a time; null if no start before it is known.
template <class Of>
auto Join::lifeAt(Of& all, const std::string& gateway, std::int64_t at) {
  const auto lives = all.find(gateway);
  decltype(lives->second.data()) found = nullptr;
  if (lives == all.end()) return found;
  for (auto& life : lives->second)
    if (life.from <= at) found = &life;
  return found;
}

Join::LivesOf Join::lives() const {
  LivesOf all;
  for (const auto& [gateway, starts] : starts_) {
    std::vector<std::int64_t> at = starts;
    std::sort(at.begin(), at.end());
    for (const std::int64_t from : at) all[gateway].push_back({from, 0, 0, false});
  }
  for (const auto& [gateway, stops] : stops_)
    for (const StopLine& stop : stops)
      if (Life* life = lifeAt(all, gateway, stop.at)) life->to = stop.at, life->open = stop.open;
  for (const auto& [gateway, gaps] : gaps_)
    for (const std::int64_t at : gaps)
      if (Life* life = lifeAt(all, gateway, at)) life->gap = true;
  return all;
}

// The last word on a host that this gateway had then. Those of an earlier process count too: the next one's
// start tells it anew.
const Join::Known* Join::knownAt(const std::string& gateway, const std::string& host, std::int64_t at) const {
  const auto it = known_.find({gateway, host});
  const Known* found = nullptr;
  if (it == known_.end()) return found;
  for (const Known& k : it->second)
    if (k.at <= at && (!found || k.at >= found->at)) found = &k;
  return found;
}

void Join::auditStory(const std::string& id, const Story& s, const AuditSettings& settings,
                      const LivesOf& lives, std::vector<Finding>& out) const {
  using Kind = Finding::Kind;
  const auto find = [&](Kind kind, const std::string& gateway, std::int64_t at, std::string text) {
    out.push_back({kind, gateway, id, at, std::move(text)});
  };
  for (std::size_t i = 0; i < s.requests.size(); ++i) {
    const RequestLine& r = s.requests[i];
    for (std::size_t j = 0; j < i; ++j)
      if (s.requests[j].gateway == r.gateway && s.requests[j].came == r.came)
        find(Kind::answeredTwice, r.gateway, r.ended,
             "as " + std::string(name(s.requests[j].end)) + " and as " + std::string(name(r.end)));
    if (r.end == End::left) continue;
    const std::int64_t due = r.came + r.left * 1000;
    if (r.ended > due + settings.slackUs)
      find(Kind::late, r.gateway, r.ended,
           printed("%s %.1f ms after its client's time of %lld ms", name(r.end), ms(r.ended - due),
                   static_cast<long long>(r.left)));
  }
  for (std::size_t i = 0; i < s.attempts.size(); ++i) {
    const AttemptLine& a = s.attempts[i];
    const RequestLine* taken = takenFor(s, a);
    if (!taken) {
      const Life* life = lifeAt(lives, a.gateway, a.sent);
      if (life && life->to > 0 && !life->gap)
        find(Kind::noAnswer, a.gateway, a.ended, "attempt " + std::to_string(a.number) + " at " + a.host);
    } else if (wasOut(a) && a.begun > taken->ended) {
      find(Kind::sentAfterAnswer, a.gateway, a.begun,
           printed("to %s, %.1f ms after it was %s", a.host.c_str(), ms(a.begun - taken->ended),
                   name(taken->end)));
    }
    if (taken && taken->end == End::refused && a.ran != Ran::no && a.effect != Idempotency::idempotent &&
        !(a.effect == Idempotency::idempotentWithKey && a.group == DeduplicationScope::all))
      find(Kind::refusedAfterRun, a.gateway, taken->ended,
           "attempt " + std::to_string(a.number) + " at " + a.host + " ended as " +
               std::string(name(a.outcome)));
    if (wasOut(a))
      if (const Known* known = knownAt(a.gateway, a.host, a.begun);
          known && known->phase != HostPhase::active &&
          a.begun > known->at + settings.graceUs + settings.slackUs)
        find(Kind::sentToDraining, a.gateway, a.begun,
             printed("%s was known as %s for %.1f ms", a.host.c_str(), name(known->phase),
                     ms(a.begun - known->at)));
    for (std::size_t j = 0; j < i; ++j) {
      const AttemptLine& first = s.attempts[j];
      if (!wasOut(a) || !wasOut(first)) continue;
      const std::int64_t apart = first.gateway == a.gateway ? 0 : settings.clocksUs;
      if (first.ended > a.begun + apart)
        find(Kind::twoAtOnce, a.gateway, a.begun,
             printed("at %s while it was out at %s, from %s, for %.1f ms more", a.host.c_str(),
                     first.host.c_str(), first.gateway.c_str(), ms(first.ended - a.begun)));
      if (first.ran != Ran::no && !dropped(first, a))
        find(Kind::ranTwice, a.gateway, a.begun,
             "sent to " + a.host + " after " + std::string(name(first.outcome)) + " at " + first.host);
    }
  }
}

std::vector<Finding> Join::audit(const AuditSettings& settings) const {
  std::vector<Finding> out;
  const auto all = lives();
  for (const auto& [id, story] : stories_) auditStory(id, sorted(story), settings, all, out);
  for (const auto& [gateway, lives] : all)
    for (const Life& life : lives)
      if (life.open > 0)
        out.push_back(
            {Finding::Kind::leftOpen, gateway, "", life.to, std::to_string(life.open) + " requests"});
  std::sort(out.begin(), out.end(), [](const Finding& a, const Finding& b) {
    return std::tie(a.at, a.gateway, a.id, a.kind) < std::tie(b.at, b.gateway, b.id, b.kind);
  });
  return out;
}

std::map<std::string, Sum> Join::sums(By by) const {
  std::map<std::string, Sum> out;
  const auto second = [this](std::int64_t at) {
    return printed("%06lld", static_cast<long long>((at - first_) / 1'000'000));
  };
  for (const auto& [id, story] : stories_) {
    for (const AttemptLine& a : story.attempts) {
      Sum& s = out[by == By::host      ? a.host
                   : by == By::gateway ? a.gateway
                   : by == By::second  ? second(a.sent)
                                       : a.className];
      ++s.attempts;
      switch (a.outcome) {
        case Outcome::served: ++s.served, s.takenUs += static_cast<std::uint64_t>(a.ended - a.sent); break;
        case Outcome::rejectedForCapacity: ++s.full; break;
        case Outcome::error:
        case Outcome::invalidRequest: ++s.failed; break;
        case Outcome::reset:
        case Outcome::timeout: ++s.lost; break;
        case Outcome::connectFailed: ++s.unconnected; break;
        case Outcome::cancelled:
        case Outcome::notSent: ++s.calledOff; break;
      }
    }
    if (by == By::host) continue;
    for (const RequestLine& r : story.requests) {
      Sum& s = out[by == By::gateway ? r.gateway : by == By::second ? second(r.came) : r.className];
      ++s.requests;
      switch (r.end) {
        case End::served: ++s.answered; break;
        case End::refused: ++s.refused, s.unsent += r.attempts == 0; break;
        case End::failed:
        case End::rejected: ++s.errored; break;
        case End::left: ++s.left; break;
      }
    }
  }
  return out;
}

std::string tell(const Story& story) {
  std::vector<std::pair<std::int64_t, std::string>> events;
  for (const RequestLine& r : story.requests) {
    events.emplace_back(r.came, r.gateway + " takes it, " + r.className + " (" + std::string(name(r.effect)) +
                                    "), its client waits " + std::to_string(r.left) + " ms");
    std::string what = r.gateway + ": ";
    if (r.end == End::left) what += "its client has gone";
    else what += std::string(name(r.end)) + ", " + std::to_string(r.status);
    what += printed(", after %u attempts, cutoff %u", r.attempts, r.cut);
    events.emplace_back(r.ended, what);
  }
  for (const AttemptLine& a : story.attempts) {
    events.emplace_back(
        a.sent, printed("%s attempt %u to %s (%s): list's word %s, sign of life %s, up %lld ms%s",
                        a.gateway.c_str(), a.number, a.host.c_str(), a.zone.c_str(), age(a.word).c_str(),
                        age(a.heard).c_str(), static_cast<long long>(a.up), a.avoided ? ", avoided" : ""));
    std::string what = printed("%s attempt %u: %s by %s, ran: %s", a.gateway.c_str(), a.number,
                               name(a.outcome), name(a.why), name(a.ran));
    what += wasOut(a) ? printed(", first byte %.1f ms after its choice", ms(a.begun - a.sent))
                      : std::string(", no byte went out");
    events.emplace_back(a.ended, what);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string out;
  for (const auto& [at, what] : events)
    out += printed("%+10.3f ms  ", ms(at - events.front().first)) + what + "\n";
  return out;
}

}  // namespace finchstile::trace
