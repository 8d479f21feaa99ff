#include "configuration/document.hpp"

#include <bit>

#include "base/little_endian.hpp"
#include "base/siphash.hpp"

namespace finchstile::configuration {
namespace {

// Fixed, because all gateways and control machines have to compute the same hashes.
constexpr SipKey kHashKey{};

std::string bytesOf(double value) {
  std::string bytes;
  putLittleEndian(bytes, std::bit_cast<std::uint64_t>(value));
  return bytes;
}

}  // namespace

bool isTenantKey(std::string_view key) { return key.starts_with(kTenantPrefix); }

std::string nameInKey(std::string_view key) { return std::string(key.substr(key.find('/') + 1)); }

std::uint64_t documentHash(const TenantDocument& tenant) {
  SipHasher hasher(kHashKey);
  hasher.add(kTenantPrefix).add(tenant.name).add(bytesOf(tenant.quotaPerSecond));
  return hasher.finalize().low;
}

std::uint64_t documentHash(const ClassDocument& cls) {
  const double objectiveMs = std::chrono::duration<double, std::milli>(cls.latencyObjective).count();
  SipHasher hasher(kHashKey);
  hasher.add(kClassPrefix).add(cls.name).add(bytesOf(cls.priorityWeight));
  hasher.add(bytesOf(objectiveMs)).add(bytesOf(cls.lateValueFraction));
  return hasher.finalize().low;
}

std::uint64_t documentHash(const Document& document) {
  return std::visit([](const auto& alternative) { return documentHash(alternative); }, document);
}

}  // namespace finchstile::configuration
