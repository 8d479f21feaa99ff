#include "idempotency/store.hpp"

#include <algorithm>

namespace finchstile::idempotency {

struct Store::Entry {
  State state = State::free;
  std::uint32_t tenant = 0, classIndex = 0;
  std::uint64_t hash = 0;
  Fingerprint fingerprint;
  std::string key;
  KeptAnswer answer;
  std::optional<Earlier> earlier;
  std::uint64_t run = 0;  // its number while it runs
  bool again = false;     // it was uncertain before; until when stands in `due`
  bool bound = false;     // by what others know
  bool tried = false;     // an attempt of this run went out
  bool open = false;      // `earlier` is of the attempt that is out: it may still prove that it never ran
  Time due{};
  std::size_t bytes = 0;
  std::vector<Waiter> waiters;
  EntryId chain = Store::kNone;                         // the next of its bucket, or of the free ones
  EntryId older = Store::kNone, newer = Store::kNone;   // among its tenant's answered ones
  EntryId before = Store::kNone, after = Store::kNone;  // in its slot of the wheel
  std::int32_t slot = -1;
};

Store::Store(const StoreLimits& limits, std::uint32_t tenants, const Seed& seed, std::uint64_t hashMask)
    : limits_(limits), seed_(seed), hashMask_(hashMask), tenants_(tenants) {
  // All that ends is due within `keep`: one turn of the wheel holds it.
  tick_ = std::max<Duration>(limits_.keep / static_cast<std::int64_t>(kWheel - 2), Duration(1));
  std::size_t buckets = 16;
  while (buckets < limits_.entries) buckets *= 2;
  buckets_.assign(buckets, kNone);
}
Store::~Store() = default;

Store::Entry& Store::at(EntryId id) const { return chunks_[id / kChunk][id % kChunk]; }

Store::EntryId Store::find(std::uint64_t hash, const Arrival& a) const {
  for (EntryId id = buckets_[hash & (buckets_.size() - 1)]; id != kNone; id = at(id).chain) {
    const Entry& e = at(id);
    // Danger: hashes may be alike; what is looked for is the key itself.
    if (e.hash == hash && e.tenant == a.tenant && e.classIndex == a.classIndex && e.key == a.key) return id;
  }
  return kNone;
}

void Store::charge(Entry& e, std::ptrdiff_t bytes) {
  e.bytes = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(e.bytes) + bytes);
  bytes_ = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(bytes_) + bytes);
  auto& t = tenants_[e.tenant].bytes;
  t = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(t) + bytes);
}

void Store::enter(EntryId id, State to) {
  Entry& e = at(id);
  Tenant& t = tenants_[e.tenant];
  if (e.state == State::answered) {
    (e.older == kNone ? t.answered.first : at(e.older).newer) = e.newer;
    (e.newer == kNone ? t.answered.last : at(e.newer).older) = e.older;
    e.older = e.newer = kNone;
  }
  --byState_[static_cast<std::size_t>(e.state)];
  e.state = to;
  ++byState_[static_cast<std::size_t>(to)];
  if (to != State::answered) return;
  e.older = t.answered.last;
  (t.answered.last == kNone ? t.answered.first : at(t.answered.last).newer) = id;
  t.answered.last = id;
}

void Store::schedule(EntryId id, Time due) {
  unschedule(id);
  Entry& e = at(id);
  e.due = due;
  // One tick on, so that what is met there is due.
  e.slot = static_cast<std::int32_t>((due / tick_ + 1) % static_cast<std::int64_t>(kWheel));
  List& l = wheel_[static_cast<std::size_t>(e.slot)];
  e.before = l.last;
  (l.last == kNone ? l.first : at(l.last).after) = id;
  l.last = id;
}

void Store::unschedule(EntryId id) {
  Entry& e = at(id);
  if (e.slot < 0) return;
  List& l = wheel_[static_cast<std::size_t>(e.slot)];
  (e.before == kNone ? l.first : at(e.before).after) = e.after;
  (e.after == kNone ? l.last : at(e.after).before) = e.before;
  e.before = e.after = kNone;
  e.slot = -1;
}

void Store::drop(EntryId id) {
  unschedule(id);
  enter(id, State::free);
  --byState_[static_cast<std::size_t>(State::free)];
  Entry& e = at(id);
  EntryId* link = &buckets_[e.hash & (buckets_.size() - 1)];
  while (*link != id) link = &at(*link).chain;
  *link = e.chain;
  charge(e, -static_cast<std::ptrdiff_t>(e.bytes));
  --tenants_[e.tenant].entries;
  --used_;
  e = Entry{};
  e.chain = free_;
  free_ = id;
}

