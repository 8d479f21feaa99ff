#include "configuration/document.hpp"

#include <bit>

#include "base/little_endian.hpp"
#include "base/siphash.hpp"

namespace finchstile::configuration {
namespace {

constexpr SipKey kHashKey{};              // the same at every gateway and control machine
constexpr std::size_t kProblemsTold = 3;  // in one line

std::string bytesOf(double value) {
  std::string bytes;
  putLittleEndian(bytes, std::bit_cast<std::uint64_t>(value));
  return bytes;
}

}  // namespace

std::string describe(const Problem& problem) {
  return problem.key + (problem.field.empty() ? "" : "." + problem.field) + ": " + problem.what;
}

std::string describe(const std::vector<Problem>& problems) {
  std::string line;
  for (std::size_t i = 0; i < problems.size() && i < kProblemsTold; ++i)
    line += (i > 0 ? "; " : "") + describe(problems[i]);
  if (problems.size() > kProblemsTold)
    line += "; and " + std::to_string(problems.size() - kProblemsTold) + " more";
  return line;
}

std::uint64_t hashOf(const TenantDocument& tenant) {
  SipHasher hasher(kHashKey);
  hasher.add(kTenantPrefix).add(tenant.name).add(bytesOf(tenant.quotaPerSecond));
  return hasher.end().low;
}

std::uint64_t hashOf(const ClassDocument& cls) {
  const double aimMs = std::chrono::duration<double, std::milli>(cls.aim).count();
  SipHasher hasher(kHashKey);
  hasher.add(kClassPrefix).add(cls.name).add(bytesOf(cls.worth));
  hasher.add(bytesOf(aimMs)).add(bytesOf(cls.lateShare));
  return hasher.end().low;
}

}  // namespace finchstile::configuration
