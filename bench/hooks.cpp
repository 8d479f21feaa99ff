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

namespace {
std::atomic<std::uint64_t> allocations{0};
}
void* operator new(std::size_t n) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* p = std::malloc(n)) return p;
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

std::shared_ptr<const Executable> codeOf(const std::string& source) {
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

// Returns the median of several runs.
template <class F>
double median(F run) {
  std::array<double, 7> all;
  for (double& x : all) x = run();
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

volatile std::int64_t sink;

// A rule of `checks` comparisons of the path length and the class, in a chain that no comparison ends.
void rule(int checks) {
  std::string body;
  for (int i = 0; i < checks; ++i)
    body += "if length(path) == " + std::to_string(1000 + i) + " { reject(403, \"no\"); }\n";
  const auto code = codeOf("hook \"h\";\non request {\n" + body + "}\n");
  Interpreter machine;
  RunInput in;
  in.className = "cut-plan";
  in.path = "/cut-plan/site-7/log-1234567";
  constexpr int kRuns = 20000;
  std::uint64_t instructions = 0, before = 0;
  const double own = median([&] {
    before = allocations;
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i)
      instructions = machine.run(*code, Handler::request, in, RunBudget{}).instructions;
    const double ns = nsSince(begin) / kRuns;
    before = allocations - before;
    return ns;
  });
  const double native = median([&] {
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i) {
      const volatile std::size_t size = in.path.size();  // read for each check, as in the hook
      std::int64_t rejected = 0;
      for (int k = 0; k < checks && rejected == 0; ++k)
        if (size == 1000 + static_cast<std::size_t>(k)) rejected = 403;
      sink = rejected;
    }
    return nsSince(begin) / kRuns;
  });
  std::printf(
      "rule of %d checks: %.0f ns, %llu instructions (%.1f ns each), %.0f ns in C++, %llu allocations in %d "
      "runs\n",
      checks, own, static_cast<unsigned long long>(instructions), own / static_cast<double>(instructions),
      native, static_cast<unsigned long long>(before), kRuns);
}

// Ten common operations: header, lower, set, pattern, tag.
void usual() {
  const auto code = codeOf(
      "hook \"h\";\non request {\n  if class in {\"cut-plan\", \"x\"} and path matches "
      "r\"^/cut-plan/site-[0-9]+/\" { "
      "tag(\"site\", part(path, 15, 1)); }\n}\n");
  Interpreter machine;
  RunInput in;
  in.className = "cut-plan";
  in.path = "/cut-plan/site-7/log-1234567";
  constexpr int kRuns = 20000;
  for (int i = 0; i < 100; ++i) machine.run(*code, Handler::request, in, RunBudget{});
  std::uint64_t instructions = 0, before = 0;
  const double ns = median([&] {
    before = allocations;
    const auto begin = SteadyClock::now();
    for (int i = 0; i < kRuns; ++i)
      instructions = machine.run(*code, Handler::request, in, RunBudget{}).instructions;
    const double t = nsSince(begin) / kRuns;
    before = allocations - before;
    return t;
  });
  std::printf("set, pattern and tag: %.0f ns, %llu instructions, %llu allocations in %d runs\n", ns,
              static_cast<unsigned long long>(instructions), static_cast<unsigned long long>(before), kRuns);
}

void compileTime() {
  std::string source = "hook \"long\";\non request {\n  let n = 0;\n";
  for (int i = 0; i < 996; ++i)
    source += "  if header(\"X-" + std::to_string(i) + "\") == \"" + std::to_string(i) + "\" { n = n + " +
              std::to_string(i) + "; }\n";
  source += "}\n";
  std::vector<Problem> problems;
  const double compiling = median([&] {
    const auto begin = SteadyClock::now();
    compile(source, problems);
    return nsSince(begin);
  });
  const auto compiled = compile(source, problems);
  if (!compiled) std::fprintf(stderr, "%s\n", describe("long", problems[0]).c_str()), std::exit(1);
  const double verifying = median([&] {
    const auto begin = SteadyClock::now();
    sink = verify(compiled->program).has_value();
    return nsSince(begin);
  });
  std::printf("hook of 1,000 lines, %zu instructions: compiled in %.2f ms, verified in %.2f ms\n",
              compiled->program.code.size(), compiling / 1e6, verifying / 1e6);
}

