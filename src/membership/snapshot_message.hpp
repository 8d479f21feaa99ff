// Encodes and decodes the messages that carry snapshots between gateways. They are sent in datagrams, which
// may be lost, repeated or reordered. No I/O.
//
//   request  u8 2, u64 nonce
//   chunk    u8 3, u64 nonce, u16 number, u16 total, records
//
// A record is never split, so each chunk can be used without the others. Integers and floats are
// little-endian. Records:
//   u8 1, u32 uptime of the gateway in ms, f32 arrivalRate, arrivalSamples, answers, inTimeRate,
//         meanLatencyObjective, meanTypicalLatency, unloadedConcurrency, servedFraction
//   u8 2, u64 class, f32 typicalLatency, meanExpectedWork, lateRetryFraction, u32 typicalTimeLeft in us
//   u8 3, u64 machine type, f32 provenRate, relativeLatency
//   u8 4, f32 priorityWeight, recentRequests
//   u8 5, u64 host, u64 start (Unix ms; 0: long ago), u8 phase, u64 version, u16 age in hundredths of a
//         second, f32 relativeLatency, failureRate, answerRate, u16 ejectedFor in hundredths of a second,
//         u8 ejections
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/state_snapshot.hpp"

namespace finchstile::membership {

inline constexpr std::size_t kMaxMessageBytes = 218;  // maximum payload of a peer datagram
inline constexpr std::uint8_t kSnapshotRequestType = 2;
inline constexpr std::uint8_t kSnapshotChunkType = 3;

std::string encodeSnapshotRequest(std::uint64_t nonce);
std::optional<std::uint64_t> decodeSnapshotRequest(std::string_view payload);  // returns the nonce

// Returns the chunks with the most important records first: those of the gateway, its classes, machine types
// and priority levels, then the hosts that are not active or are ejected, then the other hosts. At most
// 65,535 chunks; records beyond that are omitted.
std::vector<std::string> encodeSnapshot(const StateSnapshot& snapshot, std::uint64_t nonce);

struct SnapshotChunk {
  std::uint64_t nonce = 0;
  std::uint16_t number = 0;  // from 0
  std::uint16_t total = 0;
  StateSnapshot records;
};
// Returns nothing if any part is invalid: a float that is negative or not finite, or a record that is
// truncated or of an unknown type.
std::optional<SnapshotChunk> decodeChunk(std::string_view payload);

}  // namespace finchstile::membership
