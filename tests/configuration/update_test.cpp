// Error codes of texts that are not valid updates, and descriptions of validation errors.
#include "configuration/update.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace finchstile::configuration::testing {
namespace {

using Code = UpdateParseError::Code;

std::optional<Code> parseErrorOf(std::string_view text) {
  try {
    parseUpdate(text);
    return std::nullopt;
  } catch (const UpdateParseError& error) {
    return error.code();
  }
}

TEST(Update, ErrorOfAnInvalidTextHasItsCode) {
  EXPECT_EQ(parseErrorOf("noise"), Code::invalidJson);
  EXPECT_EQ(parseErrorOf("{}"), Code::invalidJson);
  EXPECT_EQ(parseErrorOf(R"({"epoch":1,"index":"x","snapshot":true,"hash":"0000000000000000","entries":[]})"),
            Code::invalidJson);
  EXPECT_EQ(parseErrorOf(R"({"epoch":1,"index":1,"snapshot":true,"hash":"00","entries":[]})"),
            Code::invalidHash);
  EXPECT_EQ(parseErrorOf(R"({"epoch":1,"index":1,"snapshot":true,"hash":"000000000000000g","entries":[]})"),
            Code::invalidHash);
  EXPECT_EQ(parseErrorOf(R"({"epoch":1,"index":1,"snapshot":true,"hash":"0000000000000000","entries":{}})"),
            Code::invalidEntries);
  EXPECT_EQ(parseErrorOf(R"({"epoch":1,"index":1,"snapshot":true,"hash":"0000000000000000","entries":[]})"),
            std::nullopt);
}

TEST(Update, ErrorQuotesAnInvalidHashUpToItsLimit) {
  try {
    parseUpdate(R"({"epoch":1,"index":1,"snapshot":true,"hash":")" + std::string(100, 'x') +
                R"(","entries":[]})");
    FAIL();
  } catch (const UpdateParseError& error) {
    EXPECT_EQ(error.what(), "hash must be 16 hexadecimal digits, and is '" + std::string(32, 'x') + "'");
  }
}

TEST(ValidationError, DescribesTheFirstThreeErrorsAndCountsTheOthers) {
  const ValidationError withField{"tenant/a", "quota_per_second", "is missing"};
  const ValidationError withoutField{"tenant/b", "", "stands twice"};
  EXPECT_EQ(describe(withField), "tenant/a.quota_per_second: is missing");
  EXPECT_EQ(describe(withoutField), "tenant/b: stands twice");
  EXPECT_EQ(describe(std::vector<ValidationError>{}), "");
  EXPECT_EQ(describe(std::vector{withoutField, withField}),
            "tenant/b: stands twice; tenant/a.quota_per_second: is missing");
  EXPECT_EQ(describe(std::vector(5, withoutField)),
            "tenant/b: stands twice; tenant/b: stands twice; tenant/b: stands twice; and 2 more");
}

}  // namespace
}  // namespace finchstile::configuration::testing
