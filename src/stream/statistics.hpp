// Counters of streams by listener name, and the log line of each ended stream. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "stream/ending.hpp"
#include "stream/settings.hpp"

namespace finchstile::stream {

struct EndedStream {            // input of the log line and counters of an ended stream
  std::string_view name, host;  // host: empty if no host was reached
  std::string from;             // client address
  Ending how;
  Duration lasted{};
  std::uint64_t in = 0, out = 0;  // bytes sent by the client, by the host
};

class StreamStatistics {
 public:
  explicit StreamStatistics(LogEnds log) : log_(log) {}

  void onAccepted(const std::string& name) { ++of(name).taken; }
  void onBegun(const std::string& name) { ++of(name).held; }
  // Returns the line to log, empty if none. `established`: the stream had reached a host, so it is in the
  // `held` gauge.
  std::string onEnded(const std::string& name, const EndedStream& e, bool established, Time now);

  std::uint64_t ended(StreamResult became) const;
  std::uint64_t ended(EndedBy who, EndReason why) const;
  std::uint64_t taken() const;
  std::string exposition(std::size_t bufferHeld) const;
  std::string summary() const;

 private:
  struct NameStats {
    // Streams accepted; established and not ended; bytes sent by the client, by the host.
    std::uint64_t taken = 0, held = 0, in = 0, out = 0;
    std::array<std::array<std::uint64_t, kEndReasonCount>, 3> ended{};  // by EndedBy and EndReason
    std::array<std::uint64_t, 3> became{};                              // by StreamResult
  };
  NameStats& of(const std::string& name) { return names_[name]; }
  bool takeLogToken(Time now);

  const LogEnds log_;
  std::map<std::string, NameStats> names_;  // by listener name, or "websocket"
  double tokens_ = 0;
  Time lastRefill_{};
  std::uint64_t suppressedLines_ = 0;
};

}  // namespace finchstile::stream
