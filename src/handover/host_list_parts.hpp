// Splits the endpoint list that one process of a gateway hands to its successor into messages, and assembles
// it again. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::handover {

/// A part of an endpoint list. The parts travel in order, in messages of the kind `learnedState`, which a
/// successor of a release without host lists ignores.
struct HostListPart {
  std::string discovery;  ///< Address of the discovery service whose versions the list has.
  std::size_t index = 0;  ///< From 0.
  std::size_t count = 1;
  std::string list;  ///< As `finchstile::hostListText`.
};

/// Hosts of one part; their texts fit into a message unless names are extremely long.
inline constexpr std::size_t kHostsPerPart = 128;

std::string encodeHostListPart(const HostListPart& part);
/// Returns nothing if the text is no part of a host list.
std::optional<HostListPart> decodeHostListPart(std::string_view text);

/// Collects the parts of one list.
class HostListParts {
 public:
  /// Returns the texts of all parts once the last one was added, and nothing before. A part that is out of
  /// order discards those before it.
  std::optional<std::vector<std::string>> add(HostListPart&& part);

 private:
  std::vector<std::string> lists_;
};

}  // namespace finchstile::handover
