// Terms of classes and tenants that change while requests are open.
#include <limits>
#include <stdexcept>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

constexpr std::uint32_t kHeavy = 0, kLight = 1;

Settings withTenants(double heavyQuota, double lightQuota) {
  Settings s = makeSettings();
  s.tenants = {{"heavy", heavyQuota}, {"light", lightQuota}};
  return s;
}

// Requests of two tenants, of which so many attempts end in errors that the lowest scores are refused.
struct Overload {
  explicit Overload(const Settings& s) : driver(s, 8) {}

  void play(int rounds) {
    refused = {};
    for (int i = 0; i < rounds; ++i) {
      driver.advance(milliseconds(5));
      for (const std::uint32_t tenant : {kHeavy, kHeavy, kLight}) {
        const RequestId id = ask(tenant);
        if (driver.refused(id)) ++refused[tenant];
        while (!driver.out.empty()) answer(Sent(driver.out.front()));
      }
    }
  }
  RequestId ask(std::uint32_t tenant) {
    Request q;
    q.id = ++driver.last;
    q.classIndex = 0;
    q.tenantIndex = tenant;
    q.timeLeft = milliseconds(1000);
    driver.balancer.onRequest(driver.now, q);
    driver.collect();
    return q.id;
  }
  void answer(const Sent& sent) {
    const bool fails = ++answers % 5 < 2;
    driver.settle(sent, fails ? Outcome::error : Outcome::served, !fails);
  }

  Driver driver;
  std::map<std::uint32_t, int> refused;
  int answers = 0;
};

TEST(Terms, ANewQuotaShowsInWhoIsRefused) {
  Overload overload(withTenants(20, 1000));
  overload.play(600);
  ASSERT_GT(overload.driver.balancer.admissionCutoff(), 1);
  const int heavyBefore = overload.refused[kHeavy], lightBefore = overload.refused[kLight];
  EXPECT_GT(heavyBefore, 20);
  EXPECT_GT(heavyBefore, 10 * lightBefore);
  DynamicSettings swapped;
  swapped.tenants = {{kHeavy, 1000}, {kLight, 5}};
  overload.driver.balancer.onDynamicSettings(overload.driver.now, swapped);
  overload.play(3000);  // the mix of worths is remembered for some seconds
  overload.play(600);
  EXPECT_GT(overload.refused[kLight], 20);
  EXPECT_GT(overload.refused[kLight], 10 * overload.refused[kHeavy]);
}

TEST(Terms, ATenantThatComesLaterIsHeldToItsQuota) {
  Settings s = makeSettings();
  Overload overload(s);
  DynamicSettings terms;
  terms.tenants = {{kLight, 1000}, {kHeavy, 20}};
  overload.driver.balancer.onDynamicSettings(overload.driver.now, terms);
  overload.play(600);
  EXPECT_GT(overload.refused[kHeavy], 20);
  EXPECT_GT(overload.refused[kHeavy], 10 * overload.refused[kLight]);
}

// Hard case: many changes must not give a tenant a full bucket again each time.
TEST(Terms, AChangeOfAQuotaDoesNotFillItsBucket) {
  Overload overload(withTenants(20, 1000));
  overload.play(600);
  const int before = overload.refused[kHeavy];
  overload.refused = {};
  int refused = 0;
  for (int i = 0; i < 600; ++i) {
    DynamicSettings same;
    same.tenants = {{kHeavy, i % 2 == 0 ? 20.0 : 20.5}};
    overload.driver.balancer.onDynamicSettings(overload.driver.now, same);
    overload.play(1);
    refused += overload.refused[kHeavy];
  }
  EXPECT_GT(refused, before / 2);
}

// Hard case: an answer past the aim still earned when the request came, and no longer does for those that
// come now.
TEST(Terms, OpenRequestsEndUnderTheTermsTheyBeganWith) {
  Settings s = makeSettings();
  s.classes[0].lateValueFraction = 0.5;
  Driver d(s);
  const RequestId before = d.request(0);
  DynamicSettings terms;
  terms.classes = {{0, milliseconds(400), 10, 0}};
  d.balancer.onDynamicSettings(d.now, terms);
  const RequestId after = d.request(0);
  d.advance(milliseconds(500));  // past the aim of both
  const std::size_t sentBefore = d.sent.size();
  for (const Sent& sent : std::vector<Sent>(d.out)) d.settle(sent, Outcome::connectFailed, false);
  ASSERT_EQ(d.sent.size(), sentBefore + 1);
  EXPECT_EQ(d.lastSent().request, before);
  EXPECT_TRUE(d.refused(after));
}

TEST(Terms, AnAimHoldsForRequestsThatComeAfterIt) {
  Driver d(makeSettings());
  DynamicSettings terms;
  terms.classes = {{0, milliseconds(900), 10, 0}};
  d.balancer.onDynamicSettings(d.now, terms);
  d.request(0);
  EXPECT_GT(d.lastSent().limit, milliseconds(600));  // 400 ms by the start's aim
  EXPECT_LE(d.lastSent().limit, milliseconds(900));
}

TEST(Terms, OneBadTermAndNothingIsTaken) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const auto withClass = [](DynamicSettings::ClassUpdate c) {
    DynamicSettings t;
    t.classes = {{0, milliseconds(900), 10, 0}, c};
    return t;
  };
  const auto withTenant = [](DynamicSettings::TenantUpdate tenant) {
    DynamicSettings t;
    t.classes = {{0, milliseconds(900), 10, 0}};
    t.tenants = {tenant};
    return t;
  };
  Driver d(makeSettings());
  for (const DynamicSettings& bad :
       {withClass({3, milliseconds(1), 1, 0}), withClass({1, Duration{}, 1, 0}),
        withClass({1, seconds(2), 1, 0}), withClass({1, milliseconds(1), -1, 0}),
        withClass({1, milliseconds(1), nan, 0}), withClass({1, milliseconds(1), 1, 1.5}), withTenant({0, -1}),
        withTenant({0, nan}), withTenant({static_cast<std::uint32_t>(kMaxTenants), 1})}) {
    EXPECT_THROW(d.balancer.onDynamicSettings(d.now, bad), std::invalid_argument);
    d.request(0);
    EXPECT_LE(d.lastSent().limit, milliseconds(400));  // still the aim of the start
  }
}

// The count of what is held must follow hosts that fail, drain and answer in any order: a pool that is held
// full is cut, and one that has answered all is not.
TEST(Terms, WhatIsHeldIsCountedThroughDrainsAndAnswers) {
  Settings s = makeSettings();
  Driver d(s, 4);
  d.warmUp(0, 60);
  for (int i = 0; i < 400; ++i) {
    d.request(0, milliseconds(1000));
    if (i % 40 == 0) {
      HostEntry host = makeHost(i / 40 % 4, "east", 0);
      host.phase = i / 40 % 2 == 0 ? HostPhase::draining : HostPhase::active;
      d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {host});
      d.collect();
    }
  }
  EXPECT_GT(d.balancer.admissionCutoff(), 50);
  while (!d.out.empty()) d.serve(Sent(d.out.front()));
  d.advance(seconds(5));
  EXPECT_LT(d.balancer.admissionCutoff(), 1);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
