// The bytecode file format: exact bytes, round trip, corrupt files.
#include "hook/bytecode.hpp"

#include "hook/disassembler.hpp"
#include "hook/support.hpp"

namespace finchstile::hook::testing {
namespace {

std::string exampleBytecode() {
  std::vector<Problem> problems;
  return encode(
      compile("hook \"h\";\ntable t from \"t\";\nset s = {\"a\", \"b\"};\n"
              "on request { for i in 0 .. 3 { if path matches \"x\" or class in s { count(\"c\"); } } "
              "if path in t { reject(403, \"no\"); } }\non answer { log(to_text(status)); }\n",
              problems)
          ->program);
}

std::string hexOf(std::string_view bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

BytecodeError errorOf(const std::string& bytes) {
  try {
    decode(bytes);
  } catch (const BytecodeError& error) {
    return error;
  }
  ADD_FAILURE() << "decoded";
  return {BytecodeErrorCode{}, ""};
}

// Operators store hooks as bytecode, so version 1 of the format must not change.
TEST(Bytecode, EncodesVersion1AsSpecified) {
  EXPECT_EQ(hexOf(exampleBytecode()),
            "46484f4f4b0a0100010000006804000000000000000000000003000000000000000100000000000000930100"
            "000000000001000000020000006e6f0100000002000000010000006101000000620100000001000000780100"
            "0000010000007401000000010000006301000000001d00000002000000000000011d00000021000000000000"
            "0021000000010000000400000006000000040000000101000004000000060100000400000005000000040000"
            "0005010000040000001000000004000000161600000400000023020000040000002a00000004000000170e00"
            "000400000023000000040000002c00000004000000150f000004000000040100000400000016110000040000"
            "0031000000040000000500000004000000010200000400000008000000040000000600000004000000150400"
            "000400000023020000040000002b00000004000000161c000004000000010300000400000003000000040000"
            "002e000000040000000000000004000000230800000500000021000000050000003200000005000000000000"
            "000500000036789086");
}

TEST(Bytecode, DecodesWhatItEncoded) {
  const std::string bytes = exampleBytecode();
  const Program program = decode(bytes);
  EXPECT_EQ(encode(program), bytes);
  EXPECT_FALSE(verify(program));
  EXPECT_NE(disassemble(program).find("matches 0\t# \"x\""), std::string::npos);
}

TEST(Bytecode, RejectsCorruptBytes) {
  const std::string bytes = exampleBytecode();
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_THROW(decode(bytes.substr(0, n)), BytecodeError) << n;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 0x20);
    EXPECT_THROW(decode(bad), BytecodeError) << i;
  }
  EXPECT_THROW(decode(bytes + "x"), BytecodeError);
  std::string other = bytes;
  other[6] = 9;
  EXPECT_EQ(errorOf(other).code(), BytecodeErrorCode::unknownVersion);
  EXPECT_STREQ(errorOf(other).what(), "of format 9; this program reads 1");
  EXPECT_EQ(errorOf("hook").code(), BytecodeErrorCode::notBytecode);
  EXPECT_EQ(errorOf(bytes.substr(0, 10)).code(), BytecodeErrorCode::wrongSize);
  EXPECT_EQ(errorOf(bytes + "x").code(), BytecodeErrorCode::checksumMismatch);
}

// Without the checksum every flipped byte reaches the verifier. The program must be rejected or run within
// its bounds. Builds with sanitizers check the latter.
TEST(Bytecode, RejectsCorruptProgramsOrRunsThemWithinTheirBounds) {
  const std::string bytes = exampleBytecode();
  std::uint32_t dice = 12345;
  const auto roll = [&dice] { return dice = dice * 1664525 + 1013904223; };
  const MapHeaders headers;
  int verified = 0;
  for (int round = 0; round < 60000; ++round) {
    std::string bad = bytes;
    for (std::uint32_t n = 1 + roll() % 3; n > 0; --n) {
      const std::size_t at = (roll() >> 8) % bad.size();
      if (roll() >> 31) bad[at] = static_cast<char>(roll() >> 16);
      else bad[at] = static_cast<char>(bad[at] ^ (1 << ((roll() >> 12) % 8)));
    }
    std::shared_ptr<const Executable> code;
    try {
      Program program = decode(bad, ChecksumCheck::ignored);
      std::vector<std::shared_ptr<const Table>> tables(program.tables.size(),
                                                       std::make_shared<const Table>());
      code = linkProgram(std::move(program), std::move(tables));
    } catch (const BytecodeError&) {
      continue;
    } catch (const LinkError&) {
      continue;
    }
    ++verified;
    Interpreter m;
    RunInput in = exampleInput();
    in.requestHeaders = in.responseHeaders = &headers;
    RunBudget b;
    b.instructions = 300;
    for (const Handler h : {Handler::request, Handler::attempt, Handler::response})
      if (code->handles(h)) m.run(*code, h, in, b);
  }
  EXPECT_GT(verified, 1000);  // otherwise the test covers only the decoder
}

}  // namespace
}  // namespace finchstile::hook::testing
