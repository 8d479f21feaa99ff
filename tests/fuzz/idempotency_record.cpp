// Decodes any bytes as a record of the idempotency log, and of the exchange of keys between two processes. A
// valid record has exactly one encoding.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "idempotency/log_record.hpp"
#include "idempotency/replication_record.hpp"

using namespace finchstile::idempotency;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto record = decode(asText(data, size));
  if (record && encode(*record) != asText(data, size)) std::abort();
  const auto replicated = decodeReplicationRecord(asText(data, size));
  if (replicated && encodeReplicationRecord(*replicated) != asText(data, size)) std::abort();
  return 0;
}
