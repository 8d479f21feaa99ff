// Entry point of a fuzz target, as libFuzzer defines it. Without libFuzzer, `driver.cpp` calls it with a
// fixed corpus and deterministic mutations of it, so that each run in CI has the same inputs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

// Aborts the process if the input reveals a fault.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

inline std::string_view asText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}
