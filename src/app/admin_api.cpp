#include "app/admin_api.hpp"

#include <cstdio>
#include <cstdlib>

#include "base/file_name.hpp"
#include "ops/call.hpp"

namespace finchstile {
namespace {

using std::chrono::milliseconds;

// What another process of this gateway was told takes effect within this and a look at a small file.
constexpr milliseconds kLook(100);

}  // namespace

AdminApi::AdminApi(boost::asio::io_context& io, const Clock& clock, const GatewayConfig& c,
                   const std::string& file, Gateway& gateway)
    : clock_(clock),
      keep_(c.settings.warmUpTime),
      gateway_(gateway),
      file_(file),
      timer_(io),
      server_(io, c.adminEndpoint.value(), *this, {}) {
  refresh();
  gateway_.addHostEntryFilter(*this);
  waitToLook();
}

// True if another process has said something else than stands here.
bool AdminApi::refresh() {
  if (file_.path().empty()) return false;
  const auto text = file_.readIfChanged();
  if (!text) return false;
  if (out_.decode(*text, clock_.now())) return true;
  std::fprintf(stderr, "ops: %s is not whole or not ours; what is out by hand stays as it was\n",
               file_.path().c_str());
  return false;
}

void AdminApi::waitToLook() {
  timer_.expires_after(kLook);
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    if (refresh()) gateway_.reapplyHostFilters();
    out_.expire(clock_.now(), keep_);
    waitToLook();
  });
}

ops::Reply AdminApi::onCall(const ops::Call& call) {
  switch (call.kind) {
    case ops::CallKind::ready:
      if (gateway_.ready()) return {200, "ready\n"};
      return {503, "not ready\n"};
    case ops::CallKind::telemetry:
      return {200, ops::exposition(gateway_.metrics(), config) + (more ? more() : std::string())};
    case ops::CallKind::exclude: return takeOut(call.host);
    case ops::CallKind::include: return putBack(call.host);
    case ops::CallKind::evacuate:
      gateway_.enterLameDuck();
      std::fprintf(stderr, "ops: clients are sent away\n");
      return {200, "done\n"};
    case ops::CallKind::rejoin:
      gateway_.leaveLameDuck();
      std::fprintf(stderr, "ops: clients are taken again\n");
      return {200, "done\n"};
    case ops::CallKind::hosts: {
      if (!hosts) return {404, "needs [membership] in the operator's file\n"};
      const auto text = hosts(call.host);
      return text ? ops::Reply{200, *text} : ops::Reply{404, "no such host in the list\n"};
    }
  }
  return {500, ""};
}

ops::Reply AdminApi::takeOut(const std::string& host) {
  if (!known(host)) return {404, "no such host in the list\n"};
  if (!out_.cordon(host)) return {507, "too many hosts are out by hand\n"};
  return changed(host, "out by hand");
}

ops::Reply AdminApi::putBack(const std::string& host) {
  if (!known(host)) return {404, "no such host in the list\n"};
  if (!out_.isCordoned(host)) return {200, "was not out\n"};
  out_.uncordon(host, clock_.now());
  return changed(host, "put back");
}

// Danger: what another process was told is read once; whatever becomes of this call, it takes effect here.
bool AdminApi::known(const std::string& host) {
  if (refresh()) gateway_.reapplyHostFilters();
  return gateway_.isListed(host) || out_.knows(host);
}

// Danger: a yes that the next process does not know of would be broken by it.
ops::Reply AdminApi::changed(const std::string& host, const char* how) {
  gateway_.reapplyHostFilters();
  std::fprintf(stderr, "ops: host %s is %s\n", host.c_str(), how);
  if (file_.path().empty() || file_.write(out_.encode())) return {200, "done\n"};
  std::fprintf(stderr, "ops: %s can not be written\n", file_.path().c_str());
  return {500, std::string(how) + " in this process; the next would not know: the file can not be written\n"};
}

std::string opsFile(const std::string& name) {
  const char* folder = std::getenv("TMPDIR");
  if (!folder || !*folder) return {};
  return std::string(folder) + "/finchstile-" + fileNameOf(name) + ".out";
}

}  // namespace finchstile