bool Store::evictOf(std::uint32_t tenant) {
  const EntryId oldest = tenants_[tenant].answered.first;
  if (!limits_.evict || oldest == kNone) return false;
  drop(oldest);
  ++evicted_;
  return true;
}

// For more entries and bytes of that tenant. Danger: without a share for each, one tenant's flood would push
// out what the others' repeats are answered from; so a tenant makes room within its own first, then the
// largest one does.
bool Store::room(std::uint32_t tenant, std::size_t entries, std::size_t bytes) {
  const auto share = [&](std::size_t of) {
    return static_cast<std::size_t>(static_cast<double>(of) * limits_.tenantShare);
  };
  Tenant& own = tenants_[tenant];
  while (own.entries + entries > std::max<std::size_t>(1, share(limits_.entries)) ||
         own.bytes + bytes > share(limits_.bytes))
    if (!evictOf(tenant)) return false;
  while (used_ + entries > limits_.entries || bytes_ + bytes > limits_.bytes) {
    std::uint32_t largest = tenant;
    for (std::uint32_t t = 0; t < tenants_.size(); ++t)
      if (tenants_[t].answered.first != kNone &&
          (tenants_[largest].answered.first == kNone || tenants_[t].bytes > tenants_[largest].bytes))
        largest = t;
    if (!evictOf(largest)) return false;
  }
  return true;
}

std::optional<Store::EntryId> Store::make(std::uint64_t hash, const Arrival& a, State state) {
  const std::size_t bytes = sizeof(Entry) + a.key.size();
  if (!room(a.tenant, 1, bytes)) return std::nullopt;
  if (free_ == kNone) {
    if (made_ == chunks_.size() * kChunk) chunks_.push_back(std::make_unique<Entry[]>(kChunk));
    at(static_cast<EntryId>(made_)).chain = kNone;
    free_ = static_cast<EntryId>(made_++);
  }
  const EntryId id = free_;
  Entry& e = at(id);
  free_ = e.chain;
  e.tenant = a.tenant;
  e.classIndex = a.classIndex;
  e.hash = hash;
  e.fingerprint = a.fingerprint;
  e.key = std::string(a.key);
  EntryId& bucket = buckets_[hash & (buckets_.size() - 1)];
  e.chain = bucket;
  bucket = id;
  ++byState_[static_cast<std::size_t>(State::free)];
  enter(id, state);
  ++tenants_[a.tenant].entries;
  ++used_;
  charge(e, static_cast<std::ptrdiff_t>(bytes));
  return id;
}

std::uint64_t Store::hashOf(const Arrival& a) const {
  return Hasher(seed_).add(std::to_string(a.tenant)).add(std::to_string(a.classIndex)).add(a.key).end().low &
         hashMask_;
}

void Store::begin(Time now, EntryId id, const Arrival& a) {
  Entry& e = at(id);
  e.run = nextRun_++;
  e.again = e.earlier.has_value();
  e.bound = e.tried = false;
  for (StoreObserver* o : observers_) o->onBegan(e.run, now, a, e.earlier ? &*e.earlier : nullptr);
}

Store::Result Store::arrive(Time now, const Arrival& a) {
  expire(now);
  const std::uint64_t hash = hashOf(a);
  EntryId id = find(hash, a);
  if (id != kNone && at(id).slot >= 0 && now >= at(id).due) {  // due, and not met by the wheel yet
    drop(id);
    id = kNone;
  }
  Result r;
  if (id == kNone) {
    const auto made = make(hash, a, State::running);
    if (!made) return r;
    r.admission = Admission::fresh;
    r.entry = *made;
    begin(now, *made, a);
    return r;
  }
  Entry& e = at(id);
  if (!(e.fingerprint == a.fingerprint)) {
    r.admission = Admission::mismatch;
    return r;
  }
  r.entry = id;
  switch (e.state) {
    case State::free: break;
    case State::running:
      if (e.waiters.size() >= limits_.joinedMost) {
        r.admission = Admission::crowded;
        r.entry = kNone;
        return r;
      }
      e.waiters.push_back(a.waiter);
      charge(e, sizeof(Waiter));
      r.admission = Admission::join;
      return r;
    case State::answered:
      r.admission = Admission::replay;
      r.answer = &e.answer;
      return r;
    case State::uncertain:
      unschedule(id);
      enter(id, State::running);
      r.admission = Admission::again;
      r.earlier = &*e.earlier;
      begin(now, id, a);
      return r;
  }
  return r;
}

void Store::sent(EntryId id, const Earlier& where) {
  Entry& e = at(id);
  e.tried = true;
  if (e.earlier) return;
  e.earlier = where;
  e.open = true;
  for (StoreObserver* o : observers_) o->onSent(e.run, where);
}

