// Answers of control machines and calls of gateways: whatever comes, what is taken is whole and reads back
// the same.
#include <cstdlib>
#include <stdexcept>

#include "configuration/poll.hpp"
#include "configuration/store.hpp"
#include "fuzz/target.hpp"

namespace {

finchstile::configuration::Store freshStore() {
  finchstile::load_balancing::Settings start;
  finchstile::load_balancing::ClassSettings read;
  read.name = "read";
  read.latencyObjective = std::chrono::milliseconds(400);
  read.clientTimeout = std::chrono::seconds(1);
  start.classes = {read};
  return finchstile::configuration::Store(start);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace finchstile::configuration;
  const std::string_view text = asText(data, size);
  try {
    Store store = freshStore();
    const Update update = parseUpdate(text);
    if (store.apply(update).verdict == Verdict::taken) {
      Store again = freshStore();
      if (again.apply(parseUpdate(store.text())).verdict != Verdict::taken) std::abort();
      if (again.position().hash != store.position().hash) std::abort();
    }
  } catch (const std::runtime_error&) {
    // No update.
  }
  if (const auto poll = parsePollTarget(text)) {
    if (!parsePollTarget(pollTarget(*poll))) std::abort();
  }
  return 0;
}
