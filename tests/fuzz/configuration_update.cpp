// Parses any bytes as a response of a control machine and as a poll of a gateway. An accepted update must
// read back equal, and a valid poll must have a valid encoding.
#include <cstdlib>
#include <stdexcept>

#include "configuration/configuration_store.hpp"
#include "configuration/poll_request.hpp"
#include "fuzz/target.hpp"

namespace {

finchstile::configuration::ConfigurationStore freshStore() {
  finchstile::load_balancing::Settings start;
  finchstile::load_balancing::ClassSettings read;
  read.name = "read";
  read.latencyObjective = std::chrono::milliseconds(400);
  read.clientTimeout = std::chrono::seconds(1);
  start.classes = {read};
  return finchstile::configuration::ConfigurationStore(start);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace finchstile::configuration;
  const std::string_view text = asText(data, size);
  try {
    ConfigurationStore store = freshStore();
    const Update update = parseUpdate(text);
    if (store.apply(update).result == ApplyResult::accepted) {
      ConfigurationStore again = freshStore();
      if (again.apply(parseUpdate(store.serialize())).result != ApplyResult::accepted) std::abort();
      if (again.versionState().hash != store.versionState().hash) std::abort();
    }
  } catch (const std::runtime_error&) {
    // Not a valid update.
  }
  if (const auto poll = parsePollTarget(text)) {
    if (!parsePollTarget(formatPollTarget(*poll))) std::abort();
  }
  return 0;
}
