#include "membership/snapshot_message.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

#include "base/little_endian.hpp"

namespace finchstile::membership {
namespace {

enum class RecordType : std::uint8_t { gateway = 1, cls = 2, machineType = 3, priorityLevel = 4, host = 5 };

constexpr std::size_t kRequestBytes = 1 + 8;
constexpr std::size_t kChunkHeaderBytes = 1 + 8 + 2 + 2;
constexpr std::size_t kMaxChunks = 65'535;
constexpr Duration kCentisecond = std::chrono::milliseconds(10);
constexpr int kMaxEjections = 255;
constexpr std::uint8_t kMaxPhase = 2;

// --- Writing

void putType(std::string& out, RecordType type) { putLittleEndian(out, static_cast<std::uint8_t>(type)); }

void putFloat(std::string& out, double value) {
  putLittleEndian(out, std::bit_cast<std::uint32_t>(static_cast<float>(value)));
}

void putCentiseconds(std::string& out, Duration duration) {
  const Duration bounded = std::clamp(duration, Duration{}, kMaxAge);
  putLittleEndian(out, static_cast<std::uint16_t>(bounded / kCentisecond));
}

// Writes the duration as a 32-bit count of `unit`, limited to the largest value.
void putDuration32(std::string& out, Duration duration, Duration unit) {
  const auto count = std::clamp<std::int64_t>(duration / unit, 0, UINT32_MAX);
  putLittleEndian(out, static_cast<std::uint32_t>(count));
}

std::string encodeRecord(const StateSnapshot::GatewayRecord& gateway) {
  std::string record;
  putType(record, RecordType::gateway);
  putDuration32(record, gateway.age, std::chrono::milliseconds(1));
  for (const auto field : kGatewayRecordFields) putFloat(record, gateway.*field);
  return record;
}

std::string encodeRecord(const StateSnapshot::ClassRecord& cls) {
  std::string record;
  putType(record, RecordType::cls);
  putLittleEndian(record, cls.key);
  putFloat(record, cls.typicalLatency);
  putFloat(record, cls.meanExpectedWork);
  putFloat(record, cls.lateRetryFraction);
  putDuration32(record, cls.typicalTimeLeft, std::chrono::microseconds(1));
  return record;
}

std::string encodeRecord(const StateSnapshot::MachineTypeRecord& type) {
  std::string record;
  putType(record, RecordType::machineType);
  putLittleEndian(record, type.key);
  putFloat(record, type.provenRate);
  putFloat(record, type.relativeLatency);
  return record;
}

std::string encodeRecord(const load_balancing::LearnedState::PriorityLevel& level) {
  std::string record;
  putType(record, RecordType::priorityLevel);
  putFloat(record, level.priorityWeight);
  putFloat(record, level.recentRequests);
  return record;
}

std::string encodeRecord(const HostRecord& host) {
  std::string record;
  putType(record, RecordType::host);
  putLittleEndian(record, host.host);
  putLittleEndian(record, static_cast<std::uint64_t>(host.startedUnixMs));
  putLittleEndian(record, static_cast<std::uint8_t>(host.phase));
  putLittleEndian(record, host.version);
  putCentiseconds(record, host.age);
  putFloat(record, host.relativeLatency);
  putFloat(record, host.failureRate);
  putFloat(record, host.answerRate);
  putCentiseconds(record, host.ejectedFor);
  putLittleEndian(record, static_cast<std::uint8_t>(std::clamp(host.ejections, 0, kMaxEjections)));
  return record;
}

std::vector<std::string> encodeRecords(const StateSnapshot& snapshot) {
  std::vector<std::string> records;
  if (snapshot.gateway) records.push_back(encodeRecord(*snapshot.gateway));
  for (const auto& cls : snapshot.classes) records.push_back(encodeRecord(cls));
  for (const auto& type : snapshot.machineTypes) records.push_back(encodeRecord(type));
  for (const auto& level : snapshot.priorityLevels) records.push_back(encodeRecord(level));
  const auto isRestricted = [](const HostRecord& host) {
    return host.phase != HostPhase::active || host.ejectedFor > Duration{};
  };
  for (const HostRecord& host : snapshot.hosts)
    if (isRestricted(host)) records.push_back(encodeRecord(host));
  for (const HostRecord& host : snapshot.hosts)
    if (!isRestricted(host)) records.push_back(encodeRecord(host));
  return records;
}

// Packs the records into bodies of chunks, in order.
std::vector<std::string> packRecords(const std::vector<std::string>& records) {
  constexpr std::size_t kMaxBodyBytes = kMaxMessageBytes - kChunkHeaderBytes;
  std::vector<std::string> bodies;
  for (const std::string& record : records) {
    if (bodies.empty() || bodies.back().size() + record.size() > kMaxBodyBytes) {
      if (bodies.size() == kMaxChunks) break;
      bodies.emplace_back();
    }
    bodies.back() += record;
  }
  return bodies;
}

// --- Reading

// Reads values sequentially. After a missing or invalid value `valid()` is false; after a missing one all
// further integers are 0.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view bytes) : remaining_(bytes) {}

