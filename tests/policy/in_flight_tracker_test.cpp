// The list of hosts that hold something follows every hold and release, in any order.
#include "policy/state.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace finchstile::load_balancing::testing {
namespace {

TEST(State, TheBusyHostsAreThoseThatHoldSomething) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    State state;
    std::vector<HostId> ids;
    for (int i = 0; i < 12; ++i) ids.push_back(state.hosts.add());
    Open request;
    request.id = 1;
    std::vector<Try> held;
    for (int step = 0; step < 400; ++step) {
      if (held.empty() || engine() % 2 == 0) {
        Try attempt;
        attempt.host = ids[engine() % ids.size()];
        state.hold(request, attempt);
        held.push_back(attempt);
      } else {
        const std::size_t at = engine() % held.size();
        state.letGo(held[at]);
        state.letGo(held[at]);  // a second time does nothing
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
      }
      std::set<HostId> expected;
      for (const Try& attempt : held) expected.insert(attempt.host);
      ASSERT_EQ(std::set<HostId>(state.busy.begin(), state.busy.end()), expected);
      ASSERT_EQ(state.busy.size(), expected.size());
    }
  }
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
