// Short forms of what the tests of the configuration are about.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/store.hpp"
#include "control_log.hpp"

namespace finchstile::configuration::testing {

inline Change tenant(const std::string& name, double quota) {
  return {std::string(kTenantPrefix) + name, TenantDocument{name, quota}};
}
inline Change noTenant(const std::string& name) { return {std::string(kTenantPrefix) + name, std::nullopt}; }
inline Change classOf(const std::string& name, double worth, int aimMs, double lateShare = 0) {
  return {std::string(kClassPrefix) + name,
          ClassDocument{name, worth, std::chrono::milliseconds(aimMs), lateShare}};
}

// One class "read", aim 400 ms, given up after a second, and two tenants.
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

// The answer that a log gives to a store, as an update.
inline std::optional<Update> answerTo(fake_upstream::ControlLog& log, const Store& store) {
  const auto reply = log.answer({"n0", store.position(), {}}, 0);
  return reply ? std::optional(parseUpdate(reply->body)) : std::nullopt;
}
inline Result sync(fake_upstream::ControlLog& log, Store& store) {
  const auto update = answerTo(log, store);
  if (!update) return {};
  return store.apply(*update);
}

}  // namespace finchstile::configuration::testing
