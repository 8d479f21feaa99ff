// Parses any bytes as the operator's file. The result must be error lines or settings within their bounds.
#include "app/operator_file.hpp"

#include <cstdlib>

#include "fuzz/target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    const auto file = finchstile::readOperatorFile(asText(data, size), "f");
    if (file.gatewayOptions.clientDescriptorFraction + file.gatewayOptions.upstreamDescriptorFraction >
            0.95001 ||
        file.hooks.hooks.size() > 64)
      std::abort();
  } catch (const finchstile::OperatorFileError& error) {
    if (error.lines().empty()) std::abort();
  }
  return 0;
}
