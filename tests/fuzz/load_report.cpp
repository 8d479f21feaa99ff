// Parses any bytes as a load report. The numbers of a valid report must be absent or within their bounds.
#include "membership/load_report.hpp"

#include <cmath>
#include <cstdlib>

#include "fuzz/target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto r = finchstile::membership::parseLoadReport(asText(data, size));
  if (!r) return 0;
  for (const double v : {r->inflight, r->queue, r->latencyMs})
    if (!std::isnan(v) && !(v >= 0 && v <= 1e6)) std::abort();
  return 0;
}
