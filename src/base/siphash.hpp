// SipHash-2-4 with 128-bit output (Aumasson and Bernstein, 2012). The hash is keyed, so that without the key
// nobody can construct requests with equal hashes or collisions in one bucket of a hash table.
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

// Hashes a sequence of parts including their lengths: ("ab", "c") and ("a", "bc") have different hashes.
class SipHasher {
 public:
  explicit SipHasher(const SipKey& key);
  SipHasher& add(std::string_view part);
  SipHash128 finalize();

 private:
  void addByte(unsigned char b);
  void addWord(std::uint64_t m);
  void sipRound();
  std::uint64_t v0_, v1_, v2_, v3_, pendingWord_ = 0;
  std::uint64_t byteCount_ = 0;
};

}  // namespace finchstile
