// Hashes that are equal in every process, by which gateways refer to hosts and groups.
#pragma once

#include <cstdint>
#include <string_view>

namespace finchstile::load_balancing {

// The finisher of splitmix64: a bijection that spreads every bit of `value` over the whole result.
inline std::uint64_t mixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// FNV-1a with the finisher above.
inline std::uint64_t hashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char byte : text) hash = (hash ^ byte) * 0x100000001b3ULL;
  return mixBits(hash);
}

}  // namespace finchstile::load_balancing
