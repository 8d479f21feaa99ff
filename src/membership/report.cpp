#include "membership/report.hpp"

#include <charconv>
#include <cmath>

namespace finchstile::membership {
namespace {

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

// Of what no host can be: more is a spoilt figure, and would outweigh all others.
constexpr double kMost = 1e6;

bool readNumber(std::string_view text, double& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && error == std::errc{} && end == text.data() + text.size() && std::isfinite(out) &&
         out >= 0 && out <= kMost;
}

}  // namespace

std::optional<load_balancing::LoadReport> readReport(std::string_view text) {
  if (text.size() > kReportMost || trimmed(text).empty()) return std::nullopt;
  load_balancing::LoadReport r;
  for (;;) {
    const std::size_t comma = text.find(',');
    const std::string_view part = trimmed(text.substr(0, comma));
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) return std::nullopt;
    double value = 0;
    if (!readNumber(part.substr(equals + 1), value)) return std::nullopt;
    const std::string_view name = part.substr(0, equals);
    double* const to = name == "inflight"     ? &r.inflight
                       : name == "queue"      ? &r.queue
                       : name == "latency_ms" ? &r.latencyMs
                                              : nullptr;
    if (to) {
      if (!std::isnan(*to)) return std::nullopt;
      *to = value;
    }
    if (comma == std::string_view::npos) return r;
    text.remove_prefix(comma + 1);
  }
}

}  // namespace finchstile::membership
