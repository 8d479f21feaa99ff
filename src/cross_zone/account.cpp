#include "cross_zone/account.hpp"

#include <numeric>

#include "base/metric_label.hpp"

namespace finchstile::cross_zone {
namespace {

constexpr std::string_view kOther = "other";

std::string number(std::string_view name, std::uint64_t value) {
  return " " + std::string(name) + "=" + std::to_string(value);
}

std::string numbers(const Crossed& c) {
  return number("attempts", c.attempts) + number("forced", c.forced) + number("out", c.out) +
         number("in", c.in);
}

}  // namespace

Crossed& Crossed::operator+=(const Crossed& o) {
  attempts += o.attempts;
  forced += o.forced;
  out += o.out;
  in += o.in;
  return *this;
}

Crossed& Account::at(std::uint32_t cls, std::string_view zone) {
  auto it = zones_.find(zone);
  // Danger: names come from a list; one that changes its mind about them would fill the memory.
  if (it == zones_.end() && zones_.size() >= kZones) it = zones_.find(kOther);
  if (it == zones_.end())
    it = zones_.emplace(zones_.size() + 1 >= kZones ? kOther : zone, std::vector<Crossed>(classes_.size()))
             .first;
  return it->second.at(cls);
}

void Account::sent(std::uint32_t cls, std::string_view zone, std::uint64_t bytes, bool forced) {
  Crossed& c = at(cls, zone);
  ++c.attempts;
  c.forced += forced;
  c.out += bytes;
}

void Account::answered(std::uint32_t cls, std::string_view zone, std::uint64_t bytes) {
  at(cls, zone).in += bytes;
}

Crossed Account::total() const {
  Crossed all;
  for (const auto& [zone, classes] : zones_)
    for (const Crossed& c : classes) all += c;
  return all;
}

std::uint64_t Account::stayed() const {
  return std::accumulate(home_.begin(), home_.end(), std::uint64_t{0});
}

std::vector<std::string> Account::report() const {
  std::vector<std::string> lines;
  for (std::size_t cls = 0; cls < classes_.size(); ++cls)
    for (const auto& [zone, crossed] : zones_)
      if (crossed[cls].attempts > 0)
        lines.push_back("crossing class=" + classes_[cls] + " zone=" + zone + numbers(crossed[cls]));
  lines.push_back("crossing all" + numbers(total()) + number("stayed", stayed()));
  return lines;
}

std::string Account::exposition() const {
  std::string out = "# TYPE lb_crossing_attempts_total counter\n# TYPE lb_crossing_bytes_total counter\n";
  for (std::size_t cls = 0; cls < classes_.size(); ++cls)
    for (const auto& [zone, crossed] : zones_) {
      const Crossed& c = crossed[cls];
      if (c.attempts == 0) continue;
      const std::string at =
          "{group=\"" + metricLabel(classes_[cls]) + "\",zone=\"" + metricLabel(zone) + "\",";
      out += "lb_crossing_attempts_total" + at + "leave=\"given\"} " + std::to_string(c.attempts - c.forced) +
             "\n";
      out += "lb_crossing_attempts_total" + at + "leave=\"forced\"} " + std::to_string(c.forced) + "\n";
      out += "lb_crossing_bytes_total" + at + "way=\"out\"} " + std::to_string(c.out) + "\n";
      out += "lb_crossing_bytes_total" + at + "way=\"in\"} " + std::to_string(c.in) + "\n";
    }
  return out;
}

}  // namespace finchstile::cross_zone
