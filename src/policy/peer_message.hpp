// Peer messages as bytes. Nothing is decided here; what does not decode is dropped by the caller.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::peer {

enum class Kind : std::uint8_t {
  ask = 1,  // which host of this one's group holds least?
  advice,   // this one
  took,     // an attempt went to the host unasked
  done      // an attempt ended: outcome, and its time against the usual one
};

struct Message {
  Kind kind = Kind::ask;
  std::uint32_t host = 0;             // hash of the address
  RequestId mark = 0;                 // ask, advice: the asker's own, returned as it came
  Outcome outcome = Outcome::served;  // done
  double sample = 0;                  // done: the time; advice: what the host holds; 0 to 20
};

inline constexpr std::uint8_t kVersion = 0x10;  // upper half of the first byte; the lower is the kind
inline constexpr double kSampleUnit = 1.0 / 12;

inline void put(std::string& out, std::uint32_t n) {
  for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(n >> shift & 0xff));
}
inline std::uint32_t take(std::string_view bytes, std::size_t at) {
  std::uint32_t n = 0;
  for (int i = 3; i >= 0; --i)
    n = n << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
  return n;
}

inline std::string encode(const Message& m) {
  std::string out(1, static_cast<char>(kVersion | static_cast<std::uint8_t>(m.kind)));
  put(out, m.host);
  if (m.kind == Kind::ask || m.kind == Kind::advice) {
    put(out, static_cast<std::uint32_t>(m.mark));
    put(out, static_cast<std::uint32_t>(m.mark >> 32));
  }
  if (m.kind == Kind::done) out.push_back(static_cast<char>(m.outcome));
  if (m.kind == Kind::done || m.kind == Kind::advice) {
    out.push_back(static_cast<char>(std::clamp(std::lround(m.sample / kSampleUnit), 0L, 255L)));
  }
  return out;
}

inline std::size_t sizeOf(Kind kind) {
  switch (kind) {
    case Kind::ask: return 13;
    case Kind::advice: return 14;
    case Kind::took: return 5;
    case Kind::done: return 7;
  }
  return 0;
}

// False for what no version of ours has sent.
inline bool decode(std::string_view bytes, Message& m) {
  if (bytes.size() < 5) return false;
  const auto head = static_cast<std::uint8_t>(bytes[0]);
  m.kind = static_cast<Kind>(head & 0x0f);
  if ((head & 0xf0) != kVersion || m.kind < Kind::ask || m.kind > Kind::done) return false;
  const bool marked = m.kind == Kind::ask || m.kind == Kind::advice;
  if (bytes.size() != sizeOf(m.kind)) return false;
  m.host = take(bytes, 1);
  if (marked) {
    m.mark = take(bytes, 5) | static_cast<RequestId>(take(bytes, 9)) << 32;
    if (m.kind == Kind::advice) m.sample = static_cast<std::uint8_t>(bytes[13]) * kSampleUnit;
  } else if (m.kind == Kind::done) {
    const auto outcome = static_cast<std::uint8_t>(bytes[5]);
    if (outcome > static_cast<std::uint8_t>(Outcome::notSent)) return false;
    m.outcome = static_cast<Outcome>(outcome);
    m.sample = static_cast<std::uint8_t>(bytes[6]) * kSampleUnit;
  }
  return true;
}

}  // namespace finchstile::load_balancing::peer
