// Pseudo-random generator with the same sequence for a seed on every platform (Steele, Lea, Flood 2014). Not
// for secrets.
#pragma once

#include <cstdint>

namespace finchstile {

class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t operator()() {
    std::uint64_t x = state_ += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }

 private:
  std::uint64_t state_;
};

}  // namespace finchstile
