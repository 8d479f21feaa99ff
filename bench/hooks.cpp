// Cost of hooks. Prints one line per figure; docs/design/hooks.md explains the figures.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4 --target bench_hooks
//   build-bench/bench_hooks
#include <pthread.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "hook/compiler.hpp"
#include "hook/hook_filter.hpp"
#include "hook/interpreter.hpp"
#include "hook/verifier.hpp"
#include "host.hpp"
#include "net/gateway.hpp"
#include "units.hpp"

namespace {
std::atomic<std::uint64_t> allocations{0};
}
void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

using namespace finchstile;
using namespace finchstile::hook;
using bench::Host;
using nlohmann::json;
namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

double nsSince(SteadyClock::time_point begin) {
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - begin).count();
}

std::shared_ptr<const Executable> compileOrExit(const std::string& source) {
  std::vector<Problem> problems;
  auto compiled = compile(source, problems);
  for (const Problem& p : problems) std::fprintf(stderr, "%s\n", describe("hook", p).c_str());
  if (!compiled) std::exit(1);
  try {
    return linkProgram(std::move(compiled->program), {});
  } catch (const LinkError& error) {
    std::fprintf(stderr, "%s\n", error.what());
    std::exit(1);
  }
}

constexpr int kRuns = 20000;                 // executions per measurement
constexpr std::size_t kNoPathLength = 1000;  // the compared lengths start here: no path is that long
constexpr int kWarmUpRuns = 100;
constexpr int kWarmUpRequests = 500;  // sent before the measured ones
constexpr int kLookupKeys = 1000;

// Returns the median of the results of several calls of `run`.
template <class F>
double median(F run) {
  std::array<double, 7> all;
  for (double& x : all) x = run();
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

volatile std::int64_t sink;  // keeps the compiler from removing the measured code

// Measures a hook of `checks` comparisons of the path length, none of which is true, and the same comparisons
// in C++.
void measureChecks(int checks) {
  std::string body;
  for (int i = 0; i < checks; ++i)
    body += "if length(path) == " + std::to_string(kNoPathLength + static_cast<std::size_t>(i)) +
            " { reject(403, \"no\"); }\n";
  const auto code = compileOrExit("hook \"h\";\non request {\n" + body + "}\n");
  Interpreter interpreter;
  RunInput input;
  input.className = "cut-plan";
  input.path = "/cut-plan/site-7/log-1234567";
  std::uint64_t instructions = 0;
  std::uint64_t allocated = 0;  // by the last measurement
  const double hookNs = median([&] {
    const std::uint64_t before = allocations;
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i)
      instructions = interpreter.run(*code, Handler::request, input, RunBudget{}).instructions;
    const double ns = nsSince(begin) / kRuns;
    allocated = allocations - before;
    return ns;
  });
  const double nativeNs = median([&] {
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i) {
      const volatile std::size_t size = input.path.size();  // read for each check, as in the hook
      std::int64_t rejected = 0;
      for (int k = 0; k < checks && rejected == 0; ++k)
        if (size == kNoPathLength + static_cast<std::size_t>(k)) rejected = 403;
      sink = rejected;
    }
    return nsSince(begin) / kRuns;
  });
  std::printf(
      "hook of %d checks: %.0f ns, %llu instructions (%.1f ns each), %.0f ns in C++, %llu allocations in %d "
      "runs\n",
      checks, hookNs, static_cast<unsigned long long>(instructions),
      hookNs / static_cast<double>(instructions), nativeNs, static_cast<unsigned long long>(allocated),
      kRuns);
}

