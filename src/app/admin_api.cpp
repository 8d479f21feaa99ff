#include "app/admin_api.hpp"

#include <cstdio>
#include <cstdlib>

#include "base/file_name.hpp"
#include "ops/admin_call.hpp"

namespace finchstile {
namespace {

using std::chrono::milliseconds;

// Interval between reads of the cordon file: the longest delay until a cordon set by another process takes
// effect here.
constexpr milliseconds kRefreshInterval(100);

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kInsufficientStorage = 507;

ops::Reply noSuchHost() { return {kNotFound, "no such host in the list\n"}; }

}  // namespace

AdminApi::AdminApi(boost::asio::io_context& io, const Clock& clock, const GatewayConfig& config,
                   const std::string& cordonFile, Gateway& gateway)
    : clock_(clock),
      cordonRetention_(config.settings.warmUpTime),
      gateway_(gateway),
      stateFile_(cordonFile),
      timer_(io),
      server_(io, config.adminEndpoint.value(), *this, {}) {
  readSharedState();
  gateway_.addHostEntryFilter(*this);
  scheduleRefresh();
}

// Reads the cordon file. Returns true if another process has changed the cordoned hosts.
bool AdminApi::readSharedState() {
  if (stateFile_.path().empty()) return false;
  const auto text = stateFile_.readIfChanged();
  if (!text) return false;
  if (cordon_.decode(*text, clock_.now())) return true;
  std::fprintf(stderr, "finchstile: invalid cordon file, keeping the current cordons: file=%s\n",
               stateFile_.path().c_str());
  return false;
}

void AdminApi::scheduleRefresh() {
  timer_.expires_after(kRefreshInterval);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    if (readSharedState()) gateway_.reapplyHostFilters();
    cordon_.expire(clock_.now(), cordonRetention_);
    scheduleRefresh();
  });
}

ops::Reply AdminApi::onCall(const ops::AdminCall& call) {
  switch (call.kind) {
    case ops::AdminCallKind::ready:
      if (gateway_.ready()) return {kOk, "ready\n"};
      return {kUnavailable, "not ready\n"};
    case ops::AdminCallKind::telemetry: {
      const std::string more = additionalMetrics ? additionalMetrics() : std::string();
      return {kOk, ops::renderMetrics(gateway_.metrics(), configMetrics) + more};
    }
    case ops::AdminCallKind::exclude: return cordonHost(call.host);
    case ops::AdminCallKind::include: return uncordonHost(call.host);
    case ops::AdminCallKind::evacuate: return setLameDuck(true);
    case ops::AdminCallKind::rejoin: return setLameDuck(false);
    case ops::AdminCallKind::hosts: return describeHosts(call.host);
  }
  return {kServerError, ""};
}

ops::Reply AdminApi::setLameDuck(bool enabled) {
  if (enabled) {
    gateway_.enterLameDuck();
    std::fprintf(stderr, "finchstile: lame duck mode entered, closing client connections\n");
  } else {
    gateway_.leaveLameDuck();
    std::fprintf(stderr, "finchstile: lame duck mode left, keeping client connections\n");
  }
  return {kOk, "done\n"};
}

ops::Reply AdminApi::describeHosts(const std::string& host) {
  if (!hostsText) return {kNotFound, "needs [membership] in the operator's file\n"};
  const auto text = hostsText(host);
  return text ? ops::Reply{kOk, *text} : noSuchHost();
}

ops::Reply AdminApi::cordonHost(const std::string& host) {
  if (!isKnownHost(host)) return noSuchHost();
  if (!cordon_.cordon(host)) return {kInsufficientStorage, "too many hosts are out by hand\n"};
  return onCordonChanged(host, "out by hand");
}

ops::Reply AdminApi::uncordonHost(const std::string& host) {
  if (!isKnownHost(host)) return noSuchHost();
  if (!cordon_.isCordoned(host)) return {kOk, "was not out\n"};
  cordon_.uncordon(host, clock_.now());
  return onCordonChanged(host, "put back");
}

// readIfChanged() returns a change by another process only once, so the change is applied here even if the
// operation on `host` then fails.
bool AdminApi::isKnownHost(const std::string& host) {
  if (readSharedState()) gateway_.reapplyHostFilters();
  return gateway_.isListed(host) || cordon_.isTracked(host);
}

// Replies with an error if the cordon file cannot be written, since the successor process reads cordons from
// that file.
ops::Reply AdminApi::onCordonChanged(const std::string& host, const char* change) {
  gateway_.reapplyHostFilters();
  std::fprintf(stderr, "finchstile: host changed by an operator: host=%s change=\"%s\"\n", host.c_str(),
               change);
  if (stateFile_.path().empty() || stateFile_.write(cordon_.encode())) return {kOk, "done\n"};
  std::fprintf(stderr,
               "finchstile: cannot write the cordon file, the change applies to this process only: file=%s\n",
               stateFile_.path().c_str());
  return {kServerError,
          std::string(change) + " in this process; the next would not know: the file can not be written\n"};
}

std::string cordonFilePath(const std::string& name) {
  const char* const directory = std::getenv("TMPDIR");
  if (!directory || !*directory) return {};
  return std::string(directory) + "/finchstile-" + fileNameOf(name) + ".out";
}

}  // namespace finchstile