void Store::settled(EntryId id, bool mayHaveRun) {
  Entry& e = at(id);
  if (!e.open) return;
  e.open = false;
  if (mayHaveRun) return;
  e.earlier.reset();
  for (StoreObserver* o : observers_) o->onNeverRan(e.run);
}

void Store::bind(EntryId id, const Earlier& earlier, Time until) {
  Entry& e = at(id);
  e.due = e.again ? std::max(e.due, until) : until;
  e.again = e.bound = true;
  if (e.earlier) return;
  e.earlier = earlier;
  for (StoreObserver* o : observers_) o->onSent(e.run, earlier);
}

void Store::leave(EntryId id, Waiter waiter) {
  Entry& e = at(id);
  const auto it = std::find(e.waiters.begin(), e.waiters.end(), waiter);
  if (it == e.waiters.end()) return;
  e.waiters.erase(it);
  charge(e, -static_cast<std::ptrdiff_t>(sizeof(Waiter)));
}

bool Store::awaited(EntryId id) const { return !at(id).waiters.empty(); }

std::vector<Store::Waiter> Store::end(Time now, EntryId id, End how, KeptAnswer&& answer) {
  Entry& e = at(id);
  std::vector<Waiter> waiting = std::move(e.waiters);
  e.waiters.clear();
  charge(e, -static_cast<std::ptrdiff_t>(waiting.size() * sizeof(Waiter)));
  // Danger: were the window to begin anew with each repeat that fails unsent, one who repeats often enough
  // would never get through.
  const bool asBefore = e.again && !e.tried && (how == End::neverRan || e.bound);
  const Time due = asBefore ? e.due : now + limits_.keep;
  if ((how == End::neverRan && !e.earlier) || due <= now) {
    for (StoreObserver* o : observers_) o->onEnded(e.run, now, State::free, {}, nullptr);
    drop(id);
    return waiting;
  }
  e.open = false;
  if (!e.earlier) e.earlier = Earlier{};  // nowhere and long ago: no host drops a repeat of it
  // Its own entry is not among what makes room: it still runs.
  const bool kept = how == End::served && answer.body.size() <= limits_.answerMost &&
                    room(e.tenant, 0, answer.body.size() + answer.contentType.size());
  if (kept) keep(id, std::move(answer));
  enter(id, kept ? State::answered : State::uncertain);
  schedule(id, due);
  for (StoreObserver* o : observers_)
    o->onEnded(e.run, due - limits_.keep, e.state, e.answer, e.tried ? &*e.earlier : nullptr);
  return waiting;
}

void Store::keep(EntryId id, KeptAnswer&& answer) {
  Entry& e = at(id);
  e.answer = std::move(answer);
  charge(e, static_cast<std::ptrdiff_t>(e.answer.body.size() + e.answer.contentType.size()));
}

void Store::reseed(const Seed& seed) {
  if (used_ == 0) seed_ = seed;
}

void Store::numberRunsFrom(std::uint64_t run) { nextRun_ = std::max(nextRun_, run); }

void Store::forget(const Arrival& request) {
  const EntryId id = find(hashOf(request), request);
  if (id != kNone && at(id).state != State::running) drop(id);
}

bool Store::restore(Time now, Remembered&& what) {
  expire(now);
  forget(what.request);
  // Danger: by a calendar that stepped back it would be kept for longer than promised, and longer than the
  // wheel reaches.
  const Time due = std::min(what.due, now + limits_.keep);
  const std::uint64_t hash = hashOf(what.request);
  if (due <= now || find(hash, what.request) != kNone) return false;
  const bool fits = what.state == State::answered && what.answer.body.size() <= limits_.answerMost;
  const auto made = make(hash, what.request, State::uncertain);
  if (!made) return false;
  at(*made).earlier = std::move(what.earlier);
  if (fits && room(what.request.tenant, 0, what.answer.body.size() + what.answer.contentType.size())) {
    keep(*made, std::move(what.answer));
    enter(*made, State::answered);
  }
  schedule(*made, due);
  return true;
}

void Store::expire(Time now) {
  const std::int64_t to = now / tick_;
  // A clock that stepped far ahead: one whole turn meets everything.
  std::int64_t from = std::max(turned_, to - static_cast<std::int64_t>(kWheel));
  for (; from < to; ++from) {
    EntryId id = wheel_[static_cast<std::size_t>((from + 1) % static_cast<std::int64_t>(kWheel))].first;
    while (id != kNone) {
      const EntryId next = at(id).after;
      if (now >= at(id).due) drop(id);
      id = next;
    }
  }
  turned_ = std::max(turned_, to);
}

}  // namespace finchstile::idempotency
