// Log lines on transfers that ended before they were complete.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "net/clock.hpp"
#include "net/transfer_policy.hpp"

namespace finchstile {

/// One transfer that ended. The view is valid during the call only.
struct TransferLogEntry {
  std::string_view id;  ///< X-Correlation-Id of the request.
  std::string host;     ///< Address as listed; empty for a relayed response.
  Duration age{};       ///< Since the request arrived.
  TransferEnd end;
};

/// Writes lines to standard error, a few in a second.
class TransferLog {
 public:
  void write(Time now, const TransferLogEntry& entry);

 private:
  static constexpr std::size_t kMaxLinesPerSecond = 10;

  Time secondBegan_{};
  std::size_t lines_ = 0;  // in that second
  std::size_t omitted_ = 0;
};

}  // namespace finchstile
