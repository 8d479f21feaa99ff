// Any bytes as a request and as an answer: cut into pieces at any point, with bodies taken at any point, they
// mean the same as in one piece, and no more of a body is held than has come.
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"
#include "net/framing.hpp"

using namespace finchstile;

namespace {

struct Reading {
  int verdict = 0;  // 0: more is wanted, 1: whole, 2: bad
  std::string head, body;
  std::size_t left = 0;  // bytes behind the message
  // What is not whole may be turned down sooner or later, as more of it is looked at; what is whole is the
  // same.
  bool agrees(const Reading& o) const {
    if (verdict != 1 && o.verdict != 1) return verdict == 2 || o.verdict == 2 || body == o.body;
    return verdict == o.verdict && head == o.head && body == o.body && left == o.left;
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

// `seed` 0: all at once.
template <bool isRequest>
Reading read(std::string_view bytes, std::uint32_t seed, bool ends) {
  MessageReader<isRequest> reader;
  reader.restart();
  boost::beast::flat_buffer buffer(kMaxUnparsedBytes + kMaxReadBytes);
  Reading out;
  boost::system::error_code error;
  std::size_t at = 0;
  const auto dice = [&seed] { return seed = seed * 1664525 + 1013904223, seed >> 16; };
  using Step = typename MessageReader<isRequest>::Step;
  for (;;) {
    const std::size_t most = seed ? 1 + dice() % 9 : bytes.size();
    const std::size_t n = std::min({most, bytes.size() - at, kMaxReadBytes});
    const auto room = buffer.prepare(n);
    std::copy_n(bytes.data() + at, n, static_cast<char*>(room.data()));
    buffer.commit(n);
    at += n;
    for (bool again = true; again;) switch (reader.step(buffer, error)) {
        case Step::head: break;
        case Step::malformed: out.verdict = 2; return out;
        case Step::needsBytes: again = false; break;
        case Step::complete: {
          out.verdict = 1;
          if (reader.bodyRead() > bytes.size()) std::abort();
          auto m = reader.takeMessage();
          out.head = headOf<isRequest>(m);
          out.body += m.body();
          out.left = buffer.size() + bytes.size() - at;
          return out;
        }
      }
    if (seed && reader.isHeadComplete() && dice() % 3 == 0) out.body += reader.takeBody();
    if (reader.bufferedBody() > bytes.size()) std::abort();
    if (at < bytes.size()) continue;
    if (!ends || !reader.completeAtEndOfConnection()) {
      out.left = 0;
      if (reader.isHeadComplete()) out.body += reader.takeBody();
      return out;
    }
    ends = false;  // once more round: it is whole now
  }
}

template <bool isRequest>
void check(std::string_view bytes) {
  const Reading one = read<isRequest>(bytes, 0, true);
  for (std::uint32_t seed = 1; seed < 4; ++seed)
    if (!read<isRequest>(bytes, seed, true).agrees(one)) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size > kMaxReadBytes) return 0;
  check<true>(asText(data, size));
  check<false>(asText(data, size));
  return 0;
}
