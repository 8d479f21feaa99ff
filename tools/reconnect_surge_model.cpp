// A rolling deploy with streams, in a model: gateways with the decision module and the drain plan as they
// are, workers that are replaced one after the other, clients that come back when their stream is ended.
// Prints streams by worker over time, draws them (--svg), and says whether the bounds held. Deterministic for
// a seed.
//
//   finchstile-reconnect-surge --workers 6 --streams 2000 --rate 20 --drain-within 20 --gap 25 --svg
//   storm.svg
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "stream/drain_plan.hpp"

using namespace finchstile::load_balancing;
using finchstile::stream::DrainPlan;

namespace {

struct Options {
  std::size_t workers = 6, gateways = 2, streams = 2000;
  double rate = 20, drainWithin = 20, drainRate = 100, gap = 25, returnWithin = 10, coldTime = 9,
         coldShare = 0.32;
  bool spread = true;
  std::uint64_t seed = 1;
  std::string svg;
};

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr double kTold = 1;         // the list is so late
constexpr double kReplaced = 3;     // after its drain began a worker's successor is listed
constexpr double kGrace = 0.5;      // after which a draining worker gets nothing new
constexpr double kConnect = 0.005;  // until a stream has begun

Duration span(double s) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s)); }

struct Worker {
  std::string name;
  double up = 0, drainsAt = HUGE_VAL;  // seconds; up: 0, long ago
  std::size_t held = 0;
  std::vector<double> begun;  // when
};

struct Client {
  enum class State { away, dialling, held } state = State::away;
  double at = 0;  // when it comes, or has begun
  std::size_t gateway = 0, worker = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = kNone;
};

struct Gateway {
  std::unique_ptr<LoadBalancer> balancer;
  std::unique_ptr<DrainPlan> plan;
  std::map<RequestId, std::size_t> asked;  // by whom
};

class Model {
 public:
  explicit Model(const Options& o) : o_(o), dice_(o.seed) {
    for (std::size_t w = 0; w < o.workers; ++w)
      workers_.push_back({"w" + std::to_string(w), 0, HUGE_VAL, 0, {}});
    for (std::size_t g = 0; g < o.gateways; ++g) {
      Settings s;
      s.seed = o.seed * 1000 + g;
      s.gatewayCount = static_cast<std::uint32_t>(o.gateways);
      s.gatewayIndex = static_cast<std::uint32_t>(g);
      ClassSettings c;
      c.name = "live";
      c.latencyObjective = c.clientTimeout = span(2);
      c.idempotency = Idempotency::idempotent;
      s.classes = {c};
      s.maxAttempts = 3;
      s.eventInterval = kTick;
      s.warmUpTime = span(o.coldTime);
      s.initialCapacityFraction = o.coldShare;
      s.collapseWindow = span(2);
      s.hostStreamRate = o.rate;
      s.streamRetrySpread = span(o.returnWithin);
      gateways_.push_back(
          {std::make_unique<LoadBalancer>(s, kZero), std::make_unique<DrainPlan>(o.drainRate, g + 1), {}});
    }
    clients_.resize(o.streams);
    ramp_ = 1.5 * static_cast<double>(o.streams) / std::max(1.0, o.rate * static_cast<double>(o.workers));
    for (Client& c : clients_) c.at = unit() * ramp_;
    list();
  }

  void run() {
    const double roll = ramp_ + 10;
    const double end = roll + static_cast<double>(o_.workers) * o_.gap + 60;
    std::vector<std::pair<double, std::size_t>>
        told;  // when the list says that a worker drains, or has one more
    std::size_t next = 0;
    for (now_ = 0; now_ < end; now_ += std::chrono::duration<double>(kTick).count()) {
      if (next < o_.workers && now_ >= roll + static_cast<double>(next) * o_.gap) {
        workers_[next].drainsAt = now_;
        told.emplace_back(now_ + kTold, next);
        Worker fresh{"w" + std::to_string(workers_.size()), now_ + kReplaced - kTold, HUGE_VAL, 0, {}};
        told.emplace_back(now_ + kReplaced, workers_.size());
        workers_.push_back(fresh);
        ++next;
      }
      for (auto it = told.begin(); it != told.end();)
        if (now_ >= it->first) {
          if (it->second >= o_.workers) listed_ = std::max(listed_, it->second + 1);
          else drain(it->second);
          list();
          it = told.erase(it);
        } else {
          ++it;
        }
      step();
      if (now_ >= nextSample_) sample();
    }
  }

