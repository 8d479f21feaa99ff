// Cost of the store of keyed requests: lookups per second and bytes per entry, by size.
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

namespace {

using namespace finchstile::idempotency;
using SteadyClock = std::chrono::steady_clock;

Store::KeyedRequest arrival(const std::string& key, std::uint64_t waiter) {
  Store::KeyedRequest a;
  a.key = key;
  a.fingerprint = {1, 2};
  a.waiter = waiter;
  return a;
}

double ns(SteadyClock::time_point begin, std::size_t n) {
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - begin).count() /
         static_cast<double>(n);
}

void size(std::size_t entries) {
  StoreLimits limits;
  limits.maxEntries = entries;
  limits.maxBytes = std::size_t{8} * 1024 * 1024 * 1024;
  limits.maxTenantFraction = 1;
  limits.retention = std::chrono::hours(1);
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  Store store(limits, 1, Seed{1, 2});
  finchstile::load_balancing::Time now = std::chrono::hours(1);
  const auto key = [](std::size_t i) {
    return "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(10'000'000 + i);
  };
  double slowest = 0;
  auto begin = SteadyClock::now();
  for (std::size_t i = 0; i < entries; ++i) {
    const auto one = SteadyClock::now();
    const auto r = store.admit(now, arrival(key(i), i + 1));
    store.finishRun(now, r.entry, Store::RunOutcome::responded, {200, "text/plain", std::string(100, 'x')});
    slowest = std::max(slowest, ns(one, 1));
    now += std::chrono::microseconds(10);
  }
  const double filling = ns(begin, entries);
  const std::size_t held = mallinfo2().uordblks + mallinfo2().hblkhd - before;
  std::vector<double> runs;
  for (int run = 0; run < 5; ++run) {
    std::vector<std::string> asked;
    for (std::size_t i = 0; i < 100'000; ++i) asked.push_back(key((i * 7919 + 13) % entries));
    begin = SteadyClock::now();
    std::size_t found = 0;
    for (const auto& k : asked)
      found += store.admit(now, arrival(k, 1)).admission == Admission::replayResponse;
    runs.push_back(ns(begin, asked.size()));
    if (found != asked.size()) std::printf("only %zu of %zu found\n", found, asked.size());
  }
  std::sort(runs.begin(), runs.end());
  begin = SteadyClock::now();
  const std::size_t n = store.entries(), counted = store.bytes() / n;
  store.expire(now + std::chrono::hours(2));
  std::printf(
      "%zu entries: filled at %.0f ns each (slowest %.0f us), %.0f ns a look-up (%.1f million a second), "
      "%zu bytes an entry by its own count, %zu of heap; all forgotten in %.1f ms\n",
      entries, filling, slowest / 1e3, runs[2], 1e3 / runs[2], counted, held / n, ns(begin, 1) / 1e6);
}

}  // namespace

int main() {
  for (const std::size_t n : {10'000, 1'000'000, 5'000'000}) size(n);
}
