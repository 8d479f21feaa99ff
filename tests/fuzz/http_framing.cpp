// Parses any bytes as a request and as an answer. Input split at random points, with the body taken out at
// random points, must have the same result as unsplit input. No more body bytes may be buffered than have
// arrived.
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"
#include "net/framing.hpp"

using namespace finchstile;

namespace {

struct ReadResult {
  int status = 0;  // 0: incomplete, 1: complete, 2: malformed
  std::string head, body;
  std::size_t remainingBytes = 0;  // bytes after the message
  // Malformed input may be detected earlier or later, depending on how it is split. A complete message must
  // be the same.
  bool isConsistentWith(const ReadResult& o) const {
    if (status != 1 && o.status != 1) return status == 2 || o.status == 2 || body == o.body;
    return status == o.status && head == o.head && body == o.body && remainingBytes == o.remainingBytes;
  }
};

template <bool isRequest>
std::string headOf(const typename MessageReader<isRequest>::Message& m) {
  std::string out;
  if constexpr (isRequest) out = std::string(m.method_string()) + " " + std::string(m.target());
  else out = std::to_string(m.result_int());
  for (const auto& field : m)
    out += "\n" + std::string(field.name_string()) + ":" + std::string(field.value());
  return out;
}

// Feeds `bytes` to a MessageReader, split at points drawn from `seed`, or unsplit if `seed` is 0.
// `closesAfterwards`: the connection is closed after them.
template <bool isRequest>
ReadResult readMessage(std::string_view bytes, std::uint32_t seed, bool closesAfterwards) {
  MessageReader<isRequest> reader;
  reader.restart();
  boost::beast::flat_buffer buffer(kMaxUnparsedBytes + kMaxReadBytes);
  ReadResult out;
  boost::system::error_code error;
  std::size_t offset = 0;
  const auto nextRandom = [&seed] { return seed = seed * 1664525 + 1013904223, seed >> 16; };
  using Step = typename MessageReader<isRequest>::Step;
  for (;;) {
    const std::size_t maxBytes = seed ? 1 + nextRandom() % 9 : bytes.size();
    const std::size_t n = std::min({maxBytes, bytes.size() - offset, kMaxReadBytes});
    const auto space = buffer.prepare(n);
    std::copy_n(bytes.data() + offset, n, static_cast<char*>(space.data()));
    buffer.commit(n);
    offset += n;
    for (bool continueStepping = true; continueStepping;) switch (reader.step(buffer, error)) {
        case Step::head: break;
        case Step::malformed: out.status = 2; return out;
        case Step::needsBytes: continueStepping = false; break;
        case Step::complete: {
          out.status = 1;
          if (reader.bodyRead() > bytes.size()) std::abort();
          auto m = reader.takeMessage();
          out.head = headOf<isRequest>(m);
          out.body += m.body();
          out.remainingBytes = buffer.size() + bytes.size() - offset;
          return out;
        }
      }
    if (seed && reader.isHeadComplete() && nextRandom() % 3 == 0) out.body += reader.takeBody();
    if (reader.bufferedBody() > bytes.size()) std::abort();
    if (offset < bytes.size()) continue;
    if (!closesAfterwards || !reader.completeAtEndOfConnection()) {
      out.remainingBytes = 0;
      if (reader.isHeadComplete()) out.body += reader.takeBody();
      return out;
    }
    closesAfterwards = false;  // the close completes the message: step() returns it in the next round
  }
}

template <bool isRequest>
void check(std::string_view bytes) {
  const ReadResult expected = readMessage<isRequest>(bytes, 0, true);
  for (std::uint32_t seed = 1; seed < 4; ++seed)
    if (!readMessage<isRequest>(bytes, seed, true).isConsistentWith(expected)) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size > kMaxReadBytes) return 0;
  check<true>(asText(data, size));
  check<false>(asText(data, size));
  return 0;
}
