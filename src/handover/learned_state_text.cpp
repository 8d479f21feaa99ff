#include "handover/learned_state_text.hpp"

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

constexpr int kFormatVersion = 1;

// Values that are not finite become null.
json fromNumber(double value) { return std::isfinite(value) ? json(value) : json(nullptr); }
double toNumber(const json& value) { return value.is_number() ? value.get<double>() : std::nan(""); }
Duration toDuration(const json& value) { return Duration(value.get<std::int64_t>()); }

std::string toText(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

// Returns whether the host has the values that the successor assumes for a host without learned state.
bool isDefault(const LearnedState::Host& host) {
  return host.relativeLatency == 1 && host.failureRate == 0 && host.answerRate == 0 &&
         host.ejectedFor == Duration{} && host.ejections == 0;
}

json fromPool(const LearnedState& learned) {
  return {fromNumber(learned.arrivalRate),
          fromNumber(learned.arrivalSamples),
          fromNumber(learned.answers),
          fromNumber(learned.inTimeRate),
          fromNumber(learned.meanLatencyObjective),
          fromNumber(learned.meanTypicalLatency),
          fromNumber(learned.unloadedConcurrency),
          fromNumber(learned.servedFraction)};
}

bool toPool(const json& pool, LearnedState& learned) {
  double* const fields[] = {
      &learned.arrivalRate,         &learned.arrivalSamples,       &learned.answers,
      &learned.inTimeRate,          &learned.meanLatencyObjective, &learned.meanTypicalLatency,
      &learned.unloadedConcurrency, &learned.servedFraction};
  if (pool.size() != std::size(fields)) return false;
  for (std::size_t i = 0; i < std::size(fields); ++i) *fields[i] = toNumber(pool.at(i));
  return true;
}

json fromHost(const LearnedState::Host& host) {
  return {host.address,
          host.uptime.count(),
          fromNumber(host.relativeLatency),
          fromNumber(host.failureRate),
          fromNumber(host.answerRate),
          host.ejectedFor.count(),
          host.ejections};
}

LearnedState::Host toHost(const json& host) {
  return {host.at(0).get<std::string>(), toDuration(host.at(1)), toNumber(host.at(2)), toNumber(host.at(3)),
          toNumber(host.at(4)),          toDuration(host.at(5)), host.at(6).get<int>()};
}

// Returns the hosts with learned values, the most important ones first.
std::vector<const LearnedState::Host*> rankedHosts(const LearnedState& learned) {
  std::vector<const LearnedState::Host*> hosts;
  for (const auto& host : learned.hosts)
    if (!isDefault(host)) hosts.push_back(&host);
  // NaN has no order and would break the sort.
  const auto rank = [](const LearnedState::Host& host) {
    return std::pair(host.ejectedFor, std::isfinite(host.answerRate) ? host.answerRate : 0);
  };
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&rank](const auto* a, const auto* b) { return rank(*a) > rank(*b); });
  return hosts;
}

}  // namespace

LearnedStateText encodeLearnedState(const LearnedState& learned) {
  json out = {{"v", kFormatVersion},      {"age", learned.age.count()}, {"pool", fromPool(learned)},
              {"classes", json::array()}, {"kinds", json::array()},     {"levels", json::array()},
              {"hosts", json::array()}};
  for (const auto& requestClass : learned.classes)
    out["classes"].push_back({requestClass.name, fromNumber(requestClass.typicalLatency),
                              fromNumber(requestClass.meanExpectedWork),
                              fromNumber(requestClass.lateRetryFraction),
                              requestClass.typicalTimeLeft.count()});
  for (const auto& type : learned.machineTypes)
    out["kinds"].push_back({type.name, fromNumber(type.provenRate), fromNumber(type.relativeLatency)});
  for (const auto& level : learned.priorityLevels)
    out["levels"].push_back({fromNumber(level.priorityWeight), fromNumber(level.recentRequests)});
  const auto hosts = rankedHosts(learned);
  LearnedStateText result;
  std::size_t bytes = toText(out).size();
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    json host = fromHost(*hosts[i]);
    bytes += toText(host).size() + 1;
    if (bytes > kMaxLearnedStateBytes) {
      result.omittedHosts = hosts.size() - i;
      break;
    }
    out["hosts"].push_back(std::move(host));
  }
  result.text = toText(out);
  return result;
}

std::optional<LearnedState> decodeLearnedState(std::string_view text) try {
  const json in = json::parse(text);
  if (in.at("v") != kFormatVersion) return std::nullopt;
  LearnedState learned;
  learned.age = toDuration(in.at("age"));
  if (!toPool(in.at("pool"), learned)) return std::nullopt;
  for (const json& entry : in.at("classes"))
    learned.classes.push_back({entry.at(0).get<std::string>(), toNumber(entry.at(1)), toNumber(entry.at(2)),
                               toNumber(entry.at(3)), toDuration(entry.at(4))});
  for (const json& entry : in.at("kinds"))
    learned.machineTypes.push_back(
        {entry.at(0).get<std::string>(), toNumber(entry.at(1)), toNumber(entry.at(2))});
  for (const json& entry : in.at("levels"))
    learned.priorityLevels.push_back({toNumber(entry.at(0)), toNumber(entry.at(1))});
  for (const json& entry : in.at("hosts")) learned.hosts.push_back(toHost(entry));
  return learned;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace finchstile::handover
