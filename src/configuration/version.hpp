// Versions of the configuration, and the version state that a gateway reports. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace finchstile::configuration {

// Versions are ordered by epoch, then by revision. Each writer has its own epoch; a later epoch fences off
// earlier writers.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;
  auto operator<=>(const Version&) const = default;
};
std::string describe(const Version& version);  // "EPOCH.REVISION"

std::string formatHash(std::uint64_t hash);  // 16 lower-case hexadecimal digits

// A version that this gateway has rejected, with the reason for the operators of the control machine.
struct RejectedVersion {
  Version version;
  std::uint64_t hash = 0;
  std::string reason;
};

// Reported by a poll: the active version, and a rejected one that must not be sent again.
struct VersionState {
  Version version;
  std::uint64_t hash = 0;     // of the active configuration
  bool needsSnapshot = true;  // changes relative to `version` cannot be applied
  std::optional<RejectedVersion> rejected;
};

}  // namespace finchstile::configuration
