// Collects the counters of GatewayMetrics.
#pragma once

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/gateway_metrics.hpp"

namespace finchstile {

class GatewayMetricsCollector {
 public:
  /// Creates one set of counters for each class, in the order of the settings.
  explicit GatewayMetricsCollector(const std::vector<load_balancing::ClassSettings>& classes) {
    for (const auto& c : classes) classes_.push_back({c.name});
  }

  /// Counts a complete response with this status.
  void onResponse(std::uint32_t classIndex, boost::beast::http::status status) {
    namespace http = boost::beast::http;
    ClassMetrics& metrics = classes_[classIndex];
    const bool rejected =
        status == http::status::service_unavailable || status == http::status::too_many_requests;
    if (status == http::status::ok) ++metrics.succeeded;
    else if (rejected) ++metrics.rejected;
    else ++metrics.failed;
  }
  /// Counts an established upgrade as a success.
  void onUpgrade(std::uint32_t classIndex) { ++classes_[classIndex].succeeded; }
  void onLoadReport() { ++loadReports_; }
  void onMalformedLoadReport() { ++malformedLoadReports_; }
  void onTransferProlonged() { ++transfers_.prolonged; }
  void onRelayAtDeadline() { ++transfers_.relayedAtDeadline; }
  void onTransferEnded(TransferEndReason reason) { ++transfers_.ended[static_cast<std::size_t>(reason)]; }

  /// Returns the counters; the gauges of the present state are left at 0.
  GatewayMetrics snapshot() const {
    GatewayMetrics metrics;
    metrics.classes = classes_;
    metrics.loadReports = loadReports_;
    metrics.malformedLoadReports = malformedLoadReports_;
    metrics.transfers = transfers_;
    return metrics;
  }

 private:
  std::vector<ClassMetrics> classes_;
  std::uint64_t loadReports_ = 0, malformedLoadReports_ = 0;
  TransferMetrics transfers_;
};

}  // namespace finchstile
