// Binary encoding of records and messages, field by field: integers are little-endian, text is its length
// followed by its bytes.
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
  // Text that is longer than `Length` can represent is truncated.
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

// Reads fields in the order in which they were written. After the first missing or invalid field all further
// fields are read as empty values, and `isComplete` returns false.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : remaining_(bytes) {}
  template <class Int>
  Int number() {
    if (!valid_ || remaining_.size() < sizeof(Int)) return valid_ = false, Int{};
    const Int value = getLittleEndian<Int>(remaining_);
    remaining_.remove_prefix(sizeof(Int));
    return value;
  }
  template <class Length = std::uint16_t>
  std::string text() {
    const std::size_t n = number<Length>();
    if (!valid_ || remaining_.size() < n) return valid_ = false, std::string();
    std::string s(remaining_.substr(0, n));
    remaining_.remove_prefix(n);
    return s;
  }
  std::string rest() { return std::string(std::exchange(remaining_, {})); }
  // Makes the input invalid if `condition` is false. To be called for values that were read and have limits.
  bool require(bool condition) { return valid_ = valid_ && condition; }
  // Returns true if all fields were present and valid and no bytes are left.
  bool isComplete() const { return valid_ && remaining_.empty(); }

 private:
  std::string_view remaining_;
  bool valid_ = true;
};

}  // namespace finchstile