void tableTime() {
  std::string text;
  for (int i = 0; i < 100000; ++i) text += "yard-" + std::to_string(i) + " = " + std::to_string(i) + "\n";
  std::vector<Problem> problems;
  const double reading = median([&] {
    const auto begin = SteadyClock::now();
    Table::parse(text, problems);
    return nsSince(begin);
  });
  const auto table = Table::parse(text, problems);
  std::vector<std::string> keys;
  keys.reserve(1000);
  for (int i = 0; i < 1000; ++i) keys.push_back("yard-" + std::to_string(i * 97));
  const double looking = median([&] {
    const auto begin = SteadyClock::now();
    std::int64_t found = 0;
    for (const auto& k : keys) found += static_cast<std::int64_t>(table->lookUp(k).size());
    sink = found;
    return nsSince(begin) / 1000;
  });
  std::printf("table of 100,000: read in %.1f ms, %.1f MB, a look-up %.0f ns\n", reading / 1e6,
              static_cast<double>(table->bytes()) / 1e6, looking);
}

// --- The gateway, with a host and a client on separate threads

struct Served {
  double cpuUs, medianUs, p999Us, mostUs;
};

// Sends `requests` sequentially; if `swapEvery` is positive, the loop installs a new set of hooks between
// them.
Served serve(std::size_t hooks, int requests, int swapEvery) {
  Host host;
  asio::io_context io(1);
  const Clock clock;
  const json config = bench::configFor(host, fake_upstream::classJson({"read", "retryable", "all"}));
  const auto setOf = [&](int version) {
    auto set = std::make_shared<HookSet>();
    for (std::size_t i = 0; i < hooks; ++i) {
      HookSpec s;
      s.executable = codeOf("hook \"h" + std::to_string(i) +
                            "\";\non request {\n  if class == \"x\" and header(\"X-Yard\") == \"" +
                            std::to_string(version) + "\" { reject(403, \"no\"); }\n}\n");
      set->hooks.push_back(std::move(s));
    }
    return set;
  };
  HookFilter stage(clock, Duration{}, [](std::string_view) {});
  Gateway gateway(io, clock, readConfig(config.dump(), clock));
  if (hooks > 0) {
    stage.chain().install(setOf(0));
    gateway.attach(stage);
  }
  gateway.start();
  const auto at = gateway.endpoint();
  std::thread loop([&] { io.run(); });
  clockid_t cpu;
  pthread_getcpuclockid(loop.native_handle(), &cpu);
  asio::io_context own;
  asio::ip::tcp::socket client(own);
  client.connect(at);
  client.set_option(asio::ip::tcp::no_delay(true));
  std::vector<double> took;
  timespec begin{}, end{};
  char bytes[4096];
  for (int i = -500; i < requests; ++i) {  // negative: warm-up
    if (i == 0) clock_gettime(cpu, &begin);
    if (swapEvery > 0 && i % swapEvery == 0) {
      const auto next = setOf(i);  // compiled outside the event loop, as in the hook loader
      asio::post(io, [&stage, &clock, next] { stage.chain().install(next); });
    }
    const std::string request = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" + std::to_string(i) +
                                "\r\nX-Time-Left-Ms: 2000\r\n\r\n";
    const auto sent = SteadyClock::now();
    asio::write(client, asio::buffer(request));
    client.read_some(asio::buffer(bytes));
    if (i >= 0) took.push_back(nsSince(sent) / 1e3);
  }
  clock_gettime(cpu, &end);
  client.close();
  asio::post(io, [&] { io.stop(); });
  loop.join();
  std::sort(took.begin(), took.end());
  const double ns =
      static_cast<double>(end.tv_sec - begin.tv_sec) * 1e9 + static_cast<double>(end.tv_nsec - begin.tv_nsec);
  return {ns / 1e3 / requests, took[took.size() / 2], took[took.size() * 999 / 1000], took.back()};
}

void requestCost() {
  constexpr int kRequests = 5000;
  // The variants take turns, so that other load on the machine affects all of them alike.
  std::array<std::array<double, 5>, 3> cpu;
  const std::array<std::size_t, 3> hooks = {0, 1, 16};
  for (std::size_t round = 0; round < cpu[0].size(); ++round)
    for (std::size_t k = 0; k < hooks.size(); ++k) cpu[k][round] = serve(hooks[k], kRequests, 0).cpuUs;
  for (std::size_t k = 0; k < hooks.size(); ++k) {
    std::sort(cpu[k].begin(), cpu[k].end());
    std::printf("gateway's CPU for a request with %zu hooks: %.2f us (%.2f to %.2f in 5 rounds)\n", hooks[k],
                cpu[k][2], cpu[k][0], cpu[k][4]);
  }
  for (const int every : {0, 50, 0, 50}) {
    const Served s = serve(4, kRequests, every);
    std::printf("4 hooks, %s: median %.0f us, 99.9%% %.0f us, most %.0f us\n",
                every ? "a swap each 50 requests" : "no swap", s.medianUs, s.p999Us, s.mostUs);
  }
}

}  // namespace

int main() {
  for (const int checks : {1, 10, 100}) rule(checks);
  usual();
  compileTime();
  tableTime();
  requestCost();
}
