// The file with the secret that all gateways share.
#include "peer/secret.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <optional>

#include "support/process.hpp"

namespace finchstile::peer {
namespace {

using Code = SecretError::Code;

std::optional<Code> errorOf(const std::string& path) {
  try {
    loadSecret(path);
    return std::nullopt;
  } catch (const SecretError& error) {
    return error.code();
  }
}

TEST(Secret, ReadsExactly32HexadecimalDigits) {
  finchstile::testing::TemporaryDirectory folder;
  const auto secret = [&](const std::string& text, int mode = 0600) {
    const std::string path = folder.write("secret", text);
    std::filesystem::permissions(path, static_cast<std::filesystem::perms>(mode));
    return path;
  };
  const SipKey k = loadSecret(secret("0706050403020100f0e0d0c0b0a09080\n"));
  EXPECT_EQ(k.a, 0x0706050403020100u);
  EXPECT_EQ(k.b, 0xf0e0d0c0b0a09080u);
  EXPECT_THROW(loadSecret(secret("0706050403020100f0e0d0c0b0a09080", 0644)), std::runtime_error);
  for (const char* bad :
       {"", "0706", "0706050403020100f0e0d0c0b0a0908g", "0706050403020100f0e0d0c0b0a09080aa",
        "0706050403020100f0e0d0c0b0a09080\n\n", " 706050403020100f0e0d0c0b0a09080"})
    EXPECT_THROW(loadSecret(secret(bad)), std::runtime_error) << bad;
  EXPECT_THROW(loadSecret(folder / "none"), std::runtime_error);
}

TEST(Secret, ErrorHasItsCode) {
  const finchstile::testing::TemporaryDirectory folder;
  const std::string path = folder / "secret";
  EXPECT_EQ(errorOf(path), Code::unreadable);
  folder.write("secret", "0706050403020100f0e0d0c0b0a09080");
  std::filesystem::permissions(path, static_cast<std::filesystem::perms>(0644));
  EXPECT_EQ(errorOf(path), Code::insecurePermissions);
  std::filesystem::permissions(path, static_cast<std::filesystem::perms>(0600));
  EXPECT_EQ(errorOf(path), std::nullopt);
  folder.write("secret", "0706");
  EXPECT_EQ(errorOf(path), Code::malformed);
}

}  // namespace
}  // namespace finchstile::peer
