// What a running gateway tells one that starts: what it has learned of its traffic and of each host, in
// datagrams that may be lost, doubled or cross. Names go as keyed hashes. No I/O.
//
//   ask    u8 2, u64 nonce
//   chunk  u8 3, u64 nonce, u16 number, u16 of, records
//
// Each record is whole within its chunk and stands for itself, so that any part of a snapshot is of use:
//   u8 1, u32 age of the gateway in ms, f32 arrivalRate, arrivalSweeps, answers, fastRate, meanAim, meanWork,
//         calmHeld, servedShare
//   u8 2, u64 class, f32 norm, meanCost, lateSeen, u32 usualLeft in us
//   u8 3, u64 kind, f32 proven, pace
//   u8 4, f32 worth, seen
//   u8 5, u64 host, u64 started (Unix ms; 0: long ago), u8 phase, u64 version, u16 age of what follows in
//         hundredths of a second, f32 pace, fails, rate, u16 ejected for so many hundredths, u8 ejections
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "membership/gossip.hpp"

namespace finchstile::membership {

using NameKey = std::uint64_t;  // of a class, a kind or a host

inline constexpr std::size_t kChunkMost = 218;  // bytes, what a datagram between gateways has room for
inline constexpr std::uint8_t kAskForm = 2, kChunkForm = 3;

// What a gateway says of one host.
struct ToldHost {
  HostKey host = 0;
  std::int64_t started = 0;
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of its list
  Duration age{};             // since the host answered it last
  double pace = 1, fails = 0, rate = 0;
  Duration ejectedFor{};
  int ejections = 0;
};

struct Snapshot {
  struct Self {
    Duration age{};
    double arrivalRate = 0, arrivalSweeps = 0, answers = 0, fastRate = 0, meanAim = 0, meanWork = 0,
           calmHeld = 0, servedShare = 0;
  };
  struct Class {
    NameKey key = 0;
    double norm = 0, meanCost = 0, lateSeen = 0;
    Duration usualLeft{};
  };
  struct Kind {
    NameKey key = 0;
    double proven = 0, pace = 1;
  };
  std::optional<Self> self;
  std::vector<Class> classes;
  std::vector<Kind> kinds;
  std::vector<load_balancing::LearnedState::PriorityLevel> levels;
  std::vector<ToldHost> hosts;
};

// The figures of `Snapshot::Self`, in the order in which they go, and those of `Learned` that they are.
inline constexpr std::array kSelfFigures = {&Snapshot::Self::arrivalRate, &Snapshot::Self::arrivalSweeps,
                                            &Snapshot::Self::answers,     &Snapshot::Self::fastRate,
                                            &Snapshot::Self::meanAim,     &Snapshot::Self::meanWork,
                                            &Snapshot::Self::calmHeld,    &Snapshot::Self::servedShare};
inline constexpr std::array kLearnedFigures = {&load_balancing::LearnedState::arrivalRate,
                                               &load_balancing::LearnedState::arrivalSamples,
                                               &load_balancing::LearnedState::answers,
                                               &load_balancing::LearnedState::inTimeRate,
                                               &load_balancing::LearnedState::meanLatencyObjective,
                                               &load_balancing::LearnedState::meanTypicalLatency,
                                               &load_balancing::LearnedState::unloadedConcurrency,
                                               &load_balancing::LearnedState::servedFraction};
static_assert(kSelfFigures.size() == kLearnedFigures.size());

// The list's side of a host, which the module does not tell.
struct ListedFact {
  std::int64_t started = 0;
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;
  Duration age{};  // since it answered us last; kAgeMost: never
};
Snapshot snapshotOf(const load_balancing::LearnedState& learned,
                    const std::function<NameKey(std::string_view)>& key,
                    const std::function<std::optional<ListedFact>(const std::string& host)>& listed);

std::string encodeAsk(std::uint64_t nonce);
std::optional<std::uint64_t> decodeAsk(std::string_view payload);

// In order of use: the gateway's own figures first, then hosts with something against them, then the others.
// At most 65,535 chunks: what does not fit is left out.
std::vector<std::string> encodeSnapshot(const Snapshot& snapshot, std::uint64_t nonce);

struct Chunk {
  std::uint64_t nonce = 0;
  std::uint16_t number = 0, of = 0;
  Snapshot part;
};
// None if any of it makes no sense: a figure that is not finite, a record that is cut or not known.
std::optional<Chunk> decodeChunk(std::string_view payload);

}  // namespace finchstile::membership
