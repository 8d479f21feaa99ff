// The encoding of the records of the idempotency log, and the rejection of invalid records.
#include "idempotency/log_record.hpp"

#include <gtest/gtest.h>

#include "support/bytes.hpp"

namespace finchstile::idempotency {
namespace {

using testing::fromHex;

std::vector<LogRecord> examples() {
  RunStarted again{7, Time(-3), {1, ~std::uint64_t{0}}, "acme", "put", std::string("k\0y", 3), std::nullopt};
  const RunStarted fresh = again;
  again.earlierAttempt = EarlierAttempt{"east", -2, Time(99)};
  RunFinished answered{7, Time(100), KeyState::completed, {201, "text/plain", std::string(70'000, 'b')}};
  return {Session{{3, 4}, {"boot-1", -5, 1'700'000'000'000'000'000}},
          fresh,
          again,
          AttemptSent{8, {"west", 3, Time(5)}},
          AttemptNotExecuted{9},
          answered,
          RunFinished{7, Time(100), KeyState::uncertain, {}},
          RunFinished{7, Time(100), KeyState::unused, {}}};
}

TEST(LogRecord, RoundTripsEachKind) {
  for (const LogRecord& r : examples()) {
    const auto back = decode(encode(r));
    ASSERT_TRUE(back) << r.index();
    EXPECT_EQ(back->index(), r.index());
    EXPECT_EQ(encode(*back), encode(r));
  }
  const auto back = decode(encode(examples()[2]));
  const RunStarted& b = std::get<RunStarted>(*back);
  EXPECT_EQ(b.run, 7u);
  EXPECT_EQ(b.startedAt, Time(-3));
  EXPECT_EQ(b.fingerprint, (Fingerprint{1, ~std::uint64_t{0}}));
  EXPECT_EQ(b.key, std::string("k\0y", 3));
  ASSERT_TRUE(b.earlierAttempt);
  EXPECT_EQ(b.earlierAttempt->zone, "east");
  EXPECT_EQ(b.earlierAttempt->cell, -2);
  EXPECT_EQ(b.earlierAttempt->sentAt, Time(99));
}

TEST(LogRecord, RejectsTruncatedAndTrailingBytes) {
  for (const LogRecord& r : examples()) {
    const std::string bytes = encode(r);
    for (std::size_t n = 0; n < bytes.size(); n += n < 200 ? 1 : 997)
      EXPECT_FALSE(decode(bytes.substr(0, n))) << r.index() << " " << n;
    EXPECT_FALSE(decode(bytes + '\0'));
  }
}

TEST(LogRecord, RejectsInvalidFields) {
  EXPECT_FALSE(decode(""));
  EXPECT_FALSE(decode("\x06"));  // unknown kind
  std::string later = encode(examples()[0]);
  later[1] = 2;  // a later version
  EXPECT_FALSE(decode(later));
  std::string state = encode(examples()[7]);
  state.back() = 1;  // `running` is not valid in RunFinished
  EXPECT_FALSE(decode(state));
  state.back() = 4;
  EXPECT_FALSE(decode(state));
  std::string has = encode(examples()[1]);
  has.back() = 2;  // neither 0 nor 1
  EXPECT_FALSE(decode(has));
  RunFinished odd{7, Time(100), KeyState::completed, {99, "", ""}};
  EXPECT_FALSE(decode(encode(odd)));
}

// A log outlives the version that wrote it, so the encoding of each kind must not change.
TEST(LogRecord, BytesOfEachKindAreFixed) {
  const std::string key("k\0y", 3);
  const Fingerprint fingerprint{1, 0x0203040506070809};
  const std::vector<std::pair<LogRecord, const char*>> fixed = {
      {Session{{3, 4}, {"boot-1", -5, 1'700'000'000'000'000'000}},
       "01"
       "01"
       "0300000000000000"
       "0400000000000000"
       "0600626f6f742d31"
       "fbffffffffffffff"
       "00002a36fe9c9717"},
      {RunStarted{7, Time(-3), fingerprint, "acme", "put", key, std::nullopt},
       "02"
       "0700000000000000"
       "fdffffffffffffff"
       "0100000000000000"
       "0908070605040302"
       "040061636d65"
       "0300707574"
       "03006b0079"
       "00"},
      {RunStarted{7, Time(-3), fingerprint, "acme", "put", key, EarlierAttempt{"east", -2, Time(99)}},
       "02"
       "0700000000000000"
       "fdffffffffffffff"
       "0100000000000000"
       "0908070605040302"
       "040061636d65"
       "0300707574"
       "03006b0079"
       "01"
       "040065617374"
       "feffffffffffffff"
       "6300000000000000"},
      {AttemptSent{8, {"west", 3, Time(5)}},
       "03"
       "0800000000000000"
       "040077657374"
       "0300000000000000"
       "0500000000000000"},
      {AttemptNotExecuted{9},
       "04"
       "0900000000000000"},
      {RunFinished{7, Time(100), KeyState::completed, {201, "text/plain", "body"}},
       "05"
       "0700000000000000"
       "6400000000000000"
       "02"
       "c900"
       "0a00746578742f706c61696e"
       "04000000626f6479"},
      {RunFinished{7, Time(100), KeyState::uncertain, {}},
       "05"
       "0700000000000000"
       "6400000000000000"
       "03"},
      {RunFinished{7, Time(100), KeyState::unused, {}},
       "05"
       "0700000000000000"
       "6400000000000000"
       "00"}};
  for (const auto& [record, hex] : fixed) {
    EXPECT_EQ(encode(record), fromHex(hex)) << record.index();
    const auto back = decode(fromHex(hex));
    ASSERT_TRUE(back) << record.index();
    EXPECT_EQ(back->index(), record.index());
  }
}

}  // namespace
}  // namespace finchstile::idempotency
