// Time until gateways detect an unresponsive worker, bytes used and rate of false alarms: a simulation of the
// gossip of src/membership with 3 to 1,000 gateways and 10 to 10,000 workers. Deterministic for a seed.
//
//   bench_gossip                       the tables of docs/design/gossip.md
//   bench_gossip --svg gossip.svg      the curves too
//   bench_gossip --gateways 100 --workers 100 --quorum 2 --fanout 3 --loss 0.1
#include "membership/gossip.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace finchstile::membership;
using std::chrono::milliseconds;

namespace {

struct Options {
  std::size_t gateways = 100, workers = 100, quorum = 3, fanout = 3, faultyGateways = 0;
  double rate = 50;          // requests per second of a gateway
  double falseRate = 0.001;  // fraction of attempts at healthy workers that get no answer
  double loss = 0.01;        // fraction of datagrams lost
  double holds = 3;          // seconds for which an observation is valid
  double seconds = 40;
  bool gossip = true, cut = false;  // cut: network partition into two halves
  std::uint64_t seed = 1;
};

struct Result {
  std::vector<double> knownAt;  // seconds from the failure, by gateway; after the end of the run: never
  double bytesMean = 0, bytesWorst = 0;  // per gateway and second: mean while updates were sent, maximum
  double falseAlarms = 0;                // onsets per healthy worker, gateway and hour
  double lost = 0;                       // attempts sent to the failed worker by all gateways
  double at(double share) const {
    std::vector<double> v = knownAt;
    std::sort(v.begin(), v.end());
    return v[std::min(v.size() - 1,
                      static_cast<std::size_t>(std::ceil(share * static_cast<double>(v.size()))) - 1)];
  }
};

constexpr double kStep = 0.01, kFailureTime = 5, kAttemptTimeout = 0.4, kNetworkDelay = 0.005, kOver = 28;
constexpr std::size_t kTracked =
    20;  // workers simulated individually; the others only affect the request rate

class Model {
 public:
  explicit Model(const Options& o) : o_(o), engine_(o.seed), hosts_(std::min(o.workers, kTracked)) {
    const Time start = time();
    for (std::size_t i = 0; i < o.gateways; ++i) {
      GossipSettings s;
      s.ownNumber = static_cast<GatewayNumber>(i);
      s.gatewayCount = static_cast<GatewayNumber>(o.gateways);
      s.quorum = o.quorum;
      s.fanout = o.fanout;
      s.observationLifetime = std::chrono::milliseconds(static_cast<int>(o.holds * 1000));
      auto g = std::make_unique<Gateway>();
      g->answered.assign(hosts_, Time{});
      g->alarm.assign(hosts_, false);
      Gateway* const raw = g.get();
      g->gossip = std::make_unique<Gossip>(s, o.seed * 1'000'003 + i, start,
                                           [raw](HostKey h) { return raw->answered[h - 1]; });
      for (HostKey h = 1; h <= hosts_; ++h)
        g->gossip->onListed(h, 0, finchstile::load_balancing::HostPhase::active, 1, start);
      g->nextTick = unit() * 0.2;
      gateways_.push_back(std::move(g));
    }
  }

  Result run() {
    Result r;
    r.knownAt.assign(o_.gateways, o_.seconds);
    double bytes = 0;
    for (now_ = 0; now_ < o_.seconds; now_ += kStep) {
      deliver();
      for (std::size_t i = 0; i < gateways_.size(); ++i) {
        Gateway& g = *gateways_[i];
        attempts(g, r);
        if (o_.gossip && now_ >= g.nextTick) tick(i, g, r);
        if (now_ >= kFailureTime && r.knownAt[i] >= o_.seconds && hasDetectedFailure(g))
          r.knownAt[i] = now_ - kFailureTime;
        bytes = std::max(bytes, g.inSecond);
      }
    }
    r.bytesWorst = bytes;
    double sum = 0, ticks = 0;
    for (const auto& g : gateways_) sum += g->bytes, ticks += static_cast<double>(g->ticksWithNews);
    r.bytesMean = ticks > 0 ? sum / (ticks * 0.2) : 0;
    r.falseAlarms = alarms_ / (static_cast<double>(o_.gateways * (hosts_ - 1)) * o_.seconds / 3600);
    return r;
  }