  int report() const {
    std::printf("| s |");
    for (const Worker& w : workers_) std::printf(" %s |", w.name.c_str());
    std::printf(" away | refused |\n| --- |");
    for (std::size_t i = 0; i < workers_.size() + 2; ++i) std::printf(" --- |");
    std::printf("\n");
    for (std::size_t i = 0; i < samples_.size(); i += 10) {
      std::printf("| %.0f |", samples_[i].at);
      for (std::size_t w = 0; w < workers_.size(); ++w)
        std::printf(" %zu |", w < samples_[i].held.size() ? samples_[i].held[w] : 0);
      std::printf(" %zu | %zu |\n", samples_[i].away, samples_[i].refused);
    }
    std::size_t late = 0;
    double most = 0, cold = 0;
    for (const Worker& w : workers_) {
      for (const double at : w.begun) late += at > w.drainsAt + kTold + kGrace;
      for (std::size_t i = 0, j = 0; j < w.begun.size(); ++j) {  // of any second
        while (w.begun[j] - w.begun[i] >= 1) ++i;
        const auto n = static_cast<double>(j - i + 1);
        most = std::max(most, n);
        if (w.up > 0 && w.begun[j] < w.up + o_.coldTime) {
          const double warm = o_.coldShare + (1 - o_.coldShare) * (w.begun[j] - w.up) / o_.coldTime;
          cold = std::max(cold, n / (o_.rate * warm));
        }
      }
    }
    std::size_t least = SIZE_MAX, highest = 0;
    for (std::size_t w = o_.workers; w < workers_.size(); ++w)
      least = std::min(least, workers_[w].held), highest = std::max(highest, workers_[w].held);
    const double mean = static_cast<double>(o_.streams) / static_cast<double>(o_.workers);
    const double uneven = static_cast<double>(highest - least) / mean;
    std::printf(
        "\nnew at a draining worker %.1f s after it was told: %zu\nmost that began at one worker in any "
        "second: %.0f (rate %.0f "
        "and a quarter at once)\ncold workers, most in a second against their part of the rate: %.2f\nspread "
        "at the end: %zu to "
        "%zu, %.1f%% of the mean\nrefused: %zu; longest away: %.1f s\n",
        kGrace, late, most, o_.rate, cold, least, highest, 100 * uneven, refused_, longest_);
    const bool good =
        late == 0 && most <= o_.rate * 1.3 + 2 * static_cast<double>(o_.gateways) && uneven < 0.4;
    std::printf("%s\n", good ? "bounds held" : "BOUNDS BROKEN");
    return good ? 0 : 1;
  }

  void draw(const std::string& path) const {
    constexpr double kWide = 960, kHigh = 420, kLeft = 60, kTop = 30;
    double top = 1;
    for (const Sample& s : samples_)
      for (const std::size_t n : s.held) top = std::max(top, static_cast<double>(n));
    const double end = samples_.back().at;
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"1060\" height=\"500\" "
           "font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"60\" y=\"18\">streams by worker "
           "over time, s"
        << "</text>\n";
    for (int i = 0; i <= 4; ++i) {
      const double y = kTop + kHigh * (1 - i / 4.0);
      out << "<line x1=\"" << kLeft << "\" y1=\"" << y << "\" x2=\"" << kLeft + kWide << "\" y2=\"" << y
          << "\" stroke=\"#ddd\"/><text x=\"8\" y=\"" << y + 4 << "\">" << std::lround(top * i / 4)
          << "</text>\n";
      const double x = kLeft + kWide * i / 4.0;
      out << "<text x=\"" << x - 8 << "\" y=\"" << kTop + kHigh + 18 << "\">" << std::lround(end * i / 4)
          << "</text>\n";
    }
    for (std::size_t w = 0; w < workers_.size(); ++w) {
      const auto hue = 360 * w / workers_.size();
      out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"hsl(" << hue << ",70%,40%)\" points=\"";
      for (const Sample& s : samples_)
        if (w < s.held.size())
          out << kLeft + kWide * s.at / end << ","
              << kTop + kHigh * (1 - static_cast<double>(s.held[w]) / top) << " ";
      out << "\"/>\n<text fill=\"hsl(" << hue << ",70%,40%)\" x=\"" << 60 + 70 * w << "\" y=\"480\">"
          << workers_[w].name << "</text>\n";
    }
    out << "</svg>\n";
  }

 private:
  struct Sample {
    double at = 0;
    std::vector<std::size_t> held;
    std::size_t away = 0, refused = 0;
  };
  static constexpr Time kZero = std::chrono::hours(24);
  Time time() const { return kZero + span(now_); }
  double unit() { return static_cast<double>(dice_() >> 11) * 0x1.0p-53; }

