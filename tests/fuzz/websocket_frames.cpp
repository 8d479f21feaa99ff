// Any bytes as frames, in both directions and cut in two: the verdict is that of the whole, and nothing is
// passed that was not there.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "websocket/frames.hpp"

using namespace finchstile::websocket;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const std::string bytes(asText(data + 1, size - 1));
  const FrameRules rules{(data[0] & 4) == 0, (data[0] & 1) != 0, (data[0] & 2) != 0, 4096, 8192};
  FrameReader whole(rules), parts(rules);
  const auto all = whole.feed(bytes.data(), bytes.size(), false);
  if (all.pass > bytes.size()) std::abort();
  const std::size_t cut = data[0] * bytes.size() / 256;
  const auto first = parts.feed(bytes.data(), cut, false);
  if (first.pass > cut) std::abort();
  auto second = first;
  if (!first.fault) second = parts.feed(bytes.data() + first.pass, bytes.size() - first.pass, false);
  const std::size_t passed = first.pass + (first.fault ? 0 : second.pass);
  if (passed != all.pass || second.fault != all.fault || parts.closed() != whole.closed()) std::abort();
  return 0;
}