 private:
  struct Attempt {
    double sent, ends;
    std::size_t host;
    bool silent;
  };
  struct Gateway {
    std::unique_ptr<Gossip> gossip;
    std::vector<Time> answered;
    std::vector<bool> alarm;
    std::deque<Attempt> out;  // that get no answer
    Time silentAt{};          // when this gateway itself observed the failed worker as unresponsive
    double nextTick = 0, bytes = 0, inSecond = 0, secondEnds = 0;
    std::size_t ticksWithNews = 0;
  };
  struct Datagram {
    double at;
    GatewayNumber from, to;
    std::string payload;
  };

  Time time() const {
    return std::chrono::seconds(1000) + std::chrono::nanoseconds(static_cast<std::int64_t>(now_ * 1e9));
  }
  double unit() { return std::uniform_real_distribution<>(0, 1)(engine_); }

  bool hasDetectedFailure(const Gateway& g) const {
    return (g.silentAt != Time{} && std::chrono::duration<double>(time() - g.silentAt).count() < o_.holds) ||
           g.gossip->isUnresponsiveByQuorum(1, time());
  }

  void attempts(Gateway& g, Result& r) {
    const double each = o_.rate / static_cast<double>(o_.workers) * kStep;
    // The first worker fails; a gateway that considers it unresponsive sends nothing to it.
    if (unit() < 1 - std::exp(-each)) {
      if (now_ < kFailureTime) {
        g.answered[0] = time();
      } else if (!hasDetectedFailure(g)) {
        g.out.push_back({now_, now_ + kAttemptTimeout, 0, true});
        if (now_ < kOver) r.lost += 1;
      }
    }
    const double others = each * static_cast<double>(hosts_ - 1);
    for (int n = std::poisson_distribution<>(others)(engine_); n > 0; --n) {
      const std::size_t h = 1 + static_cast<std::size_t>(unit() * static_cast<double>(hosts_ - 1));
      if (unit() < o_.falseRate) g.out.push_back({now_, now_ + kAttemptTimeout, h, true});
      else g.answered[h] = time();
    }
    while (!g.out.empty() && g.out.front().ends <= now_) {
      const Attempt a = g.out.front();
      g.out.pop_front();
      const Time sent = time() - std::chrono::nanoseconds(static_cast<std::int64_t>((now_ - a.sent) * 1e9));
      if (g.answered[a.host] >= sent) continue;  // it has answered a later attempt
      g.gossip->onUnresponsive(a.host + 1, 0, time());
      if (a.host == 0) g.silentAt = time();
    }
  }

  void tick(std::size_t i, Gateway& g, Result&) {
    g.nextTick += 0.2;
    if (now_ >= g.secondEnds) g.secondEnds = now_ + 1, g.inSecond = 0;
    if (i < o_.faultyGateways) {  // a faulty gateway reports every worker as unresponsive to all gateways
      std::vector<GossipUpdate> all;
      for (HostKey h = 1; h <= std::min<std::size_t>(hosts_, kMaxUpdatesPerMessage); ++h)
        all.push_back({h, 0, GossipUpdate::Kind::unresponsive, 0, {}});
      for (std::size_t to = 0; to < o_.gateways; ++to)
        if (to != i)
          send(static_cast<GatewayNumber>(i), static_cast<GatewayNumber>(to), *encodeGossipMessage(all));
      return;
    }
    const auto out = g.gossip->tick(time());
    g.ticksWithNews += !out.empty();
    for (const auto& o : out) {
      g.bytes += static_cast<double>(o.payload.size()) + 38;  // 38 bytes of datagram overhead
      g.inSecond += static_cast<double>(o.payload.size()) + 38;
      send(static_cast<GatewayNumber>(i), o.recipient, o.payload);
    }
    for (std::size_t h = 1; h < hosts_; ++h) {
      const bool alarm = g.gossip->isUnresponsiveByQuorum(h + 1, time());
      alarms_ += alarm && !g.alarm[h];
      g.alarm[h] = alarm;
    }
  }

