// The settings of the attempt log: the table [trace] of the operator's file, documented in
// docs/operators/trace.md.
#pragma once

#include <cstdint>
#include <string>

#include "operator/reader.hpp"

namespace finchstile::trace {

struct TraceSettings {
  bool enabled = false;
  std::string file;                                   // empty: standard error
  double sampleFraction = 1;                          // of the requests (see isSampled())
  double linesPerSecond = 5000;                       // lines beyond this rate are dropped and counted
  std::size_t maxFileBytes = std::size_t{256} << 20;  // a larger file is renamed to FILE.1
  // Of lines queued for a slow disk; lines beyond are dropped and counted.
  std::size_t maxQueuedBytes = std::size_t{4} << 20;
};

// Reads the table [trace] of `root`, which collects the errors. Relative paths are relative to `folder`,
// that of the operator's file. Settings that are absent keep their values in `out`.
void readTraceSettings(SettingReader& root, const std::string& folder, TraceSettings& out);

}  // namespace finchstile::trace
