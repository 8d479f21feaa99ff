#include "idempotency/owners.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::idempotency {
namespace {

// What a datagram may take on its way without a repeat being sent behind its hosts' window.
constexpr Duration kOnTheWay = std::chrono::milliseconds(100);

std::uint32_t viewOf(const OwnerSettings& s, const SipKey& secret) {
  return static_cast<std::uint32_t>(
      SipHasher(secret).add("view").add(std::to_string(s.gateways)).add(std::to_string(s.copies)).end().low);
}

}  // namespace

Earlier agreed(const Earlier& a, const Earlier& b) {
  if (a.zone != b.zone || a.cell != b.cell) return {};
  return a.sentAt < b.sentAt ? a : b;
}

Owners::Owners(const OwnerSettings& settings, const SipKey& secret, Time now)
    : settings_(settings), secret_(secret), startedAt_(now), view_(viewOf(settings, secret)) {}

SharedKey Owners::keyOf(std::string_view tenant, std::string_view className, std::string_view key,
                        std::string_view method, std::string_view target, std::string_view body) const {
  SharedKey k;
  k.id = SipHasher(secret_).add("key").add(tenant).add(className).add(key).end();
  k.fingerprint = SipHasher(secret_).add("request").add(method).add(target).add(body).end().low;
  return k;
}

std::vector<GatewayNumber> Owners::ownersOf(const SipHash128& id) const {
  std::vector<std::pair<std::uint64_t, GatewayNumber>> weights;
  for (GatewayNumber n = 0; n < settings_.gateways; ++n)
    weights.emplace_back(SipHasher(secret_)
                             .add("owner")
                             .add(std::to_string(id.low))
                             .add(std::to_string(id.high))
                             .add(std::to_string(n))
                             .end()
                             .low,
                         n);
  const std::size_t copies = std::min<std::size_t>(settings_.copies, weights.size());
  std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(copies), weights.end(),
                    std::greater<>());
  std::vector<GatewayNumber> out;
  for (std::size_t i = 0; i < copies; ++i) out.push_back(weights[i].second);
  return out;
}

Whereabouts Owners::told(Time now, const Earlier& where) const {
  if (where.sentAt == Time{}) return {};
  const auto ago = std::chrono::ceil<std::chrono::milliseconds>(now - where.sentAt + kOnTheWay).count();
  if (ago < 0 || ago >= Whereabouts::kLongAgo) return {};
  return {where.zone, where.cell, static_cast<std::uint32_t>(ago)};
}

std::uint32_t Owners::msLeft(Time now, Time until) const {
  const Duration left = std::clamp<Duration>(until - now, Duration{}, settings_.keep);
  return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(left).count());
}
Time Owners::untilOf(Time now, std::uint32_t ms) const {
  return now + std::min<Duration>(std::chrono::milliseconds(ms), settings_.keep);
}

Earlier Owners::heard(Time now, const Whereabouts& at) const {
  const Duration ago = std::chrono::milliseconds(at.agoMs);
  if (at.agoMs == Whereabouts::kLongAgo || ago >= now) return {};
  return {at.zone, at.cell, now - ago};
}

// --- As an owner ------------------------------------------------------------------------------------------

void Owners::hold(const SipHash128& id, Held&& h) {
  unhold(id);
  heldDue_.emplace(h.due, id.high, id.low);
  held_[id] = std::move(h);
}

void Owners::unhold(const SipHash128& id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  heldDue_.erase({it->second.due, id.high, id.low});
  held_.erase(it);
}

void Owners::expire(Time now) {
  while (!heldDue_.empty() && std::get<0>(*heldDue_.begin()) <= now) {
    const auto [due, high, low] = *heldDue_.begin();
    const SipHash128 id{high, low};
    Held h = std::move(held_.at(id));
    unhold(id);
    if (h.state != State::running) continue;
    // Its runner has not been heard of for longer than a request may take: it may have run.
    h.state = State::uncertain;
    h.before = true;
    h.until = h.due = due + settings_.keep;
    if (h.due > now) hold(id, std::move(h));
  }
}

