#include "membership/load_report.hpp"

#include <charconv>
#include <cmath>

namespace finchstile::membership {
namespace {

// Above any real number of requests in flight. A larger, corrupted value would outweigh those of all other
// hosts.
constexpr double kMaxValue = 1e6;

std::string_view trim(std::string_view text) {
  const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

std::optional<double> parseValue(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value < 0 || value > kMaxValue) return std::nullopt;
  return value;
}

// Returns null for an unknown name.
double* fieldNamed(std::string_view name, load_balancing::LoadReport& report) {
  if (name == "inflight") return &report.inflight;
  if (name == "queue") return &report.queue;
  if (name == "latency_ms") return &report.latencyMs;
  return nullptr;
}

// Parses "NAME=VALUE". Returns false if it is malformed or the value has been set before.
bool parseAssignment(std::string_view text, load_balancing::LoadReport& report) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos || equals == 0) return false;
  const auto value = parseValue(text.substr(equals + 1));
  if (!value) return false;
  double* const field = fieldNamed(text.substr(0, equals), report);
  if (!field) return true;
  if (!std::isnan(*field)) return false;
  *field = *value;
  return true;
}

}  // namespace

std::optional<load_balancing::LoadReport> parseLoadReport(std::string_view text) {
  if (text.size() > kMaxLoadReportBytes || trim(text).empty()) return std::nullopt;
  load_balancing::LoadReport report;
  while (true) {
    const std::size_t comma = text.find(',');
    if (!parseAssignment(trim(text.substr(0, comma)), report)) return std::nullopt;
    if (comma == std::string_view::npos) return report;
    text.remove_prefix(comma + 1);
  }
}

}  // namespace finchstile::membership
