// Documents, settings and updates for the tests of the configuration.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/configuration_store.hpp"
#include "control_log.hpp"

namespace finchstile::configuration::testing {

inline DocumentChange tenant(const std::string& name, double quota) {
  return {std::string(kTenantPrefix) + name, TenantDocument{name, quota}};
}
inline DocumentChange noTenant(const std::string& name) {
  return {std::string(kTenantPrefix) + name, std::nullopt};
}
inline DocumentChange classOf(const std::string& name, double worth, int aimMs, double lateShare = 0) {
  return {std::string(kClassPrefix) + name,
          ClassDocument{name, worth, std::chrono::milliseconds(aimMs), lateShare}};
}

// One class "read" with a latency objective of 400 ms and a client timeout of a second, and two tenants.
inline load_balancing::Settings startSettings() {
  load_balancing::Settings s;
  load_balancing::ClassSettings read;
  read.name = "read";
  read.latencyObjective = std::chrono::milliseconds(400);
  read.clientTimeout = std::chrono::seconds(1);
  read.priorityWeight = 12;
  s.classes = {read};
  s.tenants = {{"acme", 10}, {"mill", 20}};
  return s;
}

// The update that a log answers to a poll of the store; empty: there is nothing newer.
inline std::optional<Update> nextUpdate(fake_upstream::ControlLog& log, const ConfigurationStore& store) {
  const auto reply = log.answer({"n0", store.versionState(), {}}, 0);
  return reply ? std::optional(parseUpdate(reply->body)) : std::nullopt;
}
inline ApplyOutcome sync(fake_upstream::ControlLog& log, ConfigurationStore& store) {
  const auto update = nextUpdate(log, store);
  if (!update) return {};
  return store.apply(*update);
}

}  // namespace finchstile::configuration::testing