Ruling Owners::rule(Time now, GatewayNumber from, std::uint64_t epoch, const Claim& c) {
  expire(now);
  ++counts_.asked;
  Ruling out;
  out.ask = c.ask;
  out.young = now - startedAt_ < settings_.keep + settings_.longest;
  const auto owners = ownersOf(c.key.id);
  out.mine = std::find(owners.begin(), owners.end(), settings_.own) != owners.end();
  const auto it = held_.find(c.key.id);
  Held h;
  if (it == held_.end()) {
    if (held_.size() >= settings_.entries) {
      ++counts_.full;
      out.known = Known::full;
      return out;
    }
    h.fingerprint = c.key.fingerprint;
  } else {
    h = it->second;
    const bool its = h.runner == from && h.epoch == epoch;
    if (h.state != State::free && h.fingerprint != c.key.fingerprint) {
      out.known = Known::mismatch;
      return out;
    }
    // Its runner asks for it: it has forgotten it, or started anew.
    if (h.state == State::answered && h.runner != from && !c.unhad) {
      out.known = Known::answered;
      out.runner = h.runner;
      out.keepMs = msLeft(now, h.until);
      return out;
    }
    if (h.state == State::running && h.runner != from) {
      out.known = Known::running;
      out.runner = h.runner;
      return out;
    }
    // Danger: late and come again, a claim must not bring back a run that is over.
    const bool stale = its ? c.run < h.run || (c.run == h.run && h.state != State::running)
                           : h.runner == from && epoch < h.epoch;
    if (stale) return out;
    // Its runner has begun another, or started anew, and the end of that one was not heard of: it may have
    // run.
    if (h.state == State::running && (!its || c.run > h.run)) {
      h.before = true;
      h.where = {};
      h.until = now + settings_.keep;
    }
    h.fingerprint = c.key.fingerprint;
  }
  h.before = h.before && h.until > now;
  if (h.before) {
    out.known = Known::uncertain;
    out.where = told(now, h.where);
    out.keepMs = msLeft(now, h.until);
  }
  h.state = State::running;
  h.runner = from;
  h.epoch = epoch;
  h.run = c.run;
  h.due = now + settings_.longest;
  hold(c.key.id, std::move(h));
  return out;
}

void Owners::note(Time now, GatewayNumber from, std::uint64_t epoch, const Over& o) {
  expire(now);
  const auto it = held_.find(o.key.id);
  Held h;
  if (it == held_.end()) {  // its claim was lost
    if (held_.size() >= settings_.entries) {
      ++counts_.full;
      return;
    }
  } else {
    h = it->second;
    const bool its = h.runner == from && h.epoch == epoch && h.run <= o.run;
    if (!its && (h.state == State::running || o.to == State::free)) {
      // The end of its runner's run before this one, come late: that may have run.
      if (h.runner != from || h.epoch != epoch || o.to == State::free) return;
      h.before = true;
      h.where = heard(now, o.where);
      h.until = untilOf(now, o.keepMs);
      return hold(o.key.id, std::move(h));
    }
    // What is known is not forgotten, as one that had its answer from there knows less of it; but one that
    // ran beside it counts for as long as it says.
    if (h.state == State::answered && !its) {
      h.until = h.due = std::max(h.due, untilOf(now, o.keepMs));
      return hold(o.key.id, std::move(h));
    }
  }
  h.fingerprint = o.key.fingerprint;
  h.runner = from;
  h.epoch = epoch;
  h.run = o.run;
  if (o.to == State::free) {
    // Remembered as free for a while: its claim may come late, and again.
    h.before = h.before && h.until > now;
    h.state = h.before ? State::uncertain : State::free;
    h.due = h.before ? h.until : now + settings_.longest;
  } else {
    // Danger: one that had its answer from elsewhere, or was not sent, knows of less than is known here.
    h.until = std::max(h.before ? h.until : Time{}, untilOf(now, o.keepMs));
    h.due = h.until;
    h.state = o.to;
    h.before = true;
    h.where = heard(now, o.where);
  }
  hold(o.key.id, std::move(h));
}

// --- As a claimer -----------------------------------------------------------------------------------------