  void list() {
    if (listed_ == 0) listed_ = o_.workers;
    std::vector<HostEntry> all;
    for (std::size_t w = 0; w < listed_; ++w) {
      HostEntry e;
      e.address = workers_[w].name;
      e.zone = "a";
      e.machineType = "std";
      e.phase = workers_[w].drainsAt + kTold <= now_ ? HostPhase::draining : HostPhase::active;
      if (workers_[w].up > 0) e.startedAt = kZero + span(workers_[w].up);
      all.push_back(e);
    }
    for (Gateway& g : gateways_) {
      g.balancer->onHostListUpdate(time(), HostListUpdate::complete, all);
      carryOut(g);
    }
  }
  void drain(std::size_t worker) {
    for (std::size_t g = 0; g < gateways_.size(); ++g) {
      std::vector<std::uint64_t> there;
      for (std::size_t c = 0; c < clients_.size(); ++c)
        if (clients_[c].state == Client::State::held && clients_[c].worker == worker &&
            clients_[c].gateway == g)
          there.push_back(c + 1);
      gateways_[g].plan->add(there, time(), span(o_.spread ? o_.drainWithin : 0));
    }
  }
  void step() {
    for (Gateway& g : gateways_) {
      g.balancer->onTimer(time());
      carryOut(g);
      for (const std::uint64_t id : g.plan->due(time())) end(clients_[id - 1]);
    }
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      Client& c = clients_[i];
      if (c.state == Client::State::away && now_ >= c.at) ask(i);
      else if (c.state == Client::State::dialling && now_ >= c.at) begin(c);
    }
  }
  void ask(std::size_t i) {
    Client& c = clients_[i];
    c.gateway = dice_() % gateways_.size();  // as a plain front deals them
    Gateway& g = gateways_[c.gateway];
    Request q;
    q.id = c.request = ++lastRequest_;
    q.classIndex = 0;
    q.timeLeft = span(2);
    q.isStream = true;
    g.asked[q.id] = i;
    if (c.at > 0 && since_.count(i) == 0) since_[i] = now_;
    g.balancer->onRequest(time(), q);
    carryOut(g);
  }
  void carryOut(Gateway& g) {
    const std::vector<Action> actions = std::exchange(g.balancer->actions(), {});
    for (const Action& a : actions) {
      const auto it = g.asked.find(a.request);
      if (it == g.asked.end()) continue;
      Client& c = clients_[it->second];
      if (a.kind == ActionKind::sendAttempt) {
        c.state = Client::State::dialling;
        c.at = now_ + kConnect;
        c.attempt = a.attempt;
        c.host = a.host;
        const std::string& name = g.balancer->hostAddress(a.host);
        c.worker = static_cast<std::size_t>(std::atoi(name.c_str() + 1));
      } else if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
        ++refused_;
        c.state = Client::State::away;
        c.at = now_ + std::max(0.05, std::chrono::duration<double>(a.duration).count());
        g.asked.erase(it);
      }
    }
  }
  void begin(Client& c) {
    c.state = Client::State::held;
    Worker& w = workers_[c.worker];
    ++w.held;
    w.begun.push_back(now_);
    Gateway& g = gateways_[c.gateway];
    g.balancer->onResponseStarted(time(), c.request, c.attempt);
    const std::size_t i = g.asked.at(c.request);
    if (const auto s = since_.find(i); s != since_.end()) {
      if (now_ > ramp_ + 10) longest_ = std::max(longest_, now_ - s->second);
      since_.erase(s);
    }
    if (w.drainsAt + kTold <= now_) g.plan->add({i + 1}, time(), span(o_.drainWithin));
  }
  void end(Client& c) {
    if (c.state != Client::State::held) return;
    --workers_[c.worker].held;
    Gateway& g = gateways_[c.gateway];
    g.asked.erase(c.request);
    AttemptResult r;
    r.request = c.request;
    r.attempt = c.attempt;
    r.host = c.host;
    r.requestEnded = true;
    g.balancer->onAttemptResult(time(), r);
    c.state = Client::State::away;
    c.at = now_ + 0.05 + 0.45 * unit();
  }
  void sample() {
    Sample s;
    s.at = now_;
    for (const Worker& w : workers_) s.held.push_back(w.held);
    for (const Client& c : clients_) s.away += c.state != Client::State::held;
    s.refused = refused_;
    samples_.push_back(std::move(s));
    nextSample_ += 1;
  }

  const Options o_;
  std::mt19937_64 dice_;
  std::vector<Worker> workers_;
  std::vector<Gateway> gateways_;
  std::vector<Client> clients_;
  std::map<std::size_t, double> since_;  // clients that are away: since when they ask
  std::vector<Sample> samples_;
  RequestId lastRequest_ = 0;
  std::size_t listed_ = 0, refused_ = 0;
  double now_ = 0, ramp_ = 0, nextSample_ = 0, longest_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options o;
  CLI::App app("A rolling deploy with streams, in a model");
  app.add_option("--workers", o.workers, "workers, each replaced once")->check(CLI::Range(1, 1000));
  app.add_option("--gateways", o.gateways)->check(CLI::Range(1, 100));
  app.add_option("--streams", o.streams)->check(CLI::Range(1, 200'000));
  app.add_option("--rate", o.rate, "streams that may begin at one worker a second; 0: no bound");
  app.add_option("--drain-within", o.drainWithin, "seconds");
  app.add_option("--drain-rate", o.drainRate, "ended a second by one gateway; 0: no bound");
  app.add_option("--gap", o.gap, "seconds from one worker's drain to the next one's");
  app.add_option("--return-within", o.returnWithin, "seconds");
  app.add_flag("!--at-once", o.spread, "end all streams of a worker at once");
  app.add_option("--seed", o.seed);
  app.add_option("--svg", o.svg, "draw streams by worker over time");
  CLI11_PARSE(app, argc, argv);
  Model model(o);
  model.run();
  const int result = model.report();
  if (!o.svg.empty()) model.draw(o.svg);
  return result;
}
