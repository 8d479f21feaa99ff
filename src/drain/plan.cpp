#include "drain/plan.hpp"

#include <algorithm>

namespace finchstile::drain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// By the protocol: SIGKILL comes no sooner than the longest deadline, of which so much counts at most, and so
// much more after SIGTERM. Danger: a drain by the whole of a longer deadline is cut off with requests
// unanswered.
constexpr Duration kLongestCounted = seconds(3);
constexpr Duration kKillAfterLongest = milliseconds(700);
// Fronts go on connecting for 0.2 to 0.4 s after SIGTERM.
constexpr Duration kAccept = milliseconds(600), kAcceptLeast = milliseconds(400);
// A process that gets the core after a fifth of a second is nothing unusual on a machine that many share.
constexpr Duration kMargin = milliseconds(200), kLagMost = milliseconds(200);
constexpr Duration kLastCall = milliseconds(60);   // for the last answers to be written before the end
constexpr Duration kLastWork = milliseconds(540);  // who asks at the end of serving has so long at the least

}  // namespace

Plan::Plan(Time told, const Terms& terms)
    : told_(told),
      kill_(told + std::clamp(terms.longest, Duration{}, kLongestCounted) + kKillAfterLongest),
      serveFor_(std::max(terms.serveFor, Duration{})),
      sharedListener_(terms.sharedListener) {}

void Plan::onLag(Duration lag) { lag_ = std::max(lag_, std::min(lag, kLagMost)); }

Time Plan::exit() const { return kill_ - kMargin - lag_; }
Time Plan::lastCall() const { return exit() - kLastCall; }

Time Plan::serveUntil() const {
  if (sharedListener_) return told_;
  return std::max(told_, std::min(told_ + serveFor_, lastCall() - kLastWork));
}

// Danger: with deadlines of next to nothing it would reach past the end.
Time Plan::acceptUntil() const {
  return std::max(std::min(told_ + kAccept, lastCall() - kLastCall), told_ + kAcceptLeast - lag_);
}

Time Plan::closeListener() const { return std::max(acceptUntil(), serveUntil()); }

}  // namespace finchstile::drain
