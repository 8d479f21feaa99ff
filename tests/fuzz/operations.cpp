// Parses any bytes as a request to the administration interface, as the file of cordoned hosts, as learned
// state and as a handover message. Encoding what was decoded must be stable.
#include <cstdlib>
#include <string>

#include "fuzz/target.hpp"
#include "handover/learned_state_text.hpp"
#include "handover/message.hpp"
#include "ops/admin_call.hpp"
#include "ops/host_cordon.hpp"

using namespace finchstile;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = asText(data, size);
  const std::size_t space = std::min(text.find(' '), text.size());
  const auto call = ops::parseAdminCall(text.substr(0, space), text.substr(std::min(space + 1, text.size())));
  if (call.call ? call.call->host.size() > 256 : call.status < 400) std::abort();
  ops::HostCordon cordon, copy;
  if (cordon.decode(text, {}) && (!copy.decode(cordon.encode(), {}) || copy.encode() != cordon.encode()))
    std::abort();
  if (const auto learned = handover::decodeLearnedState(text)) {
    const std::string once = handover::encodeLearnedState(*learned).text;
    const auto again = handover::decodeLearnedState(once);
    if (!again || handover::encodeLearnedState(*again).text != once) std::abort();
    finchstile::load_balancing::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].name = "a";
    settings.classes[0].latencyObjective = settings.classes[0].clientTimeout = std::chrono::seconds(1);
    finchstile::load_balancing::LoadBalancer balancer(settings, std::chrono::hours(1));
    balancer.restoreLearnedState(std::chrono::hours(1), *learned);  // must tolerate any numbers
    balancer.onTimer(std::chrono::hours(2));
    if (!(balancer.admissionCutoff() >= 0 && balancer.admissionCutoff() <= 100)) std::abort();
  }
  for (std::size_t descriptors = 0; descriptors < 3; ++descriptors)
    if (const auto m = handover::decode(text, descriptors); m && handover::encode(*m) != text) std::abort();
  return 0;
}
