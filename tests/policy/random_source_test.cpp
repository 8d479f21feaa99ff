// RandomSource: the same sequence for a seed on every platform.
#include "policy/random_source.hpp"

#include <gtest/gtest.h>

#include <random>

namespace finchstile::load_balancing::testing {
namespace {

// The C++ standard specifies this 10,000th value of the engine for the default seed.
TEST(RandomSource, YieldsSequenceOfStandardEngine) {
  RandomSource random(std::mt19937_64::default_seed);
  for (int i = 1; i < 10'000; ++i) random.unit();
  EXPECT_EQ(random.unit(), static_cast<double>(9981545732273789042ULL >> 11) * 0x1.0p-53);
}

TEST(RandomSource, StaysWithinItsBounds) {
  RandomSource random(3);
  for (int i = 0; i < 1000; ++i) {
    const double unit = random.unit();
    EXPECT_GE(unit, 0);
    EXPECT_LT(unit, 1);
    EXPECT_LT(random.below(7), 7U);
  }
  EXPECT_EQ(random.below(0), 0U);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
