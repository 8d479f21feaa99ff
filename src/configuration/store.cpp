#include "configuration/store.hpp"

#include <unordered_set>

namespace finchstile::configuration {
namespace {

std::string nameOf(const std::string& key) { return key.substr(key.find('/') + 1); }
bool isTenant(const std::string& key) { return key.starts_with(kTenantPrefix); }

std::uint64_t hashOf(const Document& document) {
  return std::visit([](const auto& d) { return configuration::hashOf(d); }, document);
}

}  // namespace

const char* describe(Verdict verdict) {
  switch (verdict) {
    case Verdict::taken: return "taken";
    case Verdict::unchanged: return "unchanged";
    case Verdict::behind: return "behind";
    case Verdict::gap: return "gap";
    case Verdict::refused: return "refused";
    case Verdict::conflict: return "conflict";
  }
  return "";
}

Store::Store(const load_balancing::Settings& start) {
  for (const auto& tenant : start.tenants) {
    tenants_.try_emplace(tenant.name, Tenant{places_, tenant.quotaPerSecond, 0, 0, true});
    ++places_;
  }
  listed_ = tenants_.size();
  for (const auto& cls : start.classes) {
    classIndex_.emplace(cls.name, static_cast<std::uint32_t>(classes_.size()));
    classes_.push_back({cls, std::nullopt});
  }
}

Result Store::apply(const Update& update) {
  Result result;
  if (!isNewer(update, result)) return result;
  std::vector<Problem> problems = update.problems;
  check(update, problems);
  if (!problems.empty()) return turnDown(update, Verdict::refused, std::move(problems));
  const std::uint64_t hash = hashAfter(update);
  // Danger: changes to another set than ours would make a third one, that nobody has published.
  if (!update.whole && (position_.version == Version{} || hash != update.hash)) {
    position_.wantsWhole = true;
    result.verdict = Verdict::gap;
    return result;
  }
  if (hash != update.hash) {
    const std::string what = "is " + hashText(update.hash) + ", and the entries have " + hashText(hash);
    return turnDown(update, Verdict::refused, {{"hash", "", what}});
  }
  // From here on nothing can fail.
  result.verdict = Verdict::taken;
  result.terms.version = update.version;
  if (update.whole) ++wholes_;
  for (const Change& change : update.changes) take(change, result.terms);
  if (update.whole) removeUnnamed(update, result.terms);
  position_ = Position{update.version, update.hash, false, std::nullopt};
  return result;
}

// Sets the verdict of one that is not.
bool Store::isNewer(const Update& update, Result& result) {
  const Position& at = position_;
  if (update.version < at.version) {
    result.verdict = Verdict::behind;
    return false;
  }
  const bool same = update.version == at.version && at.version != Version{};
  if (at.turnedDown && at.turnedDown->version == update.version && at.turnedDown->hash == update.hash) {
    result.verdict = same ? Verdict::conflict : Verdict::refused;  // without its problems: they were told
    return false;
  }
  if (!same) return true;
  if (update.hash == at.hash) position_.wantsWhole = false;
  else result = turnDown(update, Verdict::conflict, {{"hash", "", "is not that of the version in force"}});
  return false;
}

Result Store::turnDown(const Update& update, Verdict verdict, std::vector<Problem> problems) {
  Result result;
  result.verdict = verdict;
  position_.wantsWhole = position_.wantsWhole && verdict != Verdict::conflict;
  position_.turnedDown = {update.version, update.hash, describe(problems)};
  result.problems = std::move(problems);
  return result;
}

const std::uint32_t* Store::classIndex(const std::string& name) const {
  const auto at = classIndex_.find(name);
  return at == classIndex_.end() ? nullptr : &at->second;
}

void Store::check(const Update& update, std::vector<Problem>& problems) const {
  std::size_t places = places_;
  for (const Change& change : update.changes) {
    const std::string name = nameOf(change.key);
    if (isTenant(change.key)) {
      if (change.document && tenants_.count(name) == 0 && ++places > load_balancing::kMaxTenants)
        problems.push_back({change.key, "",
                            "is one more than the " + std::to_string(load_balancing::kMaxTenants) +
                                " names that fit; a restart forgets those removed"});
      continue;
    }
    const std::uint32_t* index = classIndex(name);
    if (!index) {
      problems.push_back({change.key, "", "is no class of this gateway's configuration"});
    } else if (change.document) {
      const auto& cls = std::get<ClassDocument>(*change.document);
      const auto giveUp = classes_[*index].start.clientTimeout;
      if (cls.aim > giveUp)
        problems.push_back(
            {change.key, "aim_ms",
             "must be at most " +
                 std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(giveUp).count()) +
                 ", the time after which its clients give up"});
    }
  }
}

