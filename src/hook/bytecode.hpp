// The file format of a compiled hook, as docs/design/hooks.md specifies it.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "hook/program.hpp"

namespace finchstile::hook {

inline constexpr std::uint16_t kBytecodeVersion = 1;
inline constexpr std::string_view kBytecodeMagic("FHOOK\n", 6);

enum class BytecodeErrorCode {
  notBytecode,
  unknownVersion,
  checksumMismatch,
  wrongSize,      // truncated, or larger than its parts
  limitExceeded,  // of program.hpp
  invalidValue
};

// Why the bytes cannot be decoded. The text completes the sentence "the bytecode is ...".
class BytecodeError : public std::runtime_error {
 public:
  BytecodeError(BytecodeErrorCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}
  BytecodeErrorCode code() const { return code_; }

 private:
  BytecodeErrorCode code_;
};

// `ignored` is for tests that corrupt the bytes under the checksum.
enum class ChecksumCheck { required, ignored };

std::string encode(const Program& program);

// Throws BytecodeError. The program still has to be verified.
Program decode(std::string_view bytes, ChecksumCheck checksumCheck = ChecksumCheck::required);

}  // namespace finchstile::hook
