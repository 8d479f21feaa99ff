// Documents, settings and updates for the configuration tests.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/configuration_store.hpp"
#include "control_log.hpp"

namespace finchstile::configuration::testing {

inline DocumentChange tenantChange(const std::string& name, double quota) {
  return {std::string(kTenantPrefix) + name, TenantDocument{name, quota}};
}
inline DocumentChange tenantRemoval(const std::string& name) {
  return {std::string(kTenantPrefix) + name, std::nullopt};
}
inline DocumentChange classChange(const std::string& name, double weight, int objectiveMs,
                                  double lateFraction = 0) {
  return {std::string(kClassPrefix) + name,
          ClassDocument{name, weight, std::chrono::milliseconds(objectiveMs), lateFraction}};
}

// One class "read" with a latency objective of 400 ms and a client timeout of 1 s, and two tenants.
inline load_balancing::Settings initialSettings() {
  load_balancing::Settings settings;
  load_balancing::ClassSettings read;
  read.name = "read";
  read.latencyObjective = std::chrono::milliseconds(400);
  read.clientTimeout = std::chrono::seconds(1);
  read.priorityWeight = 12;
  settings.classes = {read};
  settings.tenants = {{"acme", 10}, {"mill", 20}};
  return settings;
}

// The update with which the log responds to a poll of the store; empty if there is no newer version.
inline std::optional<Update> nextUpdate(fake_upstream::ControlLog& log, const ConfigurationStore& store) {
  const auto reply = log.answer({"n0", store.versionState(), {}}, 0);
  return reply ? std::optional(parseUpdate(reply->body)) : std::nullopt;
}
// Polls the log once and applies the update, if there is one.
inline ApplyOutcome applyNextUpdate(fake_upstream::ControlLog& log, ConfigurationStore& store) {
  const auto update = nextUpdate(log, store);
  if (!update) return {};
  return store.apply(*update);
}

}  // namespace finchstile::configuration::testing
