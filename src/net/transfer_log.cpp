#include "net/transfer_log.hpp"

#include <chrono>
#include <cstdio>

namespace finchstile {

void TransferLog::write(Time now, const TransferLogEntry& entry) {
  if (now - secondBegan_ >= std::chrono::seconds(1)) {
    secondBegan_ = now;
    lines_ = 0;
  }
  if (++lines_ > kMaxLinesPerSecond) {
    ++omitted_;
    return;
  }
  const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(entry.age).count();
  std::fprintf(stderr,
               "transfer ended: id=%.*s host=%s phase=%s reason=%s bytes=%llu age_ms=%lld omitted=%zu\n",
               static_cast<int>(entry.id.size()), entry.id.data(), entry.host.c_str(),
               nameOf(entry.end.phase), nameOf(entry.end.reason),
               static_cast<unsigned long long>(entry.end.bytes), static_cast<long long>(ageMs), omitted_);
  omitted_ = 0;
}

}  // namespace finchstile