void Owners::claim(Time now, std::uint64_t run, const SharedKey& key, bool wait) {
  ++counts_.claims;
  counts_.waited += wait;
  Run& r = runs_[run];
  r = Run{};
  r.key = key;
  r.number = ++lastNumber_;
  r.waits = wait;
  r.runner = settings_.own;
  for (const GatewayNumber owner : ownersOf(key.id)) {
    r.votes.emplace_back();
    r.votes.back().owner = owner;
  }
  ask(now, run, r);
}

void Owners::ask(Time now, std::uint64_t run, Run& r) {
  for (Vote& v : r.votes) v.in = v.silent = false;
  cancel(r);  // what they said before counts no more
  for (Vote& v : r.votes) {
    Claim c;
    c.key = r.key;
    c.run = r.number;
    c.view = view_;
    c.unhad = r.unhad;
    if (v.owner == settings_.own) {
      v.ruling = rule(now, settings_.own, 0, c);
      v.in = true;
    } else {
      send(now, Pending::Kind::claim, run, v.owner, c);
    }
  }
  evaluate(now, run, r);
}

void Owners::vote(Time now, std::uint64_t run, GatewayNumber from, const Ruling& ruling, bool silent) {
  const auto it = runs_.find(run);
  if (it == runs_.end()) return;
  Run& r = it->second;
  for (Vote& v : r.votes) {
    if (v.owner != from || v.in) continue;
    v.in = true;
    v.silent = silent;
    v.ruling = ruling;
    if (!r.waits && !silent && ruling.known != Known::free && ruling.known != Known::full) ++counts_.late;
  }
  evaluate(now, run, r);
}

void Owners::evaluate(Time now, std::uint64_t run, Run& r) {
  if (!r.waits || r.pollAt || r.runner != settings_.own) return;
  const auto said = [&](Known known) -> const Ruling* {
    for (const Vote& v : r.votes)
      if (v.in && !v.silent && v.ruling.known == known) return &v.ruling;
    return nullptr;
  };
  if (said(Known::mismatch)) return decide(run, r, Decision::Kind::mismatch);
  if (const Ruling* const answered = said(Known::answered)) {
    if (answered->runner >= settings_.gateways) return notHad(now, run, r);
    r.runner = answered->runner;
    r.until = untilOf(now, answered->keepMs);
    return fetch(now, run, r);
  }
  if (!std::all_of(r.votes.begin(), r.votes.end(), [](const Vote& v) { return v.in; })) return;
  if (const Ruling* const running = said(Known::running)) {
    ++counts_.polls;
    // Danger: two that hold one owner each would wait for one another until both are given up. The one with
    // the higher number lets go of what it holds, and comes back after the other did.
    const bool yields = settings_.own > running->runner;
    r.pollAt = now + settings_.poll * (yields ? 3 : 1);
    polls_.emplace(*r.pollAt, run);
    if (yields) {
      tell(now, r, State::free, {}, now);
      r.number = ++lastNumber_;
    }
    return;
  }
  // Danger: those who can't say hide what they know: that it is free, or that no other one runs it now, takes
  // a majority that can.
  const auto say = std::count_if(r.votes.begin(), r.votes.end(), [](const Vote& v) {
    return !v.silent && v.ruling.mine && !v.ruling.young &&
           (v.ruling.known == Known::free || v.ruling.known == Known::uncertain);
  });
  const bool most = static_cast<std::size_t>(say) > r.votes.size() / 2;
  if (said(Known::uncertain)) {
    r.until = now;
    bool first = true;
    for (const Vote& v : r.votes) {
      if (v.silent || v.ruling.known != Known::uncertain) continue;
      const Earlier where = heard(now, v.ruling.where);
      r.where = first ? where : agreed(r.where, where);
      r.until = std::max(r.until, untilOf(now, v.ruling.keepMs));
      first = false;
    }
    if (!most) r.where = {};
    return decide(run, r, Decision::Kind::uncertain);
  }
  if (most) return decide(run, r, Decision::Kind::run);
  ++counts_.untold;
  r.where = {};
  r.until = now + settings_.keep;
  decide(run, r, settings_.runWhenSilent ? Decision::Kind::run : Decision::Kind::uncertain);
}

