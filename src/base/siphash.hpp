// SipHash-2-4 with 128-bit output (Aumasson and Bernstein, 2012). Keyed, so that nobody without the key can
// produce colliding requests or overload one chain of a hash table.
#pragma once

#include <cstdint>
#include <string_view>

namespace finchstile {

struct SipKey {
  std::uint64_t a = 0, b = 0;
};

struct SipHash128 {
  std::uint64_t high = 0, low = 0;
  bool operator==(const SipHash128&) const = default;
};

// Hashes each part with its length: ("ab", "c") and ("a", "bc") differ.
class SipHasher {
 public:
  explicit SipHasher(const SipKey& key);
  SipHasher& add(std::string_view part);
  SipHash128 end();

 private:
  void byte(unsigned char b);
  void word(std::uint64_t m);
  void round();
  std::uint64_t v0_, v1_, v2_, v3_, pending_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace finchstile