// Measures a hook with a set lookup, a pattern and a tag.
void measureTypicalHook() {
  const auto code = compileOrExit(
      "hook \"h\";\non request {\n  if class in {\"cut-plan\", \"x\"} and path matches "
      "r\"^/cut-plan/site-[0-9]+/\" { "
      "tag(\"site\", part(path, 15, 1)); }\n}\n");
  Interpreter interpreter;
  RunInput input;
  input.className = "cut-plan";
  input.path = "/cut-plan/site-7/log-1234567";
  for (int i = 0; i < kWarmUpRuns; ++i) interpreter.run(*code, Handler::request, input, RunBudget{});
  std::uint64_t instructions = 0;
  std::uint64_t allocated = 0;  // by the last measurement
  const double hookNs = median([&] {
    const std::uint64_t before = allocations;
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i)
      instructions = interpreter.run(*code, Handler::request, input, RunBudget{}).instructions;
    const double t = nsSince(begin) / kRuns;
    allocated = allocations - before;
    return t;
  });
  std::printf("set, pattern and tag: %.0f ns, %llu instructions, %llu allocations in %d runs\n", hookNs,
              static_cast<unsigned long long>(instructions), static_cast<unsigned long long>(allocated),
              kRuns);
}

void measureCompilation() {
  std::string source = "hook \"long\";\non request {\n  let n = 0;\n";
  for (int i = 0; i < 996; ++i)
    source += "  if header(\"X-" + std::to_string(i) + "\") == \"" + std::to_string(i) + "\" { n = n + " +
              std::to_string(i) + "; }\n";
  source += "}\n";
  std::vector<Problem> problems;
  const double compileNs = median([&] {
    const auto begin = SteadyClock::now();
    compile(source, problems);
    return nsSince(begin);
  });
  const auto compiled = compile(source, problems);
  if (!compiled) std::fprintf(stderr, "%s\n", describe("long", problems[0]).c_str()), std::exit(1);
  const double verifyNs = median([&] {
    const auto begin = SteadyClock::now();
    sink = verify(compiled->program).has_value();
    return nsSince(begin);
  });
  std::printf("hook of 1,000 lines, %zu instructions: compiled in %.2f ms, verified in %.2f ms\n",
              compiled->program.code.size(), compileNs / bench::kNanosecondsPerMillisecond,
              verifyNs / bench::kNanosecondsPerMillisecond);
}

void measureTable() {
  constexpr int kTableEntries = 100'000;
  std::string text;
  for (int i = 0; i < kTableEntries; ++i)
    text += "yard-" + std::to_string(i) + " = " + std::to_string(i) + "\n";
  std::vector<Problem> problems;
  const double parseNs = median([&] {
    const auto begin = SteadyClock::now();
    Table::parse(text, problems);
    return nsSince(begin);
  });
  const auto table = Table::parse(text, problems);
  std::vector<std::string> keys;
  keys.reserve(kLookupKeys);
  for (int i = 0; i < kLookupKeys; ++i) keys.push_back("yard-" + std::to_string(i * 97));
  const double lookupNs = median([&] {
    const auto begin = SteadyClock::now();
    std::int64_t found = 0;
    for (const auto& k : keys) found += static_cast<std::int64_t>(table->lookUp(k).size());
    sink = found;
    return nsSince(begin) / kLookupKeys;
  });
  std::printf("table of %d entries: parsed in %.1f ms, %.1f MB, %.0f ns per lookup\n", kTableEntries,
              parseNs / bench::kNanosecondsPerMillisecond,
              static_cast<double>(table->bytes()) / bench::kBytesPerMegabyte, lookupNs);
}

// --- Requests through a gateway, with a host and a client on separate threads

struct RequestCost {
  double cpuUs;                    // processor time of the event loop, per request
  double medianUs, p999Us, maxUs;  // latency
};

