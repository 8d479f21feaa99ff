// Reads any bytes as frames of either direction, whole and split in two. Both must have the same result, and
// no more bytes may be passed on than were read.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "websocket/frames.hpp"

using namespace finchstile::websocket;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const std::string bytes(asText(data + 1, size - 1));
  const FrameRules rules{(data[0] & 4) == 0, (data[0] & 1) != 0, (data[0] & 2) != 0, 4096, 8192};
  FrameReader wholeReader(rules), splitReader(rules);
  const auto expected = wholeReader.feed(bytes.data(), bytes.size(), false);
  if (expected.pass > bytes.size()) std::abort();
  const std::size_t splitAt = data[0] * bytes.size() / 256;
  const auto first = splitReader.feed(bytes.data(), splitAt, false);
  if (first.pass > splitAt) std::abort();
  auto second = first;
  if (!first.fault) second = splitReader.feed(bytes.data() + first.pass, bytes.size() - first.pass, false);
  const std::size_t passed = first.pass + (first.fault ? 0 : second.pass);
  if (passed != expected.pass || second.fault != expected.fault ||
      splitReader.closed() != wholeReader.closed())
    std::abort();
  return 0;
}
