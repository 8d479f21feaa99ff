#include "idempotency/recall.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::idempotency {

Names Names::of(const load_balancing::Settings& settings) {
  Names names;
  for (const auto& t : settings.tenants) names.tenants.push_back(t.name);
  for (const auto& c : settings.classes) names.classes.push_back(c.name);
  return names;
}

std::uint32_t Names::tenantIndex(const std::string& name) const {
  return static_cast<std::uint32_t>(std::find(tenants.begin(), tenants.end(), name) - tenants.begin());
}

std::optional<std::uint32_t> Names::classIndex(const std::string& name) const {
  const auto it = std::find(classes.begin(), classes.end(), name);
  if (it == classes.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - classes.begin());
}

Recall::Recall(Store& store, const Names& names, const TimeBase& here, Time now, Duration keep)
    : store_(store), names_(names), here_(here), now_(now), keep_(keep) {}

void Recall::take(std::string_view record) {
  auto known = decode(record);
  // Without its session nothing behind a record can be read: whose time would it be?
  if (!known || (!session_ && !std::holds_alternative<Session>(*known))) {
    ++result_.foreign;
    return;
  }
  std::visit([this](auto&& r) { (*this)(std::move(r)); }, std::move(*known));
}

Time Recall::here(Time then) const {
  const TimeBase& there = session_->base;
  const std::int64_t ns = sameBoot_ ? then.count() + there.zeroSteady - here_.zeroSteady
                                    : then.count() + there.zeroUnix - here_.zeroUnix;
  return Time(ns);
}

Earlier Recall::here(const Earlier& then) const {
  // Unknown stays unknown; and a machine that started anew took longer than any host remembers repeats, by a
  // calendar that may have stepped.
  if (then.sentAt == Time{} || !sameBoot_) return {};
  return {then.zone, then.cell, std::max(here(then.sentAt), Time{})};
}

void Recall::putBack(Began&& request, State state, KeptAnswer&& answer, Earlier&& earlier, Time due) {
  const auto classIndex = names_.classIndex(request.className);
  if (!classIndex || due <= now_) {
    ++result_.past;
    if (!classIndex) return;
  }
  Store::Remembered r;
  r.request.tenant = names_.tenantIndex(request.tenant);
  r.request.classIndex = *classIndex;
  r.request.key = request.key;
  r.request.fingerprint = request.fingerprint;
  if (due <= now_) return store_.forget(r.request);
  r.state = state;
  r.answer = std::move(answer);
  r.earlier = std::move(earlier);
  r.due = due;
  if (!store_.restore(now_, std::move(r))) ++result_.noRoom;
}

void Recall::operator()(Session&& s) {
  if (!session_) store_.reseed(s.seed);
  sameBoot_ = !s.base.boot.empty() && s.base.boot == here_.boot;
  session_ = std::move(s);
}

void Recall::operator()(Began&& b) {
  store_.numberRunsFrom(b.run + 1);
  Running r;
  r.sameBoot = sameBoot_;
  if (b.earlier) r.earlier = here(*b.earlier);
  const std::uint64_t run = b.run;
  r.began = std::move(b);
  running_[run] = std::move(r);
}

void Recall::operator()(Sent&& s) {
  const auto it = running_.find(s.run);
  if (it == running_.end() || it->second.earlier) return;
  it->second.earlier = here(s.where);
  it->second.open = true;
}

void Recall::operator()(NeverRan&& n) {
  const auto it = running_.find(n.run);
  if (it == running_.end() || !it->second.open) return;
  it->second.open = false;
  it->second.earlier.reset();
}

void Recall::operator()(Ended&& e) {
  const auto it = running_.find(e.run);
  if (it == running_.end()) return;  // begun in a segment that is no more: due long ago
  Running r = std::move(it->second);
  running_.erase(it);
  // One that never ran leaves what was known of its key before: nothing, or what is over by now as well.
  if (e.to == State::free) return;
  putBack(std::move(r.began), e.to, std::move(e.answer), r.earlier.value_or(Earlier{}), here(e.at) + keep_);
}

std::vector<std::uint64_t> Recall::finish(bool whole) {
  std::vector<std::uint64_t> over;
  for (auto& [run, r] : running_) {
    over.push_back(run);
    Earlier where;
    if (whole && r.sameBoot && r.earlier) where = std::move(*r.earlier);
    putBack(std::move(r.began), State::uncertain, {}, std::move(where), now_ + keep_);
  }
  result_.running = running_.size();
  running_.clear();
  result_.answered = store_.count(State::answered);
  result_.uncertain = store_.count(State::uncertain);
  return over;
}

}  // namespace finchstile::idempotency