// Sends `requests` requests sequentially to a gateway with `hooks` hooks; if `replaceEvery` is positive, the
// event loop installs a new set of hooks after every `replaceEvery` requests.
RequestCost sendRequests(std::size_t hooks, int requests, int replaceEvery) {
  Host host;
  asio::io_context io(1);
  const Clock clock;
  const json config = bench::configFor(host, fake_upstream::classJson({"read", "retryable", "all"}));
  const auto makeHookSet = [&](int version) {
    auto set = std::make_shared<HookSet>();
    for (std::size_t i = 0; i < hooks; ++i) {
      HookSpec spec;
      spec.executable = compileOrExit("hook \"h" + std::to_string(i) +
                                      "\";\non request {\n  if class == \"x\" and header(\"X-Yard\") == \"" +
                                      std::to_string(version) + "\" { reject(403, \"no\"); }\n}\n");
      set->hooks.push_back(std::move(spec));
    }
    return set;
  };
  HookFilter filter(clock, Duration{}, [](std::string_view) {});
  Gateway gateway(io, clock, bench::readSequentialConfig(config, clock));
  if (hooks > 0) {
    filter.chain().install(makeHookSet(0));
    gateway.attach(filter);
  }
  gateway.start();
  const auto endpoint = gateway.endpoint();
  std::thread loop([&] { io.run(); });
  clockid_t loopClock;
  pthread_getcpuclockid(loop.native_handle(), &loopClock);
  asio::io_context clientIo;
  asio::ip::tcp::socket client(clientIo);
  client.connect(endpoint);
  client.set_option(asio::ip::tcp::no_delay(true));
  std::vector<double> latenciesUs;
  timespec begin{}, end{};
  char bytes[4096];
  for (int i = -kWarmUpRequests; i < requests; ++i) {  // negative: warm-up
    if (i == 0) clock_gettime(loopClock, &begin);
    if (replaceEvery > 0 && i % replaceEvery == 0) {
      const auto next = makeHookSet(i);  // compiled outside the event loop, as in the hook loader
      asio::post(io, [&filter, &clock, next] { filter.chain().install(next); });
    }
    const std::string request = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" + std::to_string(i) +
                                "\r\nX-Time-Left-Ms: 2000\r\n\r\n";
    const auto sent = SteadyClock::now();
    asio::write(client, asio::buffer(request));
    client.read_some(asio::buffer(bytes));
    if (i >= 0) latenciesUs.push_back(nsSince(sent) / bench::kNanosecondsPerMicrosecond);
  }
  clock_gettime(loopClock, &end);
  client.close();
  asio::post(io, [&] { io.stop(); });
  loop.join();
  std::sort(latenciesUs.begin(), latenciesUs.end());
  const double cpuNs = static_cast<double>(end.tv_sec - begin.tv_sec) * bench::kNanosecondsPerSecond +
                       static_cast<double>(end.tv_nsec - begin.tv_nsec);
  return {cpuNs / bench::kNanosecondsPerMicrosecond / requests, latenciesUs[latenciesUs.size() / 2],
          latenciesUs[latenciesUs.size() * 999 / 1000], latenciesUs.back()};
}

void measureRequests() {
  constexpr int kRequests = 5000;
  // The variants take turns, so that other load on the machine affects all of them alike.
  std::array<std::array<double, 5>, 3> cpuUs;
  const std::array<std::size_t, 3> hooks = {0, 1, 16};
  for (std::size_t round = 0; round < cpuUs[0].size(); ++round)
    for (std::size_t k = 0; k < hooks.size(); ++k)
      cpuUs[k][round] = sendRequests(hooks[k], kRequests, 0).cpuUs;
  for (std::size_t k = 0; k < hooks.size(); ++k) {
    std::sort(cpuUs[k].begin(), cpuUs[k].end());
    std::printf("gateway CPU per request with %zu hooks: %.2f us (%.2f to %.2f in 5 rounds)\n", hooks[k],
                cpuUs[k][2], cpuUs[k][0], cpuUs[k][4]);
  }
  for (const int replaceEvery : {0, 50, 0, 50}) {
    const RequestCost cost = sendRequests(4, kRequests, replaceEvery);
    std::printf("4 hooks, %s: median %.0f us, p99.9 %.0f us, max %.0f us\n",
                replaceEvery ? "a replacement every 50 requests" : "no replacement", cost.medianUs,
                cost.p999Us, cost.maxUs);
  }
}

}  // namespace

int main() {
  for (const int checks : {1, 10, 100}) measureChecks(checks);
  measureTypicalHook();
  measureCompilation();
  measureTable();
  measureRequests();
}
