// Binary encoding of records and messages: little-endian integers, and text as its length and bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "base/little_endian.hpp"

namespace finchstile {

class FieldWriter {
 public:
  explicit FieldWriter(std::uint8_t kind) { number(kind); }
  template <class Int>
  FieldWriter& number(Int value) {
    putLittleEndian(bytes_, value);
    return *this;
  }
  // Text longer than the maximum of `Length` is truncated.
  template <class Length = std::uint16_t>
  FieldWriter& text(std::string_view s) {
    s = s.substr(0, std::numeric_limits<Length>::max());
    number(static_cast<Length>(s.size()));
    bytes_ += s;
    return *this;
  }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// After a missing field, all later fields read as empty or 0 and `isComplete` is false.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : rest_(bytes) {}
  template <class Int>
  Int number() {
    if (!good_ || rest_.size() < sizeof(Int)) return good_ = false, Int{};
    const Int value = getLittleEndian<Int>(rest_);
    rest_.remove_prefix(sizeof(Int));
    return value;
  }
  template <class Length = std::uint16_t>
  std::string text() {
    const std::size_t n = number<Length>();
    if (!good_ || rest_.size() < n) return good_ = false, std::string();
    std::string s(rest_.substr(0, n));
    rest_.remove_prefix(n);
    return s;
  }
  std::string rest() { return std::string(std::exchange(rest_, {})); }
  bool require(bool holds) { return good_ = good_ && holds; }  // marks the record invalid unless `holds`
  bool isComplete() const { return good_ && rest_.empty(); }   // no field is missing and no bytes are left

 private:
  std::string_view rest_;
  bool good_ = true;
};

}  // namespace finchstile
