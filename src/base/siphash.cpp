#include "base/siphash.hpp"

namespace finchstile {
namespace {

constexpr std::uint64_t rotated(std::uint64_t x, int bits) { return x << bits | x >> (64 - bits); }

}  // namespace

SipHasher::SipHasher(const SipKey& key)
    : v0_(key.a ^ 0x736f6d6570736575ULL),
      v1_(key.b ^ 0x646f72616e646f6dULL ^ 0xee),
      v2_(key.a ^ 0x6c7967656e657261ULL),
      v3_(key.b ^ 0x7465646279746573ULL) {}

void SipHasher::sipRound() {
  v0_ += v1_, v1_ = rotated(v1_, 13) ^ v0_, v0_ = rotated(v0_, 32);
  v2_ += v3_, v3_ = rotated(v3_, 16) ^ v2_;
  v0_ += v3_, v3_ = rotated(v3_, 21) ^ v0_;
  v2_ += v1_, v1_ = rotated(v1_, 17) ^ v2_, v2_ = rotated(v2_, 32);
}

void SipHasher::addWord(std::uint64_t m) {
  v3_ ^= m;
  sipRound(), sipRound();
  v0_ ^= m;
}

void SipHasher::addByte(unsigned char b) {
  pendingWord_ |= static_cast<std::uint64_t>(b) << (8 * (byteCount_ & 7));
  if ((++byteCount_ & 7) != 0) return;
  addWord(pendingWord_);
  pendingWord_ = 0;
}

SipHasher& SipHasher::add(std::string_view part) {
  for (int i = 0; i < 8; ++i) addByte(static_cast<unsigned char>(part.size() >> (8 * i)));
  for (const char c : part) addByte(static_cast<unsigned char>(c));
  return *this;
}

SipHash128 SipHasher::finalize() {
  addWord(pendingWord_ | byteCount_ << 56);
  v2_ ^= 0xee;
  for (int i = 0; i < 4; ++i) sipRound();
  SipHash128 out;
  out.low = v0_ ^ v1_ ^ v2_ ^ v3_;
  v1_ ^= 0xdd;
  for (int i = 0; i < 4; ++i) sipRound();
  out.high = v0_ ^ v1_ ^ v2_ ^ v3_;
  return out;
}

}  // namespace finchstile
