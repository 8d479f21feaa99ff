#include "peer/secret.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <string_view>

#include "base/descriptor.hpp"

namespace finchstile::peer {
namespace {

constexpr std::size_t kSecretDigits = 32;
constexpr std::size_t kHalfDigits = kSecretDigits / 2;
constexpr mode_t kGroupAndOthers = 077;

bool parseHalf(std::string_view digits, std::uint64_t& out) {
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, out, 16);
  return error == std::errc() && end == last;
}

}  // namespace

SipKey loadSecret(const std::string& path) {
  const auto fail = [&](SecretError::Code code, const std::string& message) {
    throw SecretError(code, path + ": " + message);
  };
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (file.get() < 0 || ::fstat(file.get(), &status) != 0)
    fail(SecretError::Code::unreadable, std::strerror(errno));
  if ((status.st_mode & kGroupAndOthers) != 0)
    fail(SecretError::Code::insecurePermissions, "accessible by other users, its mode must be 0600 or 0400");
  char text[kSecretDigits + 2] = {};  // one byte longer than the longest valid text, to recognize longer ones
  const ssize_t size = ::read(file.get(), text, sizeof text);
  std::string_view digits(text, size < 0 ? 0 : static_cast<std::size_t>(size));
  if (digits.size() == kSecretDigits + 1 && digits.back() == '\n') digits.remove_suffix(1);
  SipKey key;
  const bool valid = digits.size() == kSecretDigits && parseHalf(digits.substr(0, kHalfDigits), key.a) &&
                     parseHalf(digits.substr(kHalfDigits), key.b);
  if (!valid) fail(SecretError::Code::malformed, "must contain exactly 32 hexadecimal digits");
  return key;
}

}  // namespace finchstile::peer
