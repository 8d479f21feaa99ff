#include "wal/segment_format.hpp"

#include <charconv>

#include "base/little_endian.hpp"

namespace finchstile::wal {
namespace {

constexpr std::string_view kMagic = "FWAL1";
constexpr std::size_t kHeaderBytes = kMagic.size() + 1 + sizeof(std::uint64_t);
constexpr std::string_view kNamePrefix = "log-";
constexpr std::size_t kNameDigits = 8;

}  // namespace

std::string encodeSegmentHeader(const SegmentHeader& header) {
  std::string record(kMagic);
  record += static_cast<char>(header.snapshot ? 1 : 0);
  putLittleEndian(record, header.previousValidBytes);
  return record;
}

bool decodeSegmentHeader(std::string_view record, SegmentHeader& header) {
  if (record.size() != kHeaderBytes || record.substr(0, kMagic.size()) != kMagic) return false;
  header.snapshot = record[kMagic.size()] == 1;
  header.previousValidBytes = getLittleEndian<std::uint64_t>(record.substr(kMagic.size() + 1));
  return true;
}

std::string segmentName(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  const std::size_t zeros = digits.size() < kNameDigits ? kNameDigits - digits.size() : 0;
  return std::string(kNamePrefix) + std::string(zeros, '0') + digits;
}

std::uint64_t segmentNumber(const std::string& name) {
  if (name.substr(0, kNamePrefix.size()) != kNamePrefix) return 0;
  std::uint64_t number = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + kNamePrefix.size(), end, number);
  return parsed.ptr == end ? number : 0;
}

}  // namespace finchstile::wal