  void send(GatewayNumber from, GatewayNumber to, const std::string& payload) {
    const bool apart = o_.cut && (from < o_.gateways / 2) != (to < o_.gateways / 2);
    if (!apart && unit() >= o_.loss) inTransit_.push_back({now_ + kNetworkDelay, from, to, payload});
  }
  void deliver() {
    while (!inTransit_.empty() && inTransit_.front().at <= now_) {
      const Datagram d = std::move(inTransit_.front());
      inTransit_.pop_front();
      if (d.to >= o_.faultyGateways) gateways_[d.to]->gossip->onMessage(d.from, d.payload, time());
    }
  }

  const Options o_;
  std::mt19937_64 engine_;
  const std::size_t hosts_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::deque<Datagram> inTransit_;
  double now_ = 0, alarms_ = 0;
};

struct Mean {
  double half = 0, most = 0, mean = 0, worst = 0, alarms = 0, lost = 0;
};

Mean over(Options o, int seeds) {
  Mean m;
  for (int s = 1; s <= seeds; ++s) {
    o.seed = static_cast<std::uint64_t>(s);
    const Result r = Model(o).run();
    m.half += r.at(0.5) / seeds;
    m.most += r.at(0.99) / seeds;
    m.mean += r.bytesMean / seeds;
    m.worst = std::max(m.worst, r.bytesWorst);
    m.alarms += r.falseAlarms / seeds;
    m.lost += r.lost / seeds;
  }
  return m;
}

std::string secondsOf(double s, double end) {
  char text[32];
  if (s >= end - kFailureTime - 0.05) return "-";
  std::snprintf(text, sizeof text, "%.2f", s);
  return text;
}

void row(const char* name, const Options& o, const Mean& m) {
  std::printf("| %s | %s | %s | %.0f | %.0f | %.2f | %.0f |\n", name, secondsOf(m.half, o.seconds).c_str(),
              secondsOf(m.most, o.seconds).c_str(), m.mean, m.worst, m.alarms, m.lost);
}

void head(const char* what) {
  std::printf(
      "\n| %s | half know, s | 99%% know, s | bytes/s with news | worst second | false alarms | lost "
      "attempts |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n",
      what);
}

// Plots the fraction of gateways that have detected the failure over time.
void draw(const std::string& path, const std::vector<std::pair<std::string, Options>>& curves) {
  std::ofstream f(path);
  constexpr double kWide = 640, kHigh = 300, kSpan = 8;
  const char* const colours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"};
  f << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWide + 190 << "\" height=\"" << kHigh + 60
    << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
       "fill=\"white\"/>\n";
  for (int t = 0; t <= 8; ++t) {
    const double x = 40 + kWide * t / kSpan;
    f << "<line x1=\"" << x << "\" y1=\"20\" x2=\"" << x << "\" y2=\"" << 20 + kHigh
      << "\" stroke=\"#ddd\"/><text x=\"" << x - 4 << "\" y=\"" << kHigh + 38 << "\">" << t << "</text>\n";
  }
  for (int p = 0; p <= 100; p += 25)
    f << "<text x=\"4\" y=\"" << 24 + kHigh * (1 - p / 100.0) << "\">" << p << "%</text>\n";
  f << "<text x=\"220\" y=\"" << kHigh + 55 << "\">seconds after a worker has gone silent</text>\n";
  std::size_t n = 0;
  for (const auto& [name, o] : curves) {
    std::vector<double> at = Model(o).run().knownAt;
    std::sort(at.begin(), at.end());
    f << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colours[n % 6] << "\""
      << (o.gossip ? "" : " stroke-dasharray=\"5,4\"") << " points=\"40," << 20 + kHigh << " ";
    for (std::size_t i = 0; i < at.size(); ++i) {
      if (at[i] > kSpan) break;
      const double x = 40 + kWide * at[i] / kSpan, size = static_cast<double>(at.size());
      f << x << "," << 20 + kHigh * (1 - static_cast<double>(i) / size) << " " << x << ","
        << 20 + kHigh * (1 - static_cast<double>(i + 1) / size) << " ";
    }
    f << "\"/>\n<text x=\"" << kWide + 50 << "\" y=\"" << 40 + 18 * static_cast<double>(n) << "\" fill=\""
      << colours[n % 6] << "\">" << name << "</text>\n";
    ++n;
  }
  f << "</svg>\n";
}

}  // namespace

