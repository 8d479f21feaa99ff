// Cost of the store of keyed requests: time of an insertion and of a lookup, and bytes per entry, by size.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4 --target bench_idempotency
//   build-bench/bench_idempotency
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "idempotency/store.hpp"
#include "units.hpp"

namespace {

using namespace finchstile::idempotency;
using SteadyClock = std::chrono::steady_clock;

Store::KeyedRequest keyedRequest(const std::string& key, std::uint64_t waiter) {
  Store::KeyedRequest request;
  request.key = key;
  request.fingerprint = {1, 2};
  request.waiter = waiter;
  return request;
}

constexpr int kLookupRuns = 5;
constexpr std::size_t kLookupsPerRun = 100'000;
constexpr std::size_t kKeyStride = 7919;  // prime, so that consecutive lookups are of distant entries

// Time per operation of the `n` operations since `begin`, in nanoseconds.
double nsPerOperation(SteadyClock::time_point begin, std::size_t n) {
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - begin).count() /
         static_cast<double>(n);
}

void measureStore(std::size_t entries) {
  StoreLimits limits;
  limits.maxEntries = entries;
  limits.maxBytes = std::size_t{8} * 1024 * 1024 * 1024;
  limits.maxTenantFraction = 1;
  limits.retention = std::chrono::hours(1);
  const std::size_t heapBefore = mallinfo2().uordblks + mallinfo2().hblkhd;
  Store store(limits, 1, Seed{1, 2});
  finchstile::load_balancing::Time now = std::chrono::hours(1);
  const auto key = [](std::size_t i) {
    return "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(10'000'000 + i);
  };
  double slowestInsertion = 0;
  auto begin = SteadyClock::now();
  for (std::size_t i = 0; i < entries; ++i) {
    const auto insertionStart = SteadyClock::now();
    const auto result = store.admit(now, keyedRequest(key(i), i + 1));
    store.finishRun(now, result.entry, Store::RunOutcome::responded,
                    {200, "text/plain", std::string(100, 'x')});
    slowestInsertion = std::max(slowestInsertion, nsPerOperation(insertionStart, 1));
    now += std::chrono::microseconds(10);
  }
  const double insertionNs = nsPerOperation(begin, entries);
  const std::size_t heapBytes = mallinfo2().uordblks + mallinfo2().hblkhd - heapBefore;
  std::vector<double> lookupNs;
  for (int run = 0; run < kLookupRuns; ++run) {
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < kLookupsPerRun; ++i) keys.push_back(key((i * kKeyStride + 13) % entries));
    begin = SteadyClock::now();
    std::size_t found = 0;
    for (const auto& wanted : keys)
      found += store.admit(now, keyedRequest(wanted, 1)).admission == Admission::replayResponse;
    lookupNs.push_back(nsPerOperation(begin, keys.size()));
    if (found != keys.size()) std::printf("only %zu of %zu keys found\n", found, keys.size());
  }
  std::sort(lookupNs.begin(), lookupNs.end());
  begin = SteadyClock::now();
  const std::size_t storedEntries = store.entries(), countedBytes = store.bytes() / storedEntries;
  store.expire(now + std::chrono::hours(2));
  std::printf(
      "%zu entries: inserted in %.0f ns each (max %.0f us), %.0f ns per lookup (%.1f million/s), "
      "%zu bytes per entry by the count of the store, %zu on the heap; all expired in %.1f ms\n",
      entries, insertionNs, slowestInsertion / finchstile::bench::kNanosecondsPerMicrosecond,
      lookupNs[kLookupRuns / 2], finchstile::bench::kNanosecondsPerMicrosecond / lookupNs[kLookupRuns / 2],
      countedBytes, heapBytes / storedEntries,
      nsPerOperation(begin, 1) / finchstile::bench::kNanosecondsPerMillisecond);
}

}  // namespace

int main() {
  for (const std::size_t n : {10'000, 1'000'000, 5'000'000}) measureStore(n);
}
