// Settings: invalid settings are rejected with an error naming the setting.
#include "policy/settings.hpp"

#include <cmath>
#include <stdexcept>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(Settings, RejectsInvalidValuesByName) {
  const auto message = [](const Settings& s) -> std::string {
    try {
      LoadBalancer b(s, Time{});
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(message(makeSettings()), "");
  Settings s = makeSettings();
  s.classes.clear();
  EXPECT_NE(message(s).find("class"), std::string::npos);
  s = makeSettings();
  s.gatewayCount = 0;
  EXPECT_NE(message(s).find("groupSize"), std::string::npos);
  s.gatewayCount = 4;
  s.gatewayIndex = 4;
  EXPECT_NE(message(s).find("myNumber is 4, not 0 to 3"), std::string::npos) << message(s);
  s = makeSettings();
  s.initialCapacityFraction = 0;
  EXPECT_NE(message(s).find("coldShare"), std::string::npos);
  s = makeSettings();
  s.classes[1].latencyObjective = Duration{};
  EXPECT_NE(message(s).find("write"), std::string::npos);
  s = makeSettings();
  s.classes[1].priorityWeight = std::nan("");
  EXPECT_NE(message(s).find("worth"), std::string::npos);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
