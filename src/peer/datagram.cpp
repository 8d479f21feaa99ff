#include "peer/datagram.hpp"

#include "base/little_endian.hpp"

namespace finchstile::peer {
namespace {

constexpr std::uint16_t kMagic = 0x4650;
constexpr std::size_t kVersionOffset = 2;
constexpr std::size_t kTopicOffset = 3;
constexpr std::size_t kSenderOffset = 4;
constexpr std::size_t kEpochOffset = 6;
constexpr std::size_t kSequenceNumberOffset = 14;
constexpr std::size_t kPayloadOffset = 22;
constexpr std::size_t kSignatureBytes = 16;
static_assert(kPayloadOffset + kSignatureBytes == kDatagramOverheadBytes);

std::string sign(std::string_view bytes, const SipKey& key) {
  const SipHash128 hash = SipHasher(key).add(bytes).finalize();
  std::string signature;
  putLittleEndian(signature, hash.low);
  putLittleEndian(signature, hash.high);
  return signature;
}

// The time does not depend on the contents, so it does not reveal how many bytes of a forged signature match.
bool equalInConstantTime(std::string_view a, std::string_view b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  return difference == 0;
}

}  // namespace

std::optional<std::string> encode(const Datagram& datagram, const SipKey& key) {
  if (datagram.payload.size() > kMaxPayloadBytes) return std::nullopt;
  std::string bytes;
  putLittleEndian(bytes, kMagic);
  putLittleEndian(bytes, kProtocolVersion);
  putLittleEndian(bytes, static_cast<std::uint8_t>(datagram.topic));
  putLittleEndian(bytes, datagram.sender);
  putLittleEndian(bytes, datagram.epoch);
  putLittleEndian(bytes, datagram.sequenceNumber);
  bytes += datagram.payload;
  return bytes + sign(bytes, key);
}

DatagramResult decode(std::string_view bytes, const SipKey& key, Datagram& out) {
  if (bytes.size() < kDatagramOverheadBytes || bytes.size() > kMaxDatagramBytes)
    return DatagramResult::malformed;
  if (getLittleEndian<std::uint16_t>(bytes) != kMagic) return DatagramResult::malformed;
  if (getLittleEndian<std::uint8_t>(bytes.substr(kVersionOffset)) != kProtocolVersion)
    return DatagramResult::unsupportedVersion;
  const std::string_view signedBytes = bytes.substr(0, bytes.size() - kSignatureBytes);
  const std::string_view signature = bytes.substr(signedBytes.size());
  if (!equalInConstantTime(sign(signedBytes, key), signature)) return DatagramResult::invalidSignature;
  out.topic = static_cast<Topic>(getLittleEndian<std::uint8_t>(bytes.substr(kTopicOffset)));
  out.sender = getLittleEndian<GatewayNumber>(bytes.substr(kSenderOffset));
  out.epoch = getLittleEndian<std::uint64_t>(bytes.substr(kEpochOffset));
  out.sequenceNumber = getLittleEndian<std::uint64_t>(bytes.substr(kSequenceNumberOffset));
  out.payload = signedBytes.substr(kPayloadOffset);
  return DatagramResult::valid;
}

}  // namespace finchstile::peer