void Owners::decide(std::uint64_t run, Run& r, Decision::Kind kind, KeptAnswer&& answer) {
  r.waits = false;
  switch (kind) {
    case Decision::Kind::run: ++counts_.ran; break;
    case Decision::Kind::uncertain: ++counts_.uncertain; break;
    case Decision::Kind::answer: ++counts_.answered; break;
    case Decision::Kind::mismatch: ++counts_.mismatched; break;
  }
  decisions_.push_back({kind, run, r.where, r.until, std::move(answer)});
}

void Owners::cancel(Run& r) {
  for (const Ask id : std::exchange(r.asks, {})) {
    const auto p = pending_.find(id);
    if (p == pending_.end()) continue;
    pendingDue_.erase({p->second.due, id});
    pending_.erase(p);
  }
}

void Owners::over(Time now, std::uint64_t run, State to, const Earlier& where, Time until,
                  const KeptAnswer* answer) {
  const auto it = runs_.find(run);
  if (it == runs_.end()) return;
  Run r = std::move(it->second);
  runs_.erase(it);
  if (r.pollAt) polls_.erase({*r.pollAt, run});
  cancel(r);
  if (to == State::answered && answer) keepAnswer(now, r.key.id, *answer);
  tell(now, r, to, where, until);
}

void Owners::tell(Time now, const Run& r, State to, const Earlier& where, Time until) {
  for (const Vote& v : r.votes) {
    Over o;
    o.key = r.key;
    o.run = r.number;
    o.to = to;
    o.where = told(now, where);
    o.keepMs = msLeft(now, until);
    if (v.owner == settings_.own) note(now, settings_.own, 0, o);
    else send(now, Pending::Kind::over, 0, v.owner, o);
  }
}

void Owners::fetch(Time now, std::uint64_t run, Run& r) {
  Fetch f;
  f.key = r.key;
  f.offset = static_cast<std::uint16_t>(r.fetched.size());
  send(now, Pending::Kind::fetch, run, r.runner, f);
}

void Owners::taken(Time now, std::uint64_t run, const Piece& p) {
  const auto it = runs_.find(run);
  if (it == runs_.end() || !it->second.waits) return;
  Run& r = it->second;
  if (p.total == 0 || p.total > settings_.answerMost || p.bytes.empty() || p.offset != r.fetched.size())
    return notHad(now, run, r);
  r.fetched += p.bytes;
  if (r.fetched.size() < p.total) return fetch(now, run, r);
  auto answer = unpackAnswer(r.fetched);
  if (!answer) return notHad(now, run, r);
  decide(run, r, Decision::Kind::answer, std::move(*answer));
}

// Danger: it must not go on by itself. The owners have to know that it runs once more.
void Owners::notHad(Time now, std::uint64_t run, Run& r) {
  if (std::exchange(r.unhad, true)) return decide(run, r, Decision::Kind::uncertain);
  r.runner = settings_.own;
  r.fetched.clear();
  ask(now, run, r);
}

void Owners::keepAnswer(Time now, const SipHash128& id, const KeptAnswer& answer) {
  const auto drop = [&] {
    const auto it = answers_.find(answersInOrder_.front().second);
    // One that was kept anew stands further behind.
    if (it != answers_.end() && it->second.due == answersInOrder_.front().first) {
      answerBytes_ -= it->second.packed.size();
      answers_.erase(it);
    }
    answersInOrder_.pop_front();
  };
  while (!answersInOrder_.empty() && answersInOrder_.front().first <= now) drop();
  std::string packed = packAnswer(answer);
  if (packed.size() > settings_.answerMost || packed.size() > settings_.answerBytes) return;
  while (answerBytes_ + packed.size() > settings_.answerBytes) drop();
  Answer& kept = answers_[id];
  answerBytes_ += packed.size() - kept.packed.size();
  kept.packed = std::move(packed);
  kept.due = now + settings_.keep;
  answersInOrder_.emplace_back(kept.due, id);
}

// --- Messages ---------------------------------------------------------------------------------------------

