#include "trace/request_sampling.hpp"

#include <gtest/gtest.h>

#include <string>

namespace finchstile::trace {
namespace {

// The sample of a smaller fraction is a subset of that of a larger one.
TEST(RequestSampling, ChoosesTheFractionAndNestsSmallerSamples) {
  int tenth = 0;
  int half = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string id = "id-" + std::to_string(i);
    EXPECT_TRUE(isSampled(id, 1));
    EXPECT_FALSE(isSampled(id, 0));
    tenth += isSampled(id, 0.1);
    half += isSampled(id, 0.5);
    if (isSampled(id, 0.1)) EXPECT_TRUE(isSampled(id, 0.5)) << id;
  }
  EXPECT_NEAR(tenth, 2000, 200);
  EXPECT_NEAR(half, 10000, 400);
}

// Gateways of different versions must choose the same requests.
TEST(RequestSampling, ChoosesSameIdsInAllVersions) {
  std::string sampled;
  for (int i = 0; i < 100; ++i)
    if (isSampled("id-" + std::to_string(i), 0.1)) sampled += std::to_string(i) + " ";
  EXPECT_EQ(sampled, "11 13 30 31 42 57 84 88 ");
}

}  // namespace
}  // namespace finchstile::trace
