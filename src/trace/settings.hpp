// The part of the operator's file that is about the log of attempts: [trace].
#pragma once

#include <cstdint>
#include <string>

#include "operator/reader.hpp"

namespace finchstile::trace {

struct TraceSettings {
  bool enabled = false;
  std::string file;              // empty: standard error
  double share = 1;              // of the requests, chosen by their ids: all gateways choose the same ones
  double linesPerSecond = 5000;  // what goes beyond is left out, and counted
  std::size_t fileMost = 256u << 20;   // bytes; a file that has grown so large is put aside as FILE.1
  std::size_t waitingMost = 4u << 20;  // bytes that wait for a slow disk; what goes beyond is left out
};

// `folder`: the operator's file lies there; a path in it starts at that.
void readTraceSettings(SettingReader& root, const std::string& folder, TraceSettings& out);

}  // namespace finchstile::trace
