#include "ops/exposition.hpp"

#include <string_view>

#include "base/metric_label.hpp"

namespace finchstile::ops {
namespace {

void type(std::string& out, std::string_view name, std::string_view what) {
  out.append("# TYPE lb_").append(name).append(" ").append(what).append("\n");
}

void one(std::string& out, std::string_view name, std::string_view what, std::uint64_t value) {
  type(out, name, what);
  out.append("lb_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string exposition(const GatewayMetrics& f, const ConfigMetrics& config) {
  std::string out;
  out.reserve(256 + 192 * f.classes.size());
  type(out, "transactions_total", "counter");
  for (const ClassMetrics& c : f.classes) {
    const std::string head = "lb_transactions_total{group=\"" + metricLabel(c.name) + "\",state=\"";
    out += head + "answered\"} " + std::to_string(c.succeeded) + "\n";
    out += head + "deferred\"} " + std::to_string(c.rejected) + "\n";
    out += head + "errored\"} " + std::to_string(c.failed) + "\n";
  }
  one(out, "sends_total", "counter", f.attemptsSent);
  one(out, "current", "gauge", f.activeRequests);
  one(out, "cluster_size", "gauge", f.listedHosts);
  one(out, "cluster_unhealthy", "gauge", f.avoidedHosts);
  one(out, "load_reports_total", "counter", f.loadReports);
  one(out, "load_reports_spoilt_total", "counter", f.malformedLoadReports);
  one(out, "conf_loaded_total", "counter", config.loaded);
  one(out, "conf_invalid_total", "counter", config.invalid);
  return out;
}

}  // namespace finchstile::ops