  template <class Int>
  Int integer() {
    if (remaining_.size() < sizeof(Int)) {
      valid_ = false;
      remaining_ = {};
      return {};
    }
    const Int value = getLittleEndian<Int>(remaining_);
    remaining_.remove_prefix(sizeof(Int));
    return value;
  }
  // Reads a float; it is valid if it is finite and not negative.
  double number() {
    const double value = std::bit_cast<float>(integer<std::uint32_t>());
    if (!std::isfinite(value) || value < 0) valid_ = false;
    return value;
  }
  Duration centiseconds() { return integer<std::uint16_t>() * kCentisecond; }
  bool atEnd() const { return remaining_.empty(); }
  bool valid() const { return valid_; }
  void markInvalid() { valid_ = false; }

 private:
  std::string_view remaining_;
  bool valid_ = true;
};

StateSnapshot::GatewayRecord decodeGateway(PayloadReader& reader) {
  StateSnapshot::GatewayRecord gateway;
  gateway.age = std::chrono::milliseconds(reader.integer<std::uint32_t>());
  for (const auto field : kGatewayRecordFields) gateway.*field = reader.number();
  return gateway;
}

StateSnapshot::ClassRecord decodeClass(PayloadReader& reader) {
  StateSnapshot::ClassRecord cls;
  cls.key = reader.integer<std::uint64_t>();
  cls.typicalLatency = reader.number();
  cls.meanExpectedWork = reader.number();
  cls.lateRetryFraction = reader.number();
  cls.typicalTimeLeft = std::chrono::microseconds(reader.integer<std::uint32_t>());
  return cls;
}

StateSnapshot::MachineTypeRecord decodeMachineType(PayloadReader& reader) {
  StateSnapshot::MachineTypeRecord type;
  type.key = reader.integer<std::uint64_t>();
  type.provenRate = reader.number();
  type.relativeLatency = reader.number();
  return type;
}

load_balancing::LearnedState::PriorityLevel decodePriorityLevel(PayloadReader& reader) {
  load_balancing::LearnedState::PriorityLevel level;
  level.priorityWeight = reader.number();
  level.recentRequests = reader.number();
  return level;
}

HostRecord decodeHost(PayloadReader& reader) {
  HostRecord host;
  host.host = reader.integer<std::uint64_t>();
  host.startedUnixMs = static_cast<std::int64_t>(reader.integer<std::uint64_t>());
  const auto phase = reader.integer<std::uint8_t>();
  if (phase > kMaxPhase || host.startedUnixMs < 0) reader.markInvalid();
  host.phase = static_cast<HostPhase>(phase);
  host.version = reader.integer<std::uint64_t>();
  host.age = reader.centiseconds();
  host.relativeLatency = reader.number();
  host.failureRate = reader.number();
  host.answerRate = reader.number();
  host.ejectedFor = reader.centiseconds();
  host.ejections = reader.integer<std::uint8_t>();
  return host;
}

void decodeRecord(PayloadReader& reader, StateSnapshot& out) {
  switch (static_cast<RecordType>(reader.integer<std::uint8_t>())) {
    case RecordType::gateway: out.gateway = decodeGateway(reader); return;
    case RecordType::cls: out.classes.push_back(decodeClass(reader)); return;
    case RecordType::machineType: out.machineTypes.push_back(decodeMachineType(reader)); return;
    case RecordType::priorityLevel: out.priorityLevels.push_back(decodePriorityLevel(reader)); return;
    case RecordType::host: out.hosts.push_back(decodeHost(reader)); return;
  }
  reader.markInvalid();
}

}  // namespace

std::string encodeSnapshotRequest(std::uint64_t nonce) {
  std::string payload;
  putLittleEndian(payload, kSnapshotRequestType);
  putLittleEndian(payload, nonce);
  return payload;
}

std::optional<std::uint64_t> decodeSnapshotRequest(std::string_view payload) {
  if (payload.size() != kRequestBytes) return std::nullopt;
  if (static_cast<std::uint8_t>(payload[0]) != kSnapshotRequestType) return std::nullopt;
  return getLittleEndian<std::uint64_t>(payload.substr(1));
}

std::vector<std::string> encodeSnapshot(const StateSnapshot& snapshot, std::uint64_t nonce) {
  const std::vector<std::string> bodies = packRecords(encodeRecords(snapshot));
  std::vector<std::string> chunks;
  chunks.reserve(bodies.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    std::string chunk;
    putLittleEndian(chunk, kSnapshotChunkType);
    putLittleEndian(chunk, nonce);
    putLittleEndian(chunk, static_cast<std::uint16_t>(i));
    putLittleEndian(chunk, static_cast<std::uint16_t>(bodies.size()));
    chunk += bodies[i];
    chunks.push_back(std::move(chunk));
  }
  return chunks;
}

std::optional<SnapshotChunk> decodeChunk(std::string_view payload) {
  if (payload.size() > kMaxMessageBytes || payload.size() <= kChunkHeaderBytes) return std::nullopt;
  PayloadReader reader(payload);
  if (reader.integer<std::uint8_t>() != kSnapshotChunkType) return std::nullopt;
  SnapshotChunk chunk;
  chunk.nonce = reader.integer<std::uint64_t>();
  chunk.number = reader.integer<std::uint16_t>();
  chunk.total = reader.integer<std::uint16_t>();
  if (chunk.number >= chunk.total) return std::nullopt;
  while (reader.valid() && !reader.atEnd()) decodeRecord(reader, chunk.records);
  if (!reader.valid()) return std::nullopt;
  return chunk;
}

}  // namespace finchstile::membership
