// DynamicSettings: classes and tenants change while requests are active.
#include <limits>
#include <stdexcept>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

constexpr std::uint32_t kHeavyTenant = 0, kLightTenant = 1;

Settings withTenants(double heavyQuota, double lightQuota) {
  Settings s = makeSettings();
  s.tenants = {{"heavy", heavyQuota}, {"light", lightQuota}};
  return s;
}

// Requests of two tenants; so many attempts end in errors that the lowest scores are rejected.
struct Overload {
  explicit Overload(const Settings& s) : driver(s, 8) {}

  void play(int rounds) {
    refused = {};
    for (int i = 0; i < rounds; ++i) {
      driver.advance(milliseconds(5));
      for (const std::uint32_t tenant : {kHeavyTenant, kHeavyTenant, kLightTenant}) {
        const RequestId id = request(tenant);
        if (driver.refused(id)) ++refused[tenant];
        while (!driver.out.empty()) answer(SentAttempt(driver.out.front()));
      }
    }
  }
  RequestId request(std::uint32_t tenant) {
    Request q;
    q.id = ++driver.last;
    q.classIndex = 0;
    q.tenantIndex = tenant;
    q.timeLeft = milliseconds(1000);
    driver.balancer.onRequest(driver.now, q);
    driver.collect();
    return q.id;
  }
  void answer(const SentAttempt& sent) {
    const bool fails = ++answers % 5 < 2;
    driver.settle(sent, fails ? Outcome::error : Outcome::served, !fails);
  }

  Driver driver;
  std::map<std::uint32_t, int> refused;
  int answers = 0;
};

TEST(DynamicSettings, NewQuotaDecidesWhoIsRejected) {
  Overload overload(withTenants(20, 1000));
  overload.play(600);
  ASSERT_GT(overload.driver.balancer.admissionCutoff(), 1);
  const int heavyBefore = overload.refused[kHeavyTenant], lightBefore = overload.refused[kLightTenant];
  EXPECT_GT(heavyBefore, 20);
  EXPECT_GT(heavyBefore, 10 * lightBefore);
  DynamicSettings swapped;
  swapped.tenants = {{kHeavyTenant, 1000}, {kLightTenant, 5}};
  overload.driver.balancer.onDynamicSettings(overload.driver.now, swapped);
  overload.play(3000);  // the mix of priorities is remembered for some seconds
  overload.play(600);
  EXPECT_GT(overload.refused[kLightTenant], 20);
  EXPECT_GT(overload.refused[kLightTenant], 10 * overload.refused[kHeavyTenant]);
}

TEST(DynamicSettings, NewTenantIsHeldToItsQuota) {
  Settings s = makeSettings();
  Overload overload(s);
  DynamicSettings update;
  update.tenants = {{kLightTenant, 1000}, {kHeavyTenant, 20}};
  overload.driver.balancer.onDynamicSettings(overload.driver.now, update);
  overload.play(600);
  EXPECT_GT(overload.refused[kHeavyTenant], 20);
  EXPECT_GT(overload.refused[kHeavyTenant], 10 * overload.refused[kLightTenant]);
}

// Many changes must not give a tenant a full bucket each time.
TEST(DynamicSettings, ChangeOfQuotaDoesNotFillItsBucket) {
  Overload overload(withTenants(20, 1000));
  overload.play(600);
  const int before = overload.refused[kHeavyTenant];
  overload.refused = {};
  int refused = 0;
  for (int i = 0; i < 600; ++i) {
    DynamicSettings same;
    same.tenants = {{kHeavyTenant, i % 2 == 0 ? 20.0 : 20.5}};
    overload.driver.balancer.onDynamicSettings(overload.driver.now, same);
    overload.play(1);
    refused += overload.refused[kHeavyTenant];
  }
  EXPECT_GT(refused, before / 2);
}

// An answer past the objective had value when the first request came, and has none for the second.
TEST(DynamicSettings, ActiveRequestsKeepTheSettingsOfTheirArrival) {
  Settings s = makeSettings();
  s.classes[0].lateValueFraction = 0.5;
  Driver d(s);
  const RequestId before = d.request(0);
  DynamicSettings update;
  update.classes = {{0, milliseconds(400), 10, 0}};
  d.balancer.onDynamicSettings(d.now, update);
  const RequestId after = d.request(0);
  d.advance(milliseconds(500));  // past the aim of both
  const std::size_t sentBefore = d.sent.size();
  for (const SentAttempt& sent : std::vector<SentAttempt>(d.out))
    d.settle(sent, Outcome::connectFailed, false);
  ASSERT_EQ(d.sent.size(), sentBefore + 1);
  EXPECT_EQ(d.lastSent().request, before);
  EXPECT_TRUE(d.refused(after));
}

TEST(DynamicSettings, NewObjectiveHoldsForLaterRequests) {
  Driver d(makeSettings());
  DynamicSettings update;
  update.classes = {{0, milliseconds(900), 10, 0}};
  d.balancer.onDynamicSettings(d.now, update);
  d.request(0);
  EXPECT_GT(d.lastSent().limit, milliseconds(600));  // 400 ms by the start's aim
  EXPECT_LE(d.lastSent().limit, milliseconds(900));
}

TEST(DynamicSettings, OneInvalidValueRejectsAll) {
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

}  // namespace
}  // namespace finchstile::load_balancing::testing
