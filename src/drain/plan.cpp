#include "drain/plan.hpp"

#include <algorithm>

namespace finchstile::drain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The platform limits the longest deadline to kMaxCountedDeadline and kills the process kKillAfterDeadline
// after it. A drain that used all of a longer deadline would be killed with requests still open.
constexpr Duration kMaxCountedDeadline = seconds(3);
constexpr Duration kKillAfterDeadline = milliseconds(700);

// Load balancers in front of the gateway continue to open connections for 0.2 to 0.4 s after the signal.
constexpr Duration kAcceptTime = milliseconds(600);
constexpr Duration kMinAcceptTime = milliseconds(400);

// On a shared machine a process may have to wait 0.2 s for a core.
constexpr Duration kExitMargin = milliseconds(200);
constexpr Duration kMaxLag = milliseconds(200);

constexpr Duration kFinalWriteTime = milliseconds(60);  // to write the last responses
constexpr Duration kMinLastRequestTime =
    milliseconds(540);  // for a request that arrives just before serveDeadline

}  // namespace

DrainPlan::DrainPlan(Time signalledAt, const DrainSettings& settings)
    : signalledAt_(signalledAt),
      killAt_(signalledAt + std::clamp(settings.longestDeadline, Duration{}, kMaxCountedDeadline) +
              kKillAfterDeadline),
      maxServeTime_(std::max(settings.maxServeTime, Duration{})),
      sharedListener_(settings.sharedListener) {}

void DrainPlan::onLag(Duration lag) { worstLag_ = std::max(worstLag_, std::min(lag, kMaxLag)); }

Time DrainPlan::exitTime() const { return killAt_ - kExitMargin - worstLag_; }

Time DrainPlan::finalResponseTime() const { return exitTime() - kFinalWriteTime; }

Time DrainPlan::serveDeadline() const {
  if (sharedListener_) return signalledAt_;
  const Time latest = finalResponseTime() - kMinLastRequestTime;
  return std::max(signalledAt_, std::min(signalledAt_ + maxServeTime_, latest));
}

// With very short deadlines kMinAcceptTime would end after exitTime, so it is shortened by the lag.
Time DrainPlan::acceptDeadline() const {
  const Time latest = finalResponseTime() - kFinalWriteTime;
  const Time preferred = std::min(signalledAt_ + kAcceptTime, latest);
  return std::max(preferred, signalledAt_ + kMinAcceptTime - worstLag_);
}

Time DrainPlan::listenerCloseTime() const { return std::max(acceptDeadline(), serveDeadline()); }

}  // namespace finchstile::drain
