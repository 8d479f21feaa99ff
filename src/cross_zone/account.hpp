// What has crossed from our zone to others, by class and zone. No I/O. Bounded: zones beyond kZones are one,
// "other".
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::cross_zone {

struct Crossed {
  std::uint64_t attempts = 0;     // sent to another zone
  std::uint64_t forced = 0;       // of these, without the budget's leave: service would have fallen
  std::uint64_t out = 0, in = 0;  // bytes: requests, answers

  Crossed& operator+=(const Crossed& o);
};

class Account {
 public:
  static constexpr std::size_t kZones = 64;

  explicit Account(std::vector<std::string> classes) : classes_(std::move(classes)), home_(classes_.size()) {}

  void home(std::uint32_t cls) { ++home_.at(cls); }  // an attempt that stayed
  void sent(std::uint32_t cls, std::string_view zone, std::uint64_t bytes, bool forced);
  void answered(std::uint32_t cls, std::string_view zone, std::uint64_t bytes);

  Crossed total() const;
  std::uint64_t stayed() const;
  // A line for each class and zone that has any, as in
  // "crossing class=log-in zone=cluj attempts=12 forced=0 out=2400 in=960", then one with the sum.
  std::vector<std::string> report() const;
  // The same as lines of the exposition format: lb_crossing_bytes_total{group="log-in",zone="cluj",way="out"}
  // 2400
  std::string exposition() const;

 private:
  Crossed& at(std::uint32_t cls, std::string_view zone);

  std::vector<std::string> classes_;
  std::vector<std::uint64_t> home_;
  std::map<std::string, std::vector<Crossed>, std::less<>> zones_;  // by class in each
};

}  // namespace finchstile::cross_zone
