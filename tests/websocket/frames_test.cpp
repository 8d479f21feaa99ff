// Frame reader against the conformance cases, as a whole and split at arbitrary points; close codes and
// written frames.
#include "websocket/frames.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <random>

#include "websocket/codec.hpp"
#include "websocket/conformance.hpp"

namespace finchstile::websocket {
namespace {

using testing::bytesOf;
using testing::Case;
using testing::code;
using testing::conformance;
using testing::Frame;

FrameRules rules(const Case& c) { return {true, c.client, c.deflate, 1 << 20, 4 << 20}; }

struct ReadResult {
  std::string passed;
  std::optional<CloseCode> fault;
  bool closed = false, boundary = false;
};

// Feeds bytes like a relay: bytes that were not passed are fed again together with the next ones.
ReadResult readInPieces(const Case& c, const std::vector<std::size_t>& cuts) {
  FrameReader r(rules(c));
  ReadResult p;
  std::string held;
  std::size_t from = 0;
  for (std::size_t i = 0; i <= cuts.size() && !p.fault; ++i) {
    const std::size_t to = i < cuts.size() ? cuts[i] : c.bytes.size();
    held += c.bytes.substr(from, to - from);
    from = to;
    const FrameReader::Step s = r.feed(held.data(), held.size(), false);
    p.passed += held.substr(0, s.pass);
    held.erase(0, s.pass);
    p.fault = s.fault;
  }
  p.closed = r.closed();
  p.boundary = r.atBoundary();
  return p;
}

std::string name(const Case& c) { return c.section + " " + c.what + (c.client ? " (client)" : " (host)"); }

TEST(Conformance, EachCaseHasItsExpectedVerdict) {
  const auto all = conformance();
  EXPECT_GE(all.size(), 150u);
  for (const Case& c : all) {
    const ReadResult p = readInPieces(c, {});
    EXPECT_EQ(p.fault, c.fault) << name(c);
    EXPECT_EQ(p.closed, c.ends) << name(c);
    if (!c.fault && !c.ends) EXPECT_TRUE(p.passed == c.bytes && p.boundary) << name(c);
    EXPECT_TRUE(c.bytes.substr(0, p.passed.size()) == p.passed) << name(c);
  }
}

// One byte at a time, and cut at any two points.
TEST(Conformance, VerdictIsIndependentOfHowBytesAreSplit) {
  std::mt19937 random(3);
  for (const Case& c : conformance()) {
    const ReadResult whole = readInPieces(c, {});
    std::vector<std::vector<std::size_t>> cuttings;
    if (c.bytes.size() < 400) {
      std::vector<std::size_t> each;
      for (std::size_t i = 1; i < c.bytes.size(); ++i) {
        cuttings.push_back({i});
        each.push_back(i);
      }
      cuttings.push_back(each);
    }
    for (int i = 0; i < 5 && c.bytes.size() > 2; ++i) {
      std::size_t a = random() % c.bytes.size(), b = random() % c.bytes.size();
      cuttings.push_back({std::min(a, b), std::max(a, b)});
    }
    for (const auto& cuts : cuttings) {
      const ReadResult p = readInPieces(c, cuts);
      EXPECT_EQ(p.fault, whole.fault) << name(c);
      EXPECT_EQ(p.closed, whole.closed) << name(c);
      EXPECT_TRUE(p.passed == whole.passed)
          << name(c) << " " << p.passed.size() << " " << whole.passed.size();
    }
  }
}

// The table in docs/ must match the cases. FINCHSTILE_TABLE=FILE writes it.
TEST(Conformance, DocumentedTableMatchesTheCases) {
  std::string table =
      "# WebSocket: the list of conformance\n\nWritten by `websocket_test` "
      "(`FINCHSTILE_TABLE=docs/design/websocket_conformance.md`), which checks "
      "each verdict, whole and in pieces.\n\n"
      "| section of RFC 6455 | what a side sends | client | host |\n| --- | --- | --- | --- |\n";
  const auto verdict = [](const Case& c) {
    if (!c.fault) return std::string(c.ends ? "passes, ends" : "passes");
    return std::to_string(static_cast<unsigned>(*c.fault));
  };
  std::vector<std::pair<std::string, std::string>> rows;
  std::map<std::pair<std::string, std::string>, std::array<std::string, 2>> verdicts;
  for (const Case& c : conformance()) {
    const std::pair<std::string, std::string> row{c.section, c.what};
    if (verdicts.count(row) == 0) rows.push_back(row);
    verdicts[row][c.client ? 0 : 1] = verdict(c);
  }
  for (const auto& row : rows)
    table +=
        "| " + row.first + " | " + row.second + " | " + verdicts[row][0] + " | " + verdicts[row][1] + " |\n";
  if (const char* path = std::getenv("FINCHSTILE_TABLE")) std::ofstream(path) << table;
  std::ifstream file(FINCHSTILE_CONFORMANCE);
  const std::string documented{std::istreambuf_iterator<char>(file), {}};
  EXPECT_TRUE(documented == table) << "docs/design/websocket_conformance.md is another list";
}

TEST(Frames, ForwardsNothingOfAnInvalidHeader) {
  Case c{"", "", true, bytesOf(true, {1, "good"}) + bytesOf(true, {3, "bad"})};
  const ReadResult p = readInPieces(c, {});
  EXPECT_EQ(p.passed, bytesOf(true, {1, "good"}));
  EXPECT_TRUE(p.boundary);  // the gateway may insert a close frame here
}

TEST(Frames, StopEndsAfterTheFrameInProgress) {
  const std::string bytes = bytesOf(false, {1, "one"}) + bytesOf(false, {1, "two"});
  FrameReader r(FrameRules{});
  const auto s = r.feed(bytes.data(), 3, true);
  EXPECT_EQ(s.pass, 3u);
  EXPECT_FALSE(r.atBoundary());
  const auto t = r.feed(bytes.data() + 3, bytes.size() - 3, true);
  EXPECT_EQ(t.pass, 2u);
  EXPECT_TRUE(r.atBoundary());
}

TEST(Frames, UncheckedReaderFollowsLengthsOnly) {
  FrameRules unchecked;
  unchecked.checked = false;
  FrameReader r(unchecked);
  const std::string bytes =
      bytesOf(true, {3, "what", false, 7}) + bytesOf(false, {1, "\xff"}) + bytesOf(false, {8, code(0)});
  EXPECT_EQ(r.feed(bytes.data(), bytes.size(), false).pass, bytes.size());
  EXPECT_TRUE(r.closed());
}

TEST(Frames, ReaderAcceptsWrittenFrames) {
  for (const bool client : {true, false})
    for (const std::size_t n : {0u, 5u, 125u, 126u, 65535u, 65536u}) {
      const std::string bytes =
          writeFrame(2, std::string(n, 'x'), client ? std::optional(testing::kKey) : std::nullopt);
      EXPECT_EQ(bytes, bytesOf(client, {2, std::string(n, 'x')}));
      FrameReader r(FrameRules{true, client, false, 1 << 20, 1 << 20});
      const auto s = r.feed(bytes.data(), bytes.size(), false);
      EXPECT_EQ(s.pass, bytes.size()) << s.why;
      EXPECT_FALSE(s.fault);
    }
}

TEST(Codec, ChoosesCloseCodeByReceiverAndEnding) {
  using stream::EndedBy;
  using stream::EndReason;
  using stream::Side;
  const auto codeFor = [](Side to, EndedBy who, EndReason why) {
    return static_cast<unsigned>(closeCodeFor(to, {who, why, false}, CloseCode::invalidData));
  };
  for (const Side to : {Side::client, Side::host})
    for (const EndReason why : {EndReason::drain, EndReason::idle})
      EXPECT_EQ(codeFor(to, EndedBy::gateway, why), 1001u);
  EXPECT_EQ(codeFor(Side::client, EndedBy::client, EndReason::protocol), 1007u);
  EXPECT_EQ(codeFor(Side::host, EndedBy::client, EndReason::protocol), 1001u);
  EXPECT_EQ(codeFor(Side::host, EndedBy::host, EndReason::tooBig), 1007u);
  EXPECT_EQ(codeFor(Side::client, EndedBy::host, EndReason::protocol), 1014u);
  EXPECT_EQ(codeFor(Side::client, EndedBy::host, EndReason::reset), 1014u);
  EXPECT_EQ(codeFor(Side::client, EndedBy::host, EndReason::silent), 1014u);
  EXPECT_EQ(codeFor(Side::host, EndedBy::client, EndReason::reset), 1001u);
}

TEST(Codec, MasksFramesToTheHostWithDrawnKeys) {
  std::uint32_t next = 0x01020304;
  WebSocketCodec codec(CodecRules{}, [&] { return next++; });
  EXPECT_EQ(codec.ping(stream::Side::client), std::string("\x89\x00", 2));
  EXPECT_EQ(codec.ping(stream::Side::host), std::string("\x89\x80\x01\x02\x03\x04", 6));
  EXPECT_EQ(codec.ping(stream::Side::host), std::string("\x89\x80\x01\x02\x03\x05", 6));
  const std::string bye =
      codec.closeMessage(stream::Side::host, {stream::EndedBy::gateway, stream::EndReason::drain, true});
  FrameReader r(FrameRules{true, true, false, 1000, 1000});
  EXPECT_EQ(r.feed(bye.data(), bye.size(), false).pass, bye.size());
  EXPECT_EQ(r.closeCode(), 1001u);
}

}  // namespace
}  // namespace finchstile::websocket