// Of the document in force under a key; 0 if there is none.
std::uint64_t Store::hashOfKey(const std::string& key) const {
  const std::string name = nameOf(key);
  if (isTenant(key)) {
    const auto at = tenants_.find(name);
    return at != tenants_.end() && at->second.listed ? at->second.hash : 0;
  }
  const std::uint32_t* index = classIndex(name);
  if (!index || !classes_[*index].document) return 0;
  return configuration::hashOf(*classes_[*index].document);
}

std::uint64_t Store::hashAfter(const Update& update) const {
  std::uint64_t hash = update.whole ? 0 : position_.hash;
  for (const Change& change : update.changes) {
    if (!update.whole) hash -= hashOfKey(change.key);
    if (change.document) hash += hashOf(*change.document);
  }
  return hash;
}

void Store::take(const Change& change, SettingsChange& terms) {
  if (!isTenant(change.key)) {
    const std::optional<ClassDocument> document =
        change.document ? std::optional(std::get<ClassDocument>(*change.document)) : std::nullopt;
    setClass(*classIndex(nameOf(change.key)), document, terms);
  } else if (change.document) {
    setTenant(std::get<TenantDocument>(*change.document), terms);
  } else {
    removeTenant(nameOf(change.key), terms);
  }
}

void Store::setTenant(const TenantDocument& document, SettingsChange& terms) {
  const auto [at, fresh] = tenants_.try_emplace(document.name, Tenant{places_});
  if (fresh) ++places_;
  Tenant& tenant = at->second;
  tenant.whole = wholes_;
  tenant.hash = configuration::hashOf(document);
  const bool same = tenant.listed && tenant.quotaPerSecond == document.quotaPerSecond;
  listed_ += tenant.listed ? 0 : 1;
  tenant.listed = true;
  tenant.quotaPerSecond = document.quotaPerSecond;
  if (!same) terms.tenants.push_back({tenant.index, document.name, document.quotaPerSecond});
}

void Store::removeTenant(const std::string& name, SettingsChange& terms) {
  const auto at = tenants_.find(name);
  if (at == tenants_.end() || !at->second.listed) return;
  at->second.listed = false;
  --listed_;
  terms.tenants.push_back({at->second.index, name, std::nullopt});
}

void Store::setClass(std::uint32_t index, const std::optional<ClassDocument>& document,
                     SettingsChange& terms) {
  Class& cls = classes_[index];
  cls.document = document;
  if (document) terms.classes.push_back({index, document->aim, document->worth, document->lateShare});
  else
    terms.classes.push_back(
        {index, cls.start.latencyObjective, cls.start.priorityWeight, cls.start.lateValueFraction});
}

// What a whole leaves out is not listed any more; a class returns to the terms of the start.
void Store::removeUnnamed(const Update& whole, SettingsChange& terms) {
  std::unordered_set<std::string> named;
  for (const Change& change : whole.changes)
    if (!isTenant(change.key)) named.insert(nameOf(change.key));
  for (std::uint32_t i = 0; i < classes_.size(); ++i)
    if (classes_[i].document && named.count(classes_[i].start.name) == 0) setClass(i, std::nullopt, terms);
  for (auto& [name, tenant] : tenants_)
    if (tenant.whole != wholes_) removeTenant(name, terms);
}

std::string Store::text() const {
  std::vector<std::string> entries;
  entries.reserve(listed_ + classes_.size());
  for (const auto& [name, tenant] : tenants_)
    if (tenant.listed)
      entries.push_back(
          entryText({std::string(kTenantPrefix) + name, TenantDocument{name, tenant.quotaPerSecond}}));
  for (const Class& cls : classes_)
    if (cls.document)
      entries.push_back(entryText({std::string(kClassPrefix) + cls.start.name, *cls.document}));
  return updateText(position_.version, position_.hash, true, entries);
}

}  // namespace finchstile::configuration
