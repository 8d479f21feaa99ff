#include "ops/exposition.hpp"

#include <chrono>
#include <cstdio>
#include <string_view>

#include "base/metric_label.hpp"

namespace finchstile::ops {
namespace {

// Estimated sizes, so that one allocation is enough.
constexpr std::size_t kBytesWithoutClasses = 1792;
constexpr std::size_t kBytesPerClass = 192;

void appendType(std::string& out, std::string_view name, std::string_view type) {
  out.append("# TYPE lb_").append(name).append(" ").append(type).append("\n");
}

void appendValue(std::string& out, std::string_view name, std::string_view type, std::uint64_t value) {
  appendType(out, name, type);
  out.append("lb_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

void appendTransactions(std::string& out, const ClassMetrics& requestClass) {
  const std::string series =
      "lb_transactions_total{group=\"" + metricLabel(requestClass.name) + "\",state=\"";
  out += series + "answered\"} " + std::to_string(requestClass.succeeded) + "\n";
  out += series + "deferred\"} " + std::to_string(requestClass.rejected) + "\n";
  out += series + "errored\"} " + std::to_string(requestClass.failed) + "\n";
}

std::string seconds(UnsolicitedBytesMetrics::Duration duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", std::chrono::duration<double>(duration).count());
  return text;
}

void appendUnsolicitedBytes(std::string& out, const UnsolicitedBytesMetrics& metrics) {
  constexpr std::string_view kName = "unsolicited_bytes_delay_seconds";
  appendType(out, kName, "histogram");
  const std::string series = "lb_" + std::string(kName);
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < metrics.counts().size(); ++i) {
    count += metrics.counts()[i];
    const bool isBounded = i < UnsolicitedBytesMetrics::kBounds.size();
    out += series + "_bucket{le=\"" + (isBounded ? seconds(UnsolicitedBytesMetrics::kBounds[i]) : "+Inf") +
           "\"} " + std::to_string(count) + "\n";
  }
  out += series + "_sum " + seconds(metrics.sum()) + "\n";
  out += series + "_count " + std::to_string(count) + "\n";
}

void appendMemory(std::string& out, const MemoryMetrics& memory) {
  if (memory.limit == 0) return;
  appendValue(out, "memory_limit_bytes", "gauge", memory.limit);
  appendValue(out, "memory_resident_bytes", "gauge", memory.resident);
  appendValue(out, "memory_promised_bytes", "gauge", memory.promised);
  const auto refused = [&memory](MemoryUse use) { return memory.refused[static_cast<std::size_t>(use)]; };
  appendValue(out, "memory_long_input_paused_total", "counter", refused(MemoryUse::longInput));
  appendValue(out, "memory_long_response_split_total", "counter", refused(MemoryUse::longResponse));
  appendValue(out, "memory_connections_refused_total", "counter", refused(MemoryUse::connection));
  appendValue(out, "memory_requests_refused_total", "counter", refused(MemoryUse::request));
}

void appendTransfers(std::string& out, const TransferMetrics& transfers) {
  appendValue(out, "transfers_prolonged_total", "counter", transfers.prolonged);
  appendValue(out, "transfers_relayed_at_deadline_total", "counter", transfers.relayedAtDeadline);
  appendType(out, "transfers_ended_total", "counter");
  for (std::size_t i = 0; i < kTransferEndReasons; ++i)
    out.append("lb_transfers_ended_total{reason=\"")
        .append(nameOf(static_cast<TransferEndReason>(i)))
        .append("\"} ")
        .append(std::to_string(transfers.ended[i]))
        .append("\n");
}

}  // namespace

std::string renderMetrics(const GatewayMetrics& metrics, const ConfigMetrics& config) {
  std::string out;
  out.reserve(kBytesWithoutClasses + kBytesPerClass * metrics.classes.size());
  appendType(out, "transactions_total", "counter");
  for (const ClassMetrics& requestClass : metrics.classes) appendTransactions(out, requestClass);
  appendValue(out, "sends_total", "counter", metrics.attemptsSent);
  appendValue(out, "current", "gauge", metrics.activeRequests);
  appendValue(out, "client_buffer_bytes", "gauge", metrics.clientBufferBytes);
  appendValue(out, "client_reads_paused_total", "counter", metrics.pausedReads);
  appendMemory(out, metrics.memory);
  appendTransfers(out, metrics.transfers);
  appendValue(out, "cluster_size", "gauge", metrics.listedHosts);
  appendValue(out, "cluster_unhealthy", "gauge", metrics.avoidedHosts);
  appendValue(out, "load_reports_total", "counter", metrics.loadReports);
  appendValue(out, "load_reports_spoilt_total", "counter", metrics.malformedLoadReports);
  appendUnsolicitedBytes(out, metrics.unsolicitedBytes);
  appendValue(out, "conf_loaded_total", "counter", config.loaded);
  appendValue(out, "conf_invalid_total", "counter", config.invalid);
  return out;
}

}  // namespace finchstile::ops
