#include "idempotency/filter.hpp"

#include "net/config.hpp"
#include "net/string_view.hpp"

namespace finchstile::idempotency {
namespace {

namespace http = boost::beast::http;

Response answerOf(const KeptAnswer& kept) {
  Response a;
  a.status = static_cast<http::status>(kept.status);
  a.contentType = kept.contentType;
  a.body = kept.body;
  return a;
}

}  // namespace

TimeBase timeBase(const Clock& clock, std::string boot) {
  const std::chrono::nanoseconds steady = clock.steady(Time{}).time_since_epoch();
  return {std::move(boot), steady.count(), clock.unixAt(Time{}).count()};
}

Duration longestRun(const load_balancing::Settings& settings) {
  return longestClientTimeout(settings) + std::chrono::seconds(1);
}

IdempotencyFilter::IdempotencyFilter(const Clock& clock, const IdempotencySettings& settings,
                                     std::size_t tenants, const Seed& seed, RequestFilterCallbacks& host)
    : clock_(clock),
      settings_(settings),
      tenants_(static_cast<std::uint32_t>(tenants)),
      host_(host),
      store_(settings.limits, tenants_ + 1, seed) {}

std::uint8_t IdempotencyFilter::phases() const {
  return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
         phaseBit(RequestPhase::attemptEnded) | phaseBit(RequestPhase::responseHeaders) |
         phaseBit(RequestPhase::completed);
}

// Those that the settings do not name are one.
std::uint32_t IdempotencyFilter::tenantOf(const RequestContext& x) const {
  return std::min(x.tenantIndex, tenants_);
}

Store::Arrival IdempotencyFilter::arrivalOf(const RequestContext& x) const {
  const ClientRequest& m = *x.message;
  Store::Arrival a;
  a.tenant = tenantOf(x);
  a.classIndex = x.classIndex;
  a.key = view(m["Idempotency-Key"]);
  a.fingerprint =
      Hasher(store_.seed()).add(view(m.method_string())).add(view(m.target())).add(m.body()).end();
  a.waiter = x.id;
  return a;
}

JournalRecovery IdempotencyFilter::recover(Journal& journal) {
  const JournalRecovery r = journal.recover(clock_.now(), store_);
  journal_ = &journal;
  uncertainUntil_ = r.uncertainUntil;
  journal.onSynced = [this] { onSynced(); };
  return r;
}

// One that has begun in the store: it runs now, or when its record is synced, or not at all.
IdempotencyFilter::Start IdempotencyFilter::start(RequestContext& x, const Store::Result& r) {
  State& s = static_cast<State&>(*state(x));
  s.entry = r.entry;
  s.waits = false;
  s.again = r.admission == Admission::again;
  if (s.again) x.earlierAttempt = *r.earlier;
  s.run = lastRun_;
  const bool recorded = !journal_ || journal_->recorded();
  if (journal_ && !s.again && clock_.now() < uncertainUntil_) {
    // Danger: the log lost something, and that may have been of this key.
    ++counts_.unknown;
    s.again = true;
    x.earlierAttempt = Earlier{};
    store_.bind(r.entry, Earlier{}, uncertainUntil_);
  }
  if (!recorded) {
    ++counts_.unrecorded;
    if (settings_.log.refuseUnrecorded) return Start::refused;
  }
  if (recorded && journal_ && journal_->mustWait()) {
    s.recording = true;
    recording_.push_back({journal_->position(), x.id});
    recordingOf_[x.id] = &x;
  }
  s.asking = ask(x, s);
  // While others are asked, one of theirs may run.
  x.heldBeforeExecution = s.recording && !s.asking && !s.again;
  // Danger: what it waits for may be there at once, and then asks for its answer; it is held all the same.
  const bool held = s.recording || s.asking;
  if (s.recording) journal_->wait(clock_.now());
  pump();
  return held ? Start::held : Start::now;
}

// What others know of its key is asked, or they are only told that it runs. True: it waits for a decision.
bool IdempotencyFilter::ask(RequestContext& x, State& s) {
  if (!owners_) return false;
  const ClientRequest& m = *x.message;
  // Danger: one that is uncertain here waits too. Another gateway may have it run again just now.
  const bool wait = askAll_ || view(m["X-Repeat"]) == "1";
  if (wait) askingOf_[s.run] = &x;
  owners_->claim(
      clock_.now(), s.run,
      owners_->keyOf(names_->tenant(tenantOf(x)), names_->classes[x.classIndex], view(m["Idempotency-Key"]),
                     view(m.method_string()), view(m.target()), m.body()),
      wait);
  return wait;
}

void IdempotencyFilter::join(Owners& owners, OwnerLink& link, const Names& names, bool all) {
  owners_ = &owners;
  link_ = &link;
  names_ = &names;
  askAll_ = all;
  store_.observe(*this);
}

void IdempotencyFilter::onBegan(std::uint64_t run, Time, const Store::Arrival&, const Earlier*) {
  lastRun_ = run;
}

void IdempotencyFilter::onEnded(std::uint64_t run, Time at, idempotency::State to, const KeptAnswer& answer,
                                const Earlier* ran) {
  owners_->over(clock_.now(), run, ran ? to : idempotency::State::free, ran ? *ran : Earlier{},
                at + settings_.limits.keep, &answer);
}

void IdempotencyFilter::fromGateway(GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
  owners_->receive(clock_.now(), from, epoch, payload);
  pump();
}

void IdempotencyFilter::onWake() {
  owners_->tick(clock_.now());
  pump();
}

void IdempotencyFilter::pump() {
  if (!owners_) return;
  for (const Owners::Outgoing& out : owners_->takeOutgoing()) link_->send(out.to, out.payload);
  for (const Owners::Decision& d : owners_->takeDecisions()) decided(d);
  link_->wakeAt(owners_->wake());
}

void IdempotencyFilter::admitIfReady(const RequestContext& x) {
  const State& s = static_cast<const State&>(*x.filterStates[place()]);
  if (!s.asking && !s.recording) host_.admitHeld(x.id);
}

void IdempotencyFilter::decided(const Owners::Decision& d) {
  const auto it = askingOf_.find(d.run);
  if (it == askingOf_.end()) return;  // over since
  RequestContext& x = *it->second;
  askingOf_.erase(it);
  State& s = static_cast<State&>(*state(x));
  s.asking = false;
  switch (d.kind) {
    case Owners::Decision::Kind::run: x.heldBeforeExecution = s.recording && !s.again; return admitIfReady(x);
    case Owners::Decision::Kind::uncertain:
      x.earlierAttempt = s.again ? agreed(*x.earlierAttempt, d.earlier) : d.earlier;
      s.again = true;
      store_.bind(s.entry, d.earlier, d.until);
      return admitIfReady(x);
    case Owners::Decision::Kind::answer:
      store_.bind(s.entry, d.earlier, d.until);
      s.had = true;
      s.answer = d.answer;
      return host_.respondToHeld(x.id, answerOf(d.answer));
    case Owners::Decision::Kind::mismatch:
      return host_.respondToHeld(x.id, plainResponse(http::status::unprocessable_entity));
  }
}

// Of one that must not run without a record: unsent, but what came before it may have run.
Response IdempotencyFilter::withoutRecord(const State& s) const {
  return plainResponse(s.again ? http::status::bad_gateway : http::status::service_unavailable);
}

FilterDecision IdempotencyFilter::onRequestReceived(RequestContext& x) {
  if (x.idempotency != load_balancing::Idempotency::idempotentWithKey) return {};
  if (!x.bodyComplete) {  // what is not here can't be compared: it goes on as if there were no store
    ++counts_.large;
    return {};
  }
  const Store::Result r = store_.arrive(clock_.now(), arrivalOf(x));
  FilterDecision out;
  switch (r.admission) {
    case Admission::fresh: ++counts_.fresh; break;
    case Admission::again: ++counts_.again; break;
    case Admission::join: ++counts_.joined; break;
    case Admission::replay:
      ++counts_.replayed;
      out.response = answerOf(*r.answer);
      return out;
    case Admission::mismatch:
      ++counts_.mismatched;
      out.response = plainResponse(http::status::unprocessable_entity);
      return out;
    case Admission::crowded:  // the first may run: no refusal
      ++counts_.crowded;
      out.response = plainResponse(http::status::bad_gateway);
      return out;
    case Admission::full:
      ++counts_.full;
      if (settings_.refuseWhenFull) out.response = plainResponse(http::status::service_unavailable);
      return out;
  }
  auto own = std::make_unique<State>();
  own->entry = r.entry;
  own->waits = r.admission == Admission::join;
  state(x) = std::move(own);
  if (r.admission == Admission::join) {
    waiting_[x.id] = &x;
    out.hold = true;
    return out;
  }
  switch (start(x, r)) {
    case Start::now: break;
    case Start::held: out.hold = true; break;
    case Start::refused: out.response = withoutRecord(static_cast<State&>(*state(x))); break;
  }
  return out;
}

// Those whose records are safe now run. Behind a sync that failed nothing is safe any more.
void IdempotencyFilter::onSynced() {
  while (!recording_.empty() && (journal_->broken() || recording_.front().position <= journal_->durable())) {
    const Recording one = recording_.front();
    const bool safe = one.position <= journal_->durable();
    recording_.pop_front();
    const auto it = recordingOf_.find(one.request);
    if (it == recordingOf_.end()) continue;  // over since
    RequestContext& x = *it->second;
    State& s = static_cast<State&>(*state(x));
    recordingOf_.erase(it);
    s.recording = false;
    if (!safe) ++counts_.unrecorded;
    if (safe || !settings_.log.refuseUnrecorded) admitIfReady(x);
    else host_.respondToHeld(one.request, withoutRecord(s));
  }
}

void IdempotencyFilter::onAttemptSending(RequestContext& x, UpstreamRequest&) {
  if (!state(x)) return;
  store_.sent(static_cast<State&>(*state(x)).entry, {std::string(x.zone), x.cell, clock_.now()});
}

void IdempotencyFilter::onAttemptEnded(RequestContext& x, bool mayHaveRun) {
  if (state(x)) store_.settled(static_cast<State&>(*state(x)).entry, mayHaveRun);
}

// Written down before its client has it: what was answered is known after a kill, or nobody has heard of it.
void IdempotencyFilter::onResponseHeaders(RequestContext& x, const ResponseHead& head,
                                          std::vector<HeaderLine>&) {
  if (!state(x)) return;
  State& s = static_cast<State&>(*state(x));
  if (s.waits) return;
  if (!head.bodyComplete) {  // it ran, and what it answered can't be kept: a repeat is bound by it
    const Store::EntryId entry = s.entry;
    if (s.recording) recordingOf_.erase(x.id);
    if (s.asking) askingOf_.erase(s.run);
    orphans_.erase(entry);
    state(x).reset();
    over(store_.end(clock_.now(), entry, Store::End::mayHaveRun), nullptr);
    return pump();
  }
  if (head.fromUpstream) s.answer = {head.status, std::string(head.contentType), std::string(head.body)};
  else if (!s.had) return;
  if (s.recording) recordingOf_.erase(x.id);  // another gateway's answer came before its own record was safe
  orphans_.erase(s.entry);
  const Store::EntryId entry = s.entry;
  KeptAnswer kept = std::move(s.answer);
  state(x).reset();  // its part here is over
  KeptAnswer answer;
  if (store_.awaited(entry)) answer = kept;
  over(store_.end(clock_.now(), entry, Store::End::served, std::move(kept)), &answer);
  pump();
}

// Others wait for it: what runs goes on without its own client.
bool IdempotencyFilter::continuesWithoutClient(RequestContext& x) {
  if (!state(x)) return false;
  const State& s = static_cast<const State&>(*state(x));
  if (s.waits || !store_.awaited(s.entry)) return false;
  orphans_[s.entry] = x.id;
  ++counts_.keptWithoutClient;
  return true;
}

void IdempotencyFilter::onRequestCompleted(RequestContext& x, RequestResult) {
  if (!state(x)) return;
  State& s = static_cast<State&>(*state(x));
  if (s.recording) recordingOf_.erase(x.id);
  if (s.asking) askingOf_.erase(s.run);
  if (s.waits) {
    waiting_.erase(x.id);
    store_.leave(s.entry, x.id);
    const auto orphan = orphans_.find(s.entry);
    if (orphan == orphans_.end() || store_.awaited(s.entry)) return;
    host_.abandonContinued(orphan->second);
    orphans_.erase(orphan);
    return;
  }
  orphans_.erase(s.entry);
  over(store_.end(clock_.now(), s.entry, x.mayHaveRun ? Store::End::mayHaveRun : Store::End::neverRan),
       nullptr);
  pump();
}

// Those that waited: answered from the first, or one of them runs in its place and the rest wait for that
// one. Each has its own worth and time there: the module refuses or sends it like any other.
void IdempotencyFilter::over(const std::vector<Store::Waiter>& waiting, const KeptAnswer* answer) {
  for (const Store::Waiter w : waiting) {
    const auto it = waiting_.find(w);
    if (it == waiting_.end()) continue;
    RequestContext& x = *it->second;
    if (answer) {
      ++counts_.answeredFromFirst;
      waiting_.erase(it);
      state(x).reset();  // its part here is over
      host_.respondToHeld(w, answerOf(*answer));
      continue;
    }
    const Store::Result r = store_.arrive(clock_.now(), arrivalOf(x));
    if (r.admission == Admission::join) {
      static_cast<State&>(*state(x)).entry = r.entry;
      continue;
    }
    waiting_.erase(it);
    ++counts_.promoted;
    if (r.entry == Store::kNone) {  // no room for it any more: it goes on unremembered
      state(x).reset();
      host_.admitHeld(w);
      continue;
    }
    switch (start(x, r)) {
      case Start::now: host_.admitHeld(w); break;
      case Start::held: break;  // still
      case Start::refused: host_.respondToHeld(w, withoutRecord(static_cast<State&>(*state(x)))); break;
    }
  }
}

std::string IdempotencyFilter::summary() const {
  const auto n = [](const char* name, std::uint64_t value) {
    return std::string(" ") + name + "=" + std::to_string(value);
  };
  using S = idempotency::State;
  const std::string log =
      !journal_ ? ""
                : n("log_bytes", journal_->bytes()) + n("log_broken", journal_->broken() ? 1 : 0) +
                      n("unrecorded", counts_.unrecorded) + n("unknown", counts_.unknown) +
                      n("unwritten", journal_->unrecorded()) + n("unanswered", journal_->unanswered()) +
                      n("syncs", journal_->syncs());
  std::string owners;
  if (owners_) {
    const OwnerCounts& c = owners_->counts();
    owners = n("claims", c.claims) + n("waited", c.waited) + n("ran", c.ran) + n("had", c.answered) +
             n("bound", c.uncertain) + n("differed", c.mismatched) + n("polls", c.polls) +
             n("untold", c.untold) + n("late", c.late) + n("resent", c.again) + n("silent", c.silent) +
             n("dropped", c.dropped) + n("asked", c.asked) + n("held", owners_->held()) +
             n("owner_full", c.full) + n("other_view", c.otherView) + n("malformed", c.malformed);
  }
  return "idempotency" + n("entries", store_.entries()) + n("bytes", store_.bytes()) +
         n("running", store_.count(S::running)) + n("answered", store_.count(S::answered)) +
         n("uncertain", store_.count(S::uncertain)) + n("evicted", store_.evicted()) +
         n("fresh", counts_.fresh) + n("joined", counts_.joined) + n("replayed", counts_.replayed) +
         n("again", counts_.again) + n("mismatched", counts_.mismatched) + n("crowded", counts_.crowded) +
         n("full", counts_.full) + n("large", counts_.large) +
         n("answered_from_first", counts_.answeredFromFirst) + n("promoted", counts_.promoted) +
         n("kept_without_client", counts_.keptWithoutClient) + log + owners;
}

}  // namespace finchstile::idempotency
