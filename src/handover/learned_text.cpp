#include "handover/learned_text.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace finchstile::handover {
namespace {

using load_balancing::Duration;
using load_balancing::LearnedState;
using nlohmann::json;

json number(double value) { return std::isfinite(value) ? json(value) : json(nullptr); }
double read(const json& value) { return value.is_number() ? value.get<double>() : std::nan(""); }
Duration span(const json& value) { return Duration(value.get<std::int64_t>()); }

// What the next process would assume of it anyway.
bool blank(const LearnedState::Host& h) {
  return h.relativeLatency == 1 && h.failureRate == 0 && h.answerRate == 0 && h.ejectedFor == Duration{} &&
         h.ejections == 0;
}

}  // namespace

LearnedStateText encodeLearnedState(const LearnedState& l) {
  json out = {{"v", 1},
              {"age", l.age.count()},
              {"pool",
               {number(l.arrivalRate), number(l.arrivalSamples), number(l.answers), number(l.inTimeRate),
                number(l.meanLatencyObjective), number(l.meanTypicalLatency), number(l.unloadedConcurrency),
                number(l.servedFraction)}},
              {"classes", json::array()},
              {"kinds", json::array()},
              {"levels", json::array()},
              {"hosts", json::array()}};
  for (const auto& c : l.classes)
    out["classes"].push_back({c.name, number(c.typicalLatency), number(c.meanExpectedWork),
                              number(c.lateRetryFraction), c.typicalTimeLeft.count()});
  for (const auto& k : l.machineTypes)
    out["kinds"].push_back({k.name, number(k.provenRate), number(k.relativeLatency)});
  for (const auto& v : l.priorityLevels)
    out["levels"].push_back({number(v.priorityWeight), number(v.recentRequests)});
  const auto text = [](const json& j) { return j.dump(-1, ' ', false, json::error_handler_t::replace); };
  std::size_t size = text(out).size();
  std::vector<const LearnedState::Host*> hosts;
  for (const auto& h : l.hosts)
    if (!blank(h)) hosts.push_back(&h);
  const auto rank = [](const LearnedState::Host& h) {  // danger: what is no number has no place in an order
    return std::pair(h.ejectedFor, std::isfinite(h.answerRate) ? h.answerRate : 0);
  };
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&](const auto* a, const auto* b) { return rank(*a) > rank(*b); });
  LearnedStateText result;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const LearnedState::Host& h = *hosts[i];
    json host = {h.address,
                 h.uptime.count(),
                 number(h.relativeLatency),
                 number(h.failureRate),
                 number(h.answerRate),
                 h.ejectedFor.count(),
                 h.ejections};
    size += text(host).size() + 1;
    if (size > kMaxLearnedStateBytes) {
      result.leftOut = hosts.size() - i;
      break;
    }
    out["hosts"].push_back(std::move(host));
  }
  result.text = text(out);
  return result;
}

std::optional<LearnedState> decodeLearnedState(std::string_view text) try {
  const json in = json::parse(text);
  if (in.at("v") != 1) return std::nullopt;
  LearnedState l;
  l.age = span(in.at("age"));
  const json& pool = in.at("pool");
  double* const into[] = {&l.arrivalRate,         &l.arrivalSamples,       &l.answers,
                          &l.inTimeRate,          &l.meanLatencyObjective, &l.meanTypicalLatency,
                          &l.unloadedConcurrency, &l.servedFraction};
  if (pool.size() != std::size(into)) return std::nullopt;
  for (std::size_t i = 0; i < std::size(into); ++i) *into[i] = read(pool.at(i));
  for (const json& c : in.at("classes"))
    l.classes.push_back(
        {c.at(0).get<std::string>(), read(c.at(1)), read(c.at(2)), read(c.at(3)), span(c.at(4))});
  for (const json& k : in.at("kinds"))
    l.machineTypes.push_back({k.at(0).get<std::string>(), read(k.at(1)), read(k.at(2))});
  for (const json& v : in.at("levels")) l.priorityLevels.push_back({read(v.at(0)), read(v.at(1))});
  for (const json& h : in.at("hosts"))
    l.hosts.push_back({h.at(0).get<std::string>(), span(h.at(1)), read(h.at(2)), read(h.at(3)), read(h.at(4)),
                       span(h.at(5)), h.at(6).get<int>()});
  return l;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace finchstile::handover