void Owners::send(Time now, Pending::Kind kind, std::uint64_t run, GatewayNumber to, OwnerMessage&& m) {
  const Ask ask = ++lastAsk_;
  std::visit([&](auto& one) { one.ask = ask; }, m);
  Pending p{kind, run, to, encode(m), settings_.tries - 1, now + settings_.patience};
  if (pending_.size() >= settings_.messagesMost) {
    ++counts_.dropped;
    gaveUp(now, p);
    return;
  }
  outgoing_.push_back({to, p.payload});
  pendingDue_.emplace(p.due, ask);
  if (kind != Pending::Kind::over) runs_.at(run).asks.push_back(ask);
  pending_[ask] = std::move(p);
}

void Owners::gaveUp(Time now, const Pending& p) {
  ++counts_.silent;
  switch (p.kind) {
    case Pending::Kind::claim: return vote(now, p.run, p.to, {}, true);
    case Pending::Kind::fetch: {
      const auto it = runs_.find(p.run);
      if (it != runs_.end() && it->second.waits) notHad(now, p.run, it->second);
      return;
    }
    case Pending::Kind::over: return;  // it will find out by time: running turns to uncertain
  }
}

void Owners::receive(Time now, GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
  const auto m = decodeOwnerMessage(payload);
  if (!m) {
    ++counts_.malformed;
    return;
  }
  // What an answer is to; gone if it was answered before.
  const auto asked = [&](Ask ask, Pending::Kind kind) -> std::optional<Pending> {
    const auto it = pending_.find(ask);
    if (it == pending_.end() || it->second.to != from || it->second.kind != kind) return std::nullopt;
    Pending p = std::move(it->second);
    pendingDue_.erase({p.due, ask});
    pending_.erase(it);
    return p;
  };
  if (const auto* const c = std::get_if<Claim>(&*m)) {
    if (c->view != view_) ++counts_.otherView;
    outgoing_.push_back({from, encode(rule(now, from, epoch, *c))});
  } else if (const auto* const ruling = std::get_if<Ruling>(&*m)) {
    if (const auto p = asked(ruling->ask, Pending::Kind::claim)) vote(now, p->run, from, *ruling, false);
  } else if (const auto* const o = std::get_if<Over>(&*m)) {
    note(now, from, epoch, *o);
    outgoing_.push_back({from, encode(Noted{o->ask})});
  } else if (const auto* const n = std::get_if<Noted>(&*m)) {
    asked(n->ask, Pending::Kind::over);
  } else if (const auto* const f = std::get_if<Fetch>(&*m)) {
    Piece p;
    p.ask = f->ask;
    const auto it = answers_.find(f->key.id);
    if (it != answers_.end() && it->second.due > now && f->offset < it->second.packed.size()) {
      p.total = static_cast<std::uint16_t>(it->second.packed.size());
      p.offset = f->offset;
      p.bytes = it->second.packed.substr(f->offset, kPieceMost);
    }
    outgoing_.push_back({from, encode(p)});
  } else if (const auto* const p = std::get_if<Piece>(&*m)) {
    if (const auto of = asked(p->ask, Pending::Kind::fetch)) taken(now, of->run, *p);
  }
}

std::optional<Time> Owners::wake() const {
  std::optional<Time> at;
  if (!pendingDue_.empty()) at = pendingDue_.begin()->first;
  if (!polls_.empty() && (!at || polls_.begin()->first < *at)) at = polls_.begin()->first;
  return at;
}

void Owners::tick(Time now) {
  expire(now);
  while (!pendingDue_.empty() && pendingDue_.begin()->first <= now) {
    const Ask id = pendingDue_.begin()->second;
    pendingDue_.erase(pendingDue_.begin());
    Pending& p = pending_.at(id);
    if (p.triesLeft == 0) {
      const Pending last = std::move(p);
      pending_.erase(id);
      gaveUp(now, last);
      continue;
    }
    --p.triesLeft;
    ++counts_.again;
    outgoing_.push_back({p.to, p.payload});
    p.due = now + settings_.patience;
    pendingDue_.emplace(p.due, id);
  }
  while (!polls_.empty() && polls_.begin()->first <= now) {
    const std::uint64_t run = polls_.begin()->second;
    polls_.erase(polls_.begin());
    Run& r = runs_.at(run);
    r.pollAt.reset();
    ask(now, run, r);
  }
}

}  // namespace finchstile::idempotency