int main(int argc, char** argv) {
  Options o;
  std::string svg;
  int seeds = 3;
  CLI::App app("Gossip of silent workers among gateways, in a model");
  auto* one = app.add_option("--gateways", o.gateways)->check(CLI::Range(2, 1000));
  app.add_option("--workers", o.workers)->check(CLI::Range(2, 10'000));
  app.add_option("--quorum", o.quorum)->check(CLI::Range(1, 16));
  app.add_option("--fanout", o.fanout)->check(CLI::Range(1, 32));
  app.add_option("--rate", o.rate, "requests of a gateway a second");
  app.add_option("--false-rate", o.falseRate,
                 "part of the attempts at a worker that is well that meet silence");
  app.add_option("--holds", o.holds, "seconds that what was seen counts for");
  app.add_option("--loss", o.loss, "part of the datagrams that are lost");
  app.add_option("--mad", o.faultyGateways, "gateways that report every worker as unresponsive");
  app.add_flag("--cut", o.cut, "two halves of the gateways do not hear one another");
  app.add_option("--seeds", seeds)->check(CLI::Range(1, 100));
  app.add_option("--svg", svg, "draw the share of gateways that know over time");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "False alarms: onsets for a worker that is well, at one gateway, in an hour. Lost attempts: sent to "
      "the dead\n"
      "worker by all gateways in the 23 s after its death.\n");
  if (one->count() > 0) {
    head("");
    row("as asked", o, over(o, seeds));
    return 0;
  }
  for (const std::size_t workers : {10u, 100u, 1000u, 10'000u}) {
    char title[64];
    std::snprintf(title, sizeof title, "gateways, %zu workers", workers);
    head(title);
    for (const std::size_t gateways : {3u, 10u, 100u, 1000u}) {
      Options p = o;
      p.gateways = gateways;
      p.workers = workers;
      for (const bool gossip : {false, true}) {
        p.gossip = gossip;
        char name[64];
        std::snprintf(name, sizeof name, "%zu%s", gateways, gossip ? "" : ", no gossip");
        row(name, p, over(p, gateways > 300 ? 1 : seeds));
      }
    }
  }
  head("quorum and fanout; 100 gateways, 100 workers");
  for (const std::size_t quorum : {1u, 2u, 3u, 5u})
    for (const std::size_t fanout : {1u, 3u, 6u}) {
      Options p = o;
      p.quorum = quorum;
      p.fanout = fanout;
      char name[64];
      std::snprintf(name, sizeof name, "quorum %zu, fanout %zu", quorum, fanout);
      row(name, p, over(p, seeds));
    }
  head("what was seen counts for longer; 1000 gateways, 10000 workers");
  for (const double holds : {3.0, 6.0, 12.0}) {
    Options p = o;
    p.gateways = 1000;
    p.workers = 10'000;
    p.holds = holds;
    char name[64];
    std::snprintf(name, sizeof name, "holds %.0f s", holds);
    row(name, p, over(p, 1));
  }
  head("trouble; 100 gateways, 100 workers");
  const auto trouble = [&](const char* name, const std::function<void(Options&)>& change) {
    Options p = o;
    change(p);
    row(name, p, over(p, seeds));
  };
  trouble("none", [](Options&) {});
  trouble("30% of the datagrams lost", [](Options& p) { p.loss = 0.3; });
  trouble("two halves that do not hear one another", [](Options& p) { p.cut = true; });
  trouble("one mad gateway", [](Options& p) { p.faultyGateways = 1; });
  trouble("two mad gateways", [](Options& p) { p.faultyGateways = 2; });
  trouble("three mad gateways (a quorum)", [](Options& p) { p.faultyGateways = 3; });
  trouble("1% of attempts at well workers silent", [](Options& p) { p.falseRate = 0.01; });
  if (!svg.empty()) {
    std::vector<std::pair<std::string, Options>> curves;
    const auto add = [&](const char* name, std::size_t gateways, std::size_t workers, bool gossip) {
      Options p = o;
      p.gateways = gateways;
      p.workers = workers;
      p.gossip = gossip;
      curves.emplace_back(name, p);
    };
    add("10 before 10", 10, 10, true);
    add("100 before 100", 100, 100, true);
    add("100 before 100, none", 100, 100, false);
    add("1000 before 1000", 1000, 1000, true);
    add("1000 before 1000, none", 1000, 1000, false);
    add("1000 before 10000", 1000, 10'000, true);
    draw(svg, curves);
  }
  return 0;
}
