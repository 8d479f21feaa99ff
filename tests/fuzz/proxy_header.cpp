// Any bytes as the beginning of a connection behind a proxy. What is good stays so, whatever follows it.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "stream/proxy_protocol.hpp"

using namespace finchstile::stream;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes(asText(data, size));
  const ProxyRead r = readProxyHeader(bytes);
  if (r.verdict == ProxyRead::Verdict::bad && !*r.why) std::abort();
  if (r.verdict != ProxyRead::Verdict::good) return 0;
  if (r.used > bytes.size() || r.used < 16 || r.used > kMaxProxyHeaderBytes) std::abort();
  const ProxyRead longer = readProxyHeader(bytes + "more");
  const ProxyRead cut = readProxyHeader(std::string_view(bytes).substr(0, r.used - 1));
  if (longer.verdict != ProxyRead::Verdict::good || longer.used != r.used) std::abort();
  if (cut.verdict != ProxyRead::Verdict::more) std::abort();
  // Written again, it says the same.
  const ProxyRead again = readProxyHeader(writeProxyHeader(r.header));
  if (again.verdict != ProxyRead::Verdict::good || again.header.ends.has_value() != r.header.ends.has_value())
    std::abort();
  if (r.header.ends && again.header.ends->from != r.header.ends->from) std::abort();
  return 0;
}
