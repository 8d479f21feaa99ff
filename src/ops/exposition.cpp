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

std::string exposition(const GatewayFigures& f, const ConfigFigures& config) {
  std::string out;
  out.reserve(256 + 192 * f.classes.size());
  type(out, "transactions_total", "counter");
  for (const ClassFigures& c : f.classes) {
    const std::string head = "lb_transactions_total{group=\"" + metricLabel(c.name) + "\",state=\"";
    out += head + "answered\"} " + std::to_string(c.answered) + "\n";
    out += head + "deferred\"} " + std::to_string(c.deferred) + "\n";
    out += head + "errored\"} " + std::to_string(c.errored) + "\n";
  }
  one(out, "sends_total", "counter", f.sends);
  one(out, "current", "gauge", f.current);
  one(out, "cluster_size", "gauge", f.listed);
  one(out, "cluster_unhealthy", "gauge", f.avoided);
  one(out, "load_reports_total", "counter", f.reports);
  one(out, "load_reports_spoilt_total", "counter", f.spoiltReports);
  one(out, "conf_loaded_total", "counter", config.loaded);
  one(out, "conf_invalid_total", "counter", config.invalid);
  return out;
}

}  // namespace finchstile::ops
