// The figures of streams, by the name under which they came in, and a line for each that ended. No I/O.
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

struct Ended {                  // what is said of one that ended
  std::string_view name, host;  // host: empty if none was reached
  std::string from;             // its client's address
  Ending how;
  Duration lasted{};
  std::uint64_t in = 0, out = 0;  // bytes of the client, of the host
};

class StreamAccount {
 public:
  explicit StreamAccount(LogEnds log) : log_(log) {}

  void onTaken(const std::string& name) { ++of(name).taken; }
  void onBegun(const std::string& name) { ++of(name).held; }
  // The line to be logged; empty: none. `begun`: it had.
  std::string onEnded(const std::string& name, const Ended& e, bool begun, Time now);

  std::uint64_t ended(Became became) const;
  std::uint64_t ended(Ender who, Why why) const;
  std::uint64_t taken() const;
  std::string exposition(std::size_t bufferHeld) const;
  std::string summary() const;

 private:
  struct Named {
    std::uint64_t taken = 0, held = 0, in = 0, out = 0;
    std::array<std::array<std::uint64_t, kWhys>, 3> ended{};  // by who and why
    std::array<std::uint64_t, 3> became{};
  };
  Named& of(const std::string& name) { return names_[name]; }
  bool mayLog(Time now);

  const LogEnds log_;
  std::map<std::string, Named> names_;  // of the operator's file: few
  double tokens_ = 0;
  Time tokensAt_{};
  std::uint64_t unsaid_ = 0;
};

}  // namespace finchstile::stream
