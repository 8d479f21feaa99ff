// Versions of the configuration, and what a gateway reports of them. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace finchstile::configuration {

// Versions are ordered by epoch, then by revision. Each writer has an epoch of its own; a later epoch fences
// off the writers before it.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;
  auto operator<=>(const Version&) const = default;
};
std::string describe(const Version& version);  // "EPOCH.REVISION"

std::string formatHash(std::uint64_t hash);  // 16 lower-case hexadecimal digits

// A version that this gateway does not accept, and the reason for the control machine's operators.
struct RejectedVersion {
  Version version;
  std::uint64_t hash = 0;
  std::string reason;
};

// What a poll reports: the active version, and a rejected one that must not be sent again.
struct VersionState {
  Version version;
  std::uint64_t hash = 0;     // of the active set
  bool needsSnapshot = true;  // changes relative to `version` can not be applied
  std::optional<RejectedVersion> rejected;
};

}  // namespace finchstile::configuration
