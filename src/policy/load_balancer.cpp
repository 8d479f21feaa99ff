// The decision module. Interface (types, events, actions): include/finchstile/load_balancer.hpp.
//
// A request is scored 1 to 100 by worth, refused unsent when it scores below the cutoff, and otherwise sent
// to a random ready host that holds few of our requests, else to the lighter of two draws. The cutoff is
// 100 x^3, where x is the larger of the error overload and the in-flight overload of the pool. Where gateways
// outnumber hosts and may probe or talk to peers, a look at a few hosts stands for our own in-flight.
// Read on in this order: constants, host health, score, cutoff, cold start, pick, attempts, look, discovery,
// timers. What is kept of hosts and requests: state.hpp; the bytes of peer messages: message.hpp.
#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "finchstile/load_balancer.hpp"
#include "policy/message.hpp"
#include "policy/settings.hpp"
#include "policy/state.hpp"
#include "policy/subset.hpp"

namespace finchstile::load_balancing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Constants, each with its reason ------------------------------------------------------------------

constexpr Duration kSweep = milliseconds(100);  // statistics are renewed this often: a few answer times
constexpr double kSweepHosts = 32;              // longer lists are swept less often, for the CPU
constexpr double kFastGain = 0.2;               // per sweep: rates over about half a second
constexpr double kSlowGain = 0.008;             // per sweep: the traffic mix is remembered about ten seconds
constexpr double kNormGain = 0.02;  // per answer: a class's usual time, over its last fifty answers
constexpr double kPaceFade = 0.05;  // per sweep without requests: an old pace fades in two seconds
constexpr double kPaceGain = 0.1;   // per answer: a host's pace, over its last ten answers

// In-flight overload. By Little's law the pool carries `rate x aim` at most if answers are to be in time.
constexpr double kMaxOfAim = 0.38;          // in-flight maximum: mean time at this share of the aim
constexpr double kInflightThreshold = 0.5;  // share of that maximum below which nothing is cut
constexpr double kHeldGain = 0.05;          // per arrival: in-flight over the last twenty arrivals
constexpr double kHeldSweep = 0.5;          // per sweep
// Danger: a gateway among a thousand sees two requests a second, and a half-second rate is then noise.
constexpr double kLeastSamples = 20;  // no pool measure rests on fewer arrivals, however long that takes
constexpr double kFirstPerHost = 6;   // maximum assumed for a host before anything was measured
constexpr double kFloorPerHost = 2;  // held a host, by all gateways: the learned maximum never falls below it
// Danger: hosts once driven over stay slow long after, and "full" is the first that one hears of it.
constexpr double kFullEase = 4;        // times the share of "full" answers is taken off the maximum,
constexpr double kFullEaseMost = 0.5;  // up to a half, and forgotten in half a second
// Danger: a maximum that follows a sinking rate idles slow hosts. What one held while calm stays allowed.
constexpr double kCalmFade = 0.001;  // per sweep: forgotten in some minutes
// Error overload: share of failed attempts. A few per cent is everyday noise.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMax = 0.7;
// Danger: what a subset turns away is refused whatever its worth, once resends are used up: cut sooner there.
constexpr double kErrorMaxSubset = 0.4;
constexpr double kFullError = 0.5;  // "full" where a look compares hosts: the noise of choice by hearsay
constexpr double kErrorPrior = 10;  // attempts assumed good, so that a handful of samples proves nothing

constexpr std::size_t kDrawn = 24;  // hosts weighed for one pick: more would cost CPU and gain little
constexpr std::size_t kMany = 32;   // more gateways than this, or than hosts, do not all meet all hosts
constexpr std::size_t kSubset = 4;  // hosts of its own that one of many gateways keeps to,
constexpr double kMetLeast = 6, kMetMost = 40;  // but each host is met by about so many of them,
constexpr double kSubsetHeld = 0.5;             // and for each request that it holds so many more
constexpr double kLocalLean = 2;                // own zone in the draw: yields to a host 1.4 times as fast
constexpr int kWarmCandidates = 3;              // hosts that share the warmth of one key
constexpr double kFailGain = 0.12;              // per outcome: five failures on end make one half
constexpr double kErrorGain = 0.5;   // per error answer, where sparse: rare in health, so one is proof
constexpr double kFailEject = 0.45;  // failure share that ejects,
constexpr double kFailPeers = 2.5;   // if it is also this many times that of the better quarter of the pool
constexpr double kEjectShare = 0.5;  // of the pool at most, so a pool-wide trouble never empties it
constexpr Duration kEjectFirst = seconds(1);  // doubled each time,
constexpr double kEjectVisit = 8;             // times the first, at most, where a host is met seldom,
constexpr int kEjectDoublings = 3;            // up to so often
constexpr Duration kTrialLeft = seconds(4);   // a trial is left to what may be repeated for so long
constexpr double kSilentNorms = 4;            // silent: nothing heard for so many times the usual time,
constexpr Duration kSilentLeast = milliseconds(150);  // and at least for this long (short pauses are normal)

constexpr double kLostNorms = 2;  // usual times without an answer: an attempt is rather lost than slow,
constexpr double kLostShare =
    0.1;  // once so many are. It is given up at half of its time, if that is longer,
constexpr double kLostPatience = 3;  // and at so many usual times at the latest

constexpr double kProvenDecay = 0.997;  // per sweep: proven rates of a machine kind fade over half a minute
constexpr double kShareDecay = 0.99;    // the same of what each listed host does for us: some ten seconds
constexpr int kFullRow = 3;             // "full" so often on end: not a short peak, the host rests,
constexpr Duration kFullRest = milliseconds(20);  // an unloaded answer time, doubled at each further one
constexpr int kFullDoublings = 5;                 // up to so often

constexpr double kColdPart = 0.45;   // load of a cold host, as a part of the multiple that fells it
constexpr double kLeftApart = 0.02;  // of the client's total wait: times closer than this are the same
constexpr double kLateOfAim = 0.5;   // a try that seems to have spent more than this before is a late one;
constexpr double kLateMost = 0.2;    // beyond this part of a class's recent requests, they are impatient ones
constexpr double kRetryShare = 0.3;  // resends per new request
constexpr double kRetryBurst = 30;   // resends that may be saved up,
constexpr double kRetryReserve = 25;  // of those so many are kept from what is worth next to nothing

constexpr double kLookOfAim = 0.1;  // of the aim: how long a look before a send may take
constexpr int kLookHosts = 3;       // probed for one send: beyond three the gain is small
constexpr double kIdleLoad = 0.5;   // held less than this: idle, no need to wait for the other reports
// By the time that the lightest host seen would need for the request, against its aim:
constexpr double kWaitThreshold = 0.45;    // nothing is cut below,
constexpr double kWaitMax = 0.85;          // everything from here on
constexpr double kBareOfAim = 0.15;        // assumed time for each request held, against the aim,
constexpr double kBarePrior = 10;          // with the weight of so many samples,
constexpr double kBareSamples = 30;        // and measured over so many at most
constexpr double kLast = 1000;             // held more than any host: ranks behind all that are well
constexpr double kGroupHosts = 24;         // of one zone share a keeper: its lightest is almost the pool's
constexpr Duration kDeafFor = seconds(3);  // a keeper that did not answer is passed over for so long

// What discovery has to tell counts as told 6 s after it could be reached, whatever became of our calls. So
// the longest of these waits, a call of 2 s in vain before and an answer of 1.5 s behind come to 5.5 s.
constexpr Duration kAskFirst = milliseconds(500), kAskMost = seconds(2), kAskLeast = milliseconds(50);
// After a move 4 s, and it turns calls away while it is full: they follow sooner the longer one waits.
constexpr Duration kMoveHurry = seconds(8);

constexpr Duration kStreamBurst = milliseconds(250);  // of a host's rate of streams that may come at once
// In the draw, at the least and the most, for a host with more or fewer streams than the mean: enough to even
// out what chance does, too little for one empty host to be sent all that comes;
constexpr double kStreamLeast = 0.25, kStreamMost = 4;
// and where a rate guards it, as much as that lets through: a host that came last would stay behind.
constexpr double kGuardedLeast = 0.02, kGuardedMost = 16;

}  // namespace

struct LoadBalancer::Impl : State {
  Impl(Settings s, Time t) {
    set = std::move(s);
    engine.seed(set.seed);
    now = started = t;
    nextSweep = t + kSweep;
    sweep = kSweep;
    outcomeSeen = kErrorPrior;
    bareOfAim = kBareOfAim;
    bareSeen = kBarePrior;
    retryTokens = kRetryBurst;
    for (const ClassSettings& c : set.classes) {
      classes.push_back({c, 0, 0, {}, 0});
      longestAim = std::max(longestAim, c.latencyObjective);
      meanAim += toSeconds(c.latencyObjective) / static_cast<double>(set.classes.size());
    }
    ClassSettings unknown = set.classes.front();  // what nobody described: never repeated, lowest worth
    unknown.name = "unknown";
    unknown.idempotency = Idempotency::nonIdempotent;
    unknown.priorityWeight = 0;
    classes.push_back({unknown, 0, 0, {}, 0});
    for (const auto& tenant : set.tenants) tenants.push_back({tenant.quotaPerSecond, kQuotaBurst, t});
  }

  // --- Host health ------------------------------------------------------------------------------------

  // Our own outcome: the class's usual time, and what the pool answers in time.
  void judge(const Try& t, const Open& r, const AttemptResult& a) {
    ClassState& c = classes[r.cls];
    Host& h = hosts[t.host];
    // What went out before the host's start was answered by another process, whose load is none of its.
    if (a.report && t.at >= h.entry.startedAt) reports.heard(h.reported, *a.report, now);
    // How long a stream lasts, or took to begin, says nothing of a host's pace.
    if (r.stream) return learn(h, a.outcome, 0, true), tally(h, a.outcome);
    const double taken = std::max(toSeconds(a.elapsed), 1e-6);  // zero would make every ratio meaningless
    if (a.outcome == Outcome::served && c.norm <= 0) c.norm = taken / r.cost;
    const double sample = c.norm > 0 ? std::min(taken / (c.norm * r.cost), 20.0) : 1;
    if (a.outcome == Outcome::served) {
      answers += 1;
      served += 1;
      h.served += 1;
      c.norm += kNormGain * (taken / r.cost - c.norm);
      // Danger: counted one by one, heavy answers make a gateway that is cut down to a heavy class think the
      // pool slow and starve. By its usual time an answer weighs as its work.
      const double weight = meanWork > 0 ? std::clamp(c.norm * r.cost / meanWork, 0.1, 10.0) : 1;
      inTime += weight * (now <= r.aimAt ? 1 : r.lateShare);
      if (guessing()) firstInTime += now <= r.aimAt;
    }
    // Time-outs count at their length: left out, a pool that turns slow would look as quick as its survivors.
    if (r.load >= 0 && (a.outcome == Outcome::served || a.outcome == Outcome::timeout)) {
      const double part = std::min(taken / toSeconds(r.aim), 1.0) / (r.load + 1);
      bareSeen = std::min(bareSeen + 1, kBareSamples);
      bareOfAim += (part - bareOfAim) / bareSeen;
    }
    if (a.outcome == Outcome::served || a.outcome == Outcome::timeout)
      reports.learn(t.hint, sample / std::max(h.pace, 0.05));
    learn(h, a.outcome, sample, true);
    tellKeeper(h, peer::Kind::done, a.outcome, sample);
    tally(h, a.outcome);
    if (!counts(a.outcome)) return;
    const bool lost = a.outcome == Outcome::timeout && a.elapsed >= lostAfter(r);
    lostShare += kNormGain * (lost - lostShare);
    lostTime += kNormGain * (lost * taken - lostTime);
    heldTime += kNormGain * (taken - heldTime);
    servedShare += ((a.outcome == Outcome::served) - servedShare) / kLeastSamples;
  }

  static bool counts(Outcome o) {
    return o != Outcome::cancelled && o != Outcome::notSent && o != Outcome::invalidRequest;
  }
  void tally(Host& h, Outcome outcome) {  // for the pool's overloads
    if (!counts(outcome)) return;
    outcomeSeen += 1;
    h.outcomes += 1;
    if (outcome == Outcome::rejectedForCapacity && h.fulls <= kFullRow)
      fullSeen += 1;  // beyond: only this host's trouble
    if (outcome != Outcome::served)
      h.errors += outcome == Outcome::rejectedForCapacity && looks() ? kFullError : 1;
  }

  // What an outcome, our own or one told to us as the host's keeper, shows of the host.
  void learn(Host& h, Outcome outcome, double sample, bool own) {
    bool failed = false;
    switch (outcome) {
      case Outcome::served:
        h.heard = now;
        h.fulls = 0;
        if (sample > 0) learnPace(h, sample);
        break;
      case Outcome::rejectedForCapacity:  // Danger: a host that stays full, or drains unannounced, looks
                                          // idle.
        h.heard = now;
        rest(h);
        return;
      case Outcome::timeout:
        if (sample > 1) learnPace(h, sample);
        // Danger: a keeper hears of its own group only; in an overload it would eject all of it.
        if (!own || answering(h)) return;
        failed = true;
        break;
      case Outcome::error:
        h.heard = now;
        failed = true;
        break;
      case Outcome::invalidRequest: h.heard = now; return;
      case Outcome::connectFailed:
      case Outcome::reset:
        if (answering(h)) return;
        // Danger: a lost zone is met by each gateway for itself; until it is ejected, all resends go there.
        if (narrow()) h.fulls = std::max(h.fulls, kFullRow - 1), rest(h);
        failed = true;
        break;
      case Outcome::cancelled:
      case Outcome::notSent: return;
    }
    const double gain = outcome == Outcome::error && many() ? kErrorGain : kFailGain;
    h.fails += gain * ((failed ? 1.0 : 0.0) - h.fails);
    if (h.health != Health::trial) return;
    if (failed) return eject(h, "trial failed");
    h.health = Health::good;
    h.fails = 0;
    if (mayLog()) log("host returned " + h.entry.address);
  }

  void rest(Host& h) {  // once more on end nothing was taken
    if (++h.fulls < kFullRow) return;
    h.restUntil =
        now + scaled(kFullRest * (1 << std::min(h.fulls - kFullRow, kFullDoublings)), 0.5 + drawUnit());
  }

  // Danger: where connections break or requests are lost all over the fleet, hosts that do most of what they
  // are sent would be ejected, up to half of them, and the rest driven over. A host that has answered within
  // the time in which any of them shows life is not down, whatever became of one connection. A process that
  // died answers no more, and is ejected that much later; in a trial nothing was heard for longer.
  bool answering(const Host& h) const { return h.heard > Time{} && now - h.heard < kSilentLeast; }

  void learnPace(Host& h, double sample) {
    Kind& k = kinds[h.kind];
    h.pace += kPaceGain * (sample - h.pace);
    k.pace += kNormGain * (sample - k.pace);
  }

  void eject(Host& h, const char* why) {
    h.health = Health::ejected;
    // Danger: with little traffic a host is met so seldom that a short ejection spares it nothing.
    const double visit = static_cast<double>(listed.size()) * toSeconds(sweep) / std::max(arrivalRate, 0.001);
    const double first = std::clamp(visit / toSeconds(kEjectFirst), 1.0, kEjectVisit);
    h.until = now + scaled(kEjectFirst * (1 << h.ejections), first * (0.75 + 0.5 * drawUnit()));
    h.ejections = std::min(h.ejections + 1, kEjectDoublings);
    if (mayLog()) log("host ejected " + h.entry.address + " (" + why + ")");
  }

  double memory(double gain) const {  // per sweep: `gain`, or less until enough samples are in it
    return std::min(gain, std::max(arrivalRate, 0.001) / kLeastSamples);
  }

  void sweepHosts() {
    std::vector<double> paces, fails;
    const double fade = 1 - memory(kFastGain);
    std::size_t away = 0;
    for (HostId id : listed) {
      Host& h = hosts[id];
      h.rate += kFastGain * (h.served / toSeconds(sweep) - h.rate);
      // Danger: a pace learned in trouble keeps requests away, and without them it would never change. It
      // returns to that of its kind, which is learned sooner; or, where a look compares hosts, to the median.
      if (h.served <= 0 && h.inflight == 0)
        h.pace += kPaceFade * ((looks() ? medianPace : kinds[h.kind].pace) - h.pace);
      h.served = 0;
      h.outcomes *= fade;
      h.errors *= fade;
      if (h.health == Health::ejected && now >= h.until) h.health = Health::trial;  // by real requests
      if (h.health != Health::good) ++away;
      paces.push_back(h.pace);
      fails.push_back(h.fails);
      // Danger: a paused or lost host gathers requests until they time out.
      while (!h.sent.empty() && !outTry(h.sent.front(), id)) h.sent.pop_front();
      const Duration limit =
          std::max(kSilentLeast, scaled(seconds(1), kSilentNorms * meanWork * std::max(1.0, h.pace)));
      h.silent = !h.sent.empty() && now - std::max(h.heard, outTry(h.sent.front(), id)->at) > limit;
    }
    medianPace = quantile(paces, 0.5, 1);
    peerFails = quantile(fails, 0.25, 0);  // a quarter of the peers well: the others are outliers
    for (HostId id : listed) {  // judged against the peers, so that a pool-wide trouble ejects nobody
      Host& h = hosts[id];
      if (h.health != Health::good ||
          static_cast<double>(away + 1) > kEjectShare * static_cast<double>(listed.size()))
        continue;
      if (h.fails > std::max(kFailEject, kFailPeers * peerFails)) {
        eject(h, "failing");
        ++away;
      } else if (h.ejections > 0 && h.fails < 0.05 && now > h.until + 4 * kEjectFirst) {
        h.ejections = 0;
      }
    }
  }

  // Danger: a pool that loses a part of what it is sent looks overloaded: the lost ones are held until their
  // time is up, and one that may be repeated has none left by then. It does harm where answers are late and
  // not lost: what is given up has cost work. So it rests until a tenth is missed, and in an overload: the
  // usual time grows with it, and no aim leaves room for two of them.
  bool losing() const { return lostShare > kLostShare; }
  Duration lostAfter(const Open& r) const {
    return std::max(kSilentLeast, scaled(seconds(1), kLostNorms * classes[r.cls].norm * r.cost));
  }
  Duration patience(const Open& r) const {
    const ClassState& c = classes[r.cls];
    const Duration left = lastUse(r) - now, least = lostAfter(r);
    const bool again =
        losing() && !r.stream && c.set.idempotency != Idempotency::nonIdempotent && retryTokens >= 1;
    return again && left / 2 > least ? std::min(left / 2, scaled(least, kLostPatience / kLostNorms)) : left;
  }
  static bool sick(const Host& h) { return h.health != Health::good || h.silent; }

  // --- Score ------------------------------------------------------------------------------------------

  // Worth of what the request can still earn, by request or by unit of work as the worth is counted.
  double worthOf(const Open& r, std::uint32_t tenant) {
    double worth = classes[r.cls].set.priorityWeight * (now >= r.aimAt ? r.lateShare : 1);
    if (tenant < tenants.size() && tenants[tenant].quota > 0) {
      TenantState& t = tenants[tenant];
      const double share = t.quota / set.gatewayCount;
      // Danger: a share of under one request a second would never fill a bucket of one second.
      t.tokens = std::min(t.tokens + toSeconds(now - t.filled) * share, std::max(share, kQuotaBurst));
      t.filled = now;
      if (t.tokens >= 1) t.tokens -= 1;
      else worth *= set.overQuotaWeightFactor;
    }
    return worth;
  }

  // Rank within the recent traffic: a cutoff of c refuses about c per cent. A seeded draw spreads each
  // level over its own band, so equal worth shares the loss and higher worth is never cut first.
  double scoreOf(double worth) {
    std::size_t at = 0;
    while (at < levels.size() && levels[at].worth < worth * 0.999) ++at;
    if (at == levels.size() || levels[at].worth > worth * 1.001 + 1e-12)
      levels.insert(levels.begin() + static_cast<std::ptrdiff_t>(at), Level{worth, 0});
    levels[at].seen += 1;
    double below = 0, all = 0;
    for (std::size_t i = 0; i < levels.size(); ++i) {
      all += levels[i].seen;
      if (i < at) below += levels[i].seen;
    }
    return 1 + 99 * (below + drawUnit() * levels[at].seen) / all;
  }

  // --- Cutoff -----------------------------------------------------------------------------------------

  double inflightMax() const {
    const double count = static_cast<double>(std::max<std::size_t>(listed.size(), 1));
    const double ease = 1 - std::min(kFullEase * fullSeen / outcomeSeen, kFullEaseMost);
    // Before anything was measured (own start in an overload) and after a lull, per-host guesses stand in.
    const double least = guessing() ? kFirstPerHost * ease / set.gatewayCount
                                    : std::max(kFloorPerHost / set.gatewayCount, calmHeld);
    return std::max(std::max(fastRate, firstRate()) * meanAim * kMaxOfAim * ease, least * count + 2);
  }
  // Danger: until the swept rate has come near the true one, fast hosts would stand idle under the guess.
  // What was answered in time since the first arrival is none. Slow or cold hosts show few: the guess stands.
  double firstRate() const {
    if (!guessing() || firstInTime < kLeastSamples || now - firstCame < milliseconds(1)) return 0;
    return firstInTime / toSeconds(now - firstCame);
  }
  bool guessing() const { return now - started < 10 * kSweep || answers < kLeastSamples; }

  double heldNow() const {
    double held = 0;
    for (HostId id : busy)  // one bad host must not lift the pool's cut,
      if (hosts[id].entry.phase == HostPhase::active && !sick(hosts[id])) held += hosts[id].inflight;
    return losing() ? held * (1 - lostTime / heldTime) : held;  // nor what nobody works at
  }

  static double curve(double x) { return 100 * std::pow(std::clamp(x, 0.0, 1.0), 3); }

  void renewCut() {
    const double most = inflightMax();
    const double load = (smoothHeld / most - kInflightThreshold) / (1 - kInflightThreshold);
    cut = curve(std::max(looks() ? 0 : load, errorOverload));
  }

  void sweepPool() {
    const double gain = memory(kFastGain);
    arrivalRate +=
        (arrivalSweeps < 1 / kSlowGain ? 1 / ++arrivalSweeps : kSlowGain) * (arrivals - arrivalRate);
    arrivals = 0;
    fastRate += gain * (inTime / toSeconds(sweep) - fastRate);
    inTime = 0;
    sendRate += gain * (std::exchange(sends, 0) / toSeconds(sweep) - sendRate);
    servedRate +=
        gain / 3 * (std::exchange(served, 0) / toSeconds(sweep) - servedRate);  // chance must not show
    provenRate = std::max(servedRate / static_cast<double>(listed.size() + 1), provenRate * kShareDecay);
    calmHeld *= 1 - kCalmFade;
    if (cut <= 1 && now - started > 15 * kSweep && !listed.empty())
      calmHeld = std::max(calmHeld, smoothHeld / static_cast<double>(listed.size()));
    fullSeen *= 1 - gain;
    outcomeSeen += gain * (kErrorPrior - outcomeSeen);
    double outcomes = kErrorPrior, errors = 0;
    for (HostId id : listed) {
      if (sick(hosts[id])) continue;
      outcomes += hosts[id].outcomes;
      errors += hosts[id].errors;
    }
    errorOverload =
        (errors / outcomes - kErrorThreshold) / ((narrow() ? kErrorMaxSubset : kErrorMax) - kErrorThreshold);
    for (Level& l : levels) l.seen *= 1 - kSlowGain;
    levels.erase(std::remove_if(levels.begin(), levels.end(), [](const Level& l) { return l.seen < 0.01; }),
                 levels.end());
    smoothHeld += (heldNow() - smoothHeld) * memory(kHeldSweep);  // with few arrivals a burst would linger
    renewCut();
    const int step = static_cast<int>(cut / 20);
    if (step != loggedCut && mayLog()) {
      loggedCut = step;
      log("cutoff " + std::to_string(static_cast<int>(cut)) + " error overload " +
          std::to_string(errorOverload));
    }
  }

  // --- Cold start -------------------------------------------------------------------------------------

  // More gateways than hosts: our own in-flight and rates say next to nothing of what a host carries.
  bool sparse() const { return set.gatewayCount > listed.size(); }
  // That, or more than are to meet each host.
  bool many() const { return set.gatewayCount > std::min(listed.size(), kMany); }

  // Danger: all gateways together push a cold host over. Each keeps to its own part of what it has warm hosts
  // of that kind carry, in every window, refused attempts counted.
  bool coldMayTake(Host& h) {
    if (!isCold(h)) return true;
    if (many()) return false;  // by drawCold only
    const double window = std::max(toSeconds(set.collapseWindow), 0.1);
    const double rate =
        std::max(kinds[h.kind].proven * warmth(h) * kColdPart * set.collapseLoadFactor, 1 / window);
    h.coldTokens =
        std::min(h.coldTokens + rate * toSeconds(now - h.coldAt), std::max(1.0, rate * window / 4));
    h.coldAt = now;
    return h.coldTokens >= 1;
  }

  // Danger: of a thousand gateways each would claim one send at least in every window. A sparse one has a
  // draw over all hosts that it keeps to offer each of its sends to one, and a cold one takes it with the
  // probability of its warmth, times the share of sends that are answered, as an overload is sent over and
  // over: whatever the gateways carry, their sum is the part of an even share of what the pool does. Or
  // lately did: where most hosts are replaced, the last warm ones turn most away, and starve the others.
  HostId drawCold(const Open& r, double part) {
    if (!many() || listed.empty()) return kNone;
    const HostId id = order[drawBelow(std::min(width(), order.size()))];  // of the subset alone
    const Host& h = hosts[id];
    const double proven = std::min(provenRate * static_cast<double>(listed.size()) / sendRate, 1.0);
    const double chance = warmth(h) * part * std::max(servedShare, proven);
    return isCold(h) && usable(r, id) && drawUnit() < chance ? id : kNone;
  }

  // What a warm host of each kind has lately carried. Danger: in a deploy of nearly all hosts the last warm
  // ones are buried, and their sinking rates would starve the cold ones that could help; hence a slow decay.
  void sweepKinds() {
    double all = 0, warm = 0;
    for (HostId id : listed)
      if (!isCold(hosts[id]) && !sick(hosts[id])) all += hosts[id].rate, warm += 1;
    for (std::size_t k = 0; k < kinds.size(); ++k) {
      double rates = 0, count = 0;
      for (HostId id : listed)
        if (hosts[id].kind == k && !isCold(hosts[id]) && !sick(hosts[id]))
          rates += hosts[id].rate, count += 1;
      kinds[k].proven = std::max(count > 0 ? rates / count : 0, kinds[k].proven * kProvenDecay);
      if (kinds[k].proven <= 0 && warm > 0) kinds[k].proven = all / warm;
    }
  }

  // --- Pick -------------------------------------------------------------------------------------------

  // Its pace, and what its last report makes of it as far as such reports are worth anything.
  double paceNow(const Host& h) const { return h.pace * reports.factor(reports.hint(h.reported, now)); }
  double load(const Host& h) const { return (h.inflight + 1) * paceNow(h); }
  bool idle(const Host& h) const {  // holds none of ours; a fast host may hold more
    return h.inflight < std::max(1.0, medianPace / std::max(h.pace, 0.05));
  }

  // Whether one that may have run where it is said may run on this host as well,
  bool droppedThere(const ClassSettings& c, const std::string& zone, std::int64_t cell, const Host& h) const {
    if (c.idempotency != Idempotency::idempotentWithKey) return c.idempotency == Idempotency::idempotent;
    if (c.deduplicationScope != DeduplicationScope::all && zone != h.entry.zone) return false;
    return c.deduplicationScope != DeduplicationScope::cell || cell == h.entry.cell;
  }
  // and until when its last byte may go out there.
  Time repeatsUntil(const Open& r) const {
    const ClassSettings& c = classes[r.cls].set;
    Time first = r.earlier ? r.earlier->sentAt : Time::max();
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].mayHaveRun) first = std::min(first, r.tries[i].at);
    return c.idempotency == Idempotency::idempotentWithKey && first != Time::max()
               ? first + c.deduplicationWindow - 2 * set.eventInterval
               : Time::max();
  }

  bool allowed(const Open& r, const Host& h) const {  // the rule on repeats
    const ClassSettings& c = classes[r.cls].set;
    if (now > repeatsUntil(r)) return false;
    if (r.earlier && !droppedThere(c, r.earlier->zone, r.earlier->cell, h)) return false;
    for (std::uint32_t i = 0; i < r.count; ++i) {
      const HostEntry& first = hosts[r.tries[i].host].entry;
      if (r.tries[i].mayHaveRun && !droppedThere(c, first.zone, first.cell, h)) return false;
    }
    return true;
  }

  // Danger: a host that fails at once is met by each gateway for itself, and again at each trial: what may
  // not run twice would be lost there. So a trial is left to what may, if that comes, for some seconds.
  bool tries(const Open& r, const Host& h) const {
    const bool left = now - repeatableAt < kEjectFirst && now < h.until + kTrialLeft;
    return h.inflight == 0 && (!left || classes[r.cls].set.idempotency == Idempotency::idempotent);
  }

  bool usable(const Open& r, HostId id) const {
    const Host& h = hosts[id];
    if (now < h.restUntil || h.silent || h.health == Health::ejected ||
        (h.health == Health::trial && !tries(r, h)))
      return false;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].host == id) return false;
    return allowed(r, h);
  }

  // Of the own zone one of those gathered has room: it holds less than its part of the pool's threshold, or
  // answers so fast that what it holds takes no larger part of the aim. Beyond, service would fall.
  bool roomAtHome() const {
    const double count = static_cast<double>(std::max<std::size_t>(listed.size(), 1));
    const double part = std::max(1.0, kInflightThreshold * inflightMax() / count);
    const double time = kInflightThreshold * kMaxOfAim * meanAim;
    return std::any_of(ready.begin(), ready.end(), [&](HostId id) {
      return hosts[id].inflight + 1 <= std::max(part, time * hosts[id].rate);
    });
  }

  // Danger: where each of many gateways meets every host, connections carry a request or two and fill the
  // hosts' tables, and none is learned of in time. So each keeps to a few (subset.hpp); the next in its order
  // stand in for those not usable, and help while it holds more. Where a look compares hosts, that does it.
  bool narrow() const { return many() && !looks(); }
  std::size_t width() const {
    return narrow() ? kept + static_cast<std::size_t>(kSubsetHeld * smoothHeld) : kept;
  }
  void arrange() {
    order = listed;
    kept = listed.size();
    if (!narrow()) return;
    const double each = static_cast<double>(kept) / set.gatewayCount;
    const auto most = static_cast<std::size_t>(std::max(kMetMost * each, 1.0));
    kept = std::max(std::min(kSubset, most), static_cast<std::size_t>(std::ceil(kMetLeast * each)));
    std::vector<std::uint64_t> hashes;
    for (HostId id : listed) hashes.push_back(hosts[id].hash);
    const auto places = subsetOrder(hashes, set.gatewayIndex, set.gatewayCount, kept);
    for (std::size_t i = 0; i < places.size(); ++i) order[i] = listed[places[i]];
  }

  // Up to kDrawn hosts, from a random place in the list or the own subset on, then beyond that.
  void gather(const Open& r, bool relaxed, bool home = false) {
    ready.clear();
    const std::size_t within = std::min(width(), listed.size()), most = std::min(within, kDrawn);
    const std::size_t from = drawBelow(within);
    for (std::size_t i = 0; i < listed.size() && ready.size() < most; ++i) {
      const HostId id = order[i < within ? (from + i) % within : i];
      if ((!home || hosts[id].local) && (relaxed ? allowed(r, hosts[id]) : usable(r, id)) &&
          mayTake(r, hosts[id]))
        ready.push_back(id);
    }
  }

  // Tokens for the streams that may begin at a host, and room for what it may hold: this gateway's part, for
  // a cold one its warmth of it. Danger: clients whose streams ended together come back together.
  bool streamMayGo(Host& h) {
    const double part = warmth(h) / set.gatewayCount;
    if (set.maxStreamsPerHost > 0 &&
        static_cast<double>(h.streams) >= std::max(1.0, set.maxStreamsPerHost * part))
      return false;
    if (set.hostStreamRate <= 0) return true;
    const double rate = set.hostStreamRate * part;
    h.streamTokens = std::min(h.streamTokens + rate * toSeconds(now - std::max(h.streamsAt, started)),
                              std::max(1.0, rate * toSeconds(kStreamBurst)));
    h.streamsAt = now;
    return h.streamTokens >= 1;
  }

  // Danger: what a cold host may take is measured by requests; where streams are all that there is, it would
  // be given next to none. Where they have a rate of their own, its part of that holds.
  bool mayTake(const Open& r, Host& h) {
    if (!r.stream) return coldMayTake(h);
    return (set.hostStreamRate > 0 || coldMayTake(h)) && streamMayGo(h);
  }

  // Danger: all would go at once to the host with the fewest after a deploy. All draw, those with fewer more.
  HostId pickStream(const Open& r) {
    if (set.maxStreams > 0 && streams >= set.maxStreams) return kNone;
    gather(r, false);
    if (ready.empty()) gather(r, true);
    ready.erase(
        std::remove_if(ready.begin(), ready.end(), [&](HostId id) { return !streamMayGo(hosts[id]); }),
        ready.end());
    const bool guarded = set.hostStreamRate > 0;
    const double least = guarded ? kGuardedLeast : kStreamLeast, most = guarded ? kGuardedMost : kStreamMost;
    double all = 0, sum = 0;
    for (HostId id : ready) all += static_cast<double>(hosts[id].streams);
    HostId chosen = kNone;
    for (HostId id : ready) {
      const double fewer = all / static_cast<double>(ready.size()) - static_cast<double>(hosts[id].streams);
      const double weight = std::clamp(1 + fewer, least, most);
      sum += weight;
      if (drawUnit() * sum < weight) chosen = id;
    }
    return chosen;
  }

  HostId pick(const Open& r) {
    if (r.stream) return pickStream(r);
    if (const HostId cold = drawCold(r, 1); cold != kNone) return cold;
    gather(r, false, r.homeFirst);
    if (r.homeFirst && !roomAtHome()) gather(r, false);
    if (ready.empty()) gather(r, true);  // no healthy host: any that the rules allow beats none
    if (ready.empty()) return drawCold(r, kColdPart * set.collapseLoadFactor - 1);
    if (set.keyAffinity && r.hasKey) {
      // Warm keys: the first hosts in the key's rendezvous order, the same at all gateways.
      const std::size_t most = std::min<std::size_t>(kWarmCandidates, ready.size());
      std::partial_sort(
          ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(most), ready.end(),
          [&](HostId a, HostId b) { return mix(hosts[a].hash ^ r.key) > mix(hosts[b].hash ^ r.key); });
      for (std::size_t i = 0; i < most; ++i)
        if (idle(hosts[ready[i]])) return ready[i];
      ready.resize(most);
    }
    // Danger: beside many gateways our own in-flight says little, every host looks idle, and the own zone is
    // overrun; so the draw leans towards hosts that answer fast, and towards the own zone only lightly.
    double sum = 0;
    HostId chosen = kNone;
    for (HostId id : ready) {
      const Host& h = hosts[id];
      if (!idle(h)) continue;
      const double weight = (h.local ? kLocalLean : 1) / std::max(std::pow(paceNow(h), many() ? 4 : 2), 0.01);
      sum += weight;
      if (drawUnit() * sum < weight) chosen = id;
    }
    if (chosen != kNone) return chosen;
    const HostId a = ready[drawBelow(ready.size())], b = ready[drawBelow(ready.size())];
    return load(hosts[a]) <= load(hosts[b]) ? a : b;
  }

  // --- Attempts ---------------------------------------------------------------------------------------

  void release(const Open& r) {
    if (!r.ended || r.out > 0) return;
    for (std::uint32_t i = 0; i < r.count; ++i) --hosts[r.tries[i].host].refs;
    requests.erase(r.id);
  }

  void finish(Open& r) {  // a refusal claims that a retry is harmless, so it needs proof; else an error
    const ClassSettings& c = classes[r.cls].set;
    bool mayHaveRun = r.earlier.has_value();
    for (std::uint32_t i = 0; i < r.count; ++i) mayHaveRun |= r.tries[i].mayHaveRun;
    const bool harmless = !mayHaveRun || c.idempotency == Idempotency::idempotent ||
                          (c.idempotency == Idempotency::idempotentWithKey &&
                           c.deduplicationScope == DeduplicationScope::all && r.out == 0);
    emit(harmless ? ActionKind::reject : ActionKind::fail, r.id, 0, kNone,
         harmless && r.stream ? returnAfter(r) : Duration{});
    end(r);
  }

  void refuse(Open& r) {  // unsent, for overload
    emit(ActionKind::reject, r.id, 0, kNone, returnAfter(r));
    end(r);
  }

  // It lengthens as the score falls; jittered, or they would all come due together.
  Duration returnAfter(const Open& r) {
    if (r.stream && set.streamRetrySpread > Duration{})
      return scaled(set.streamRetrySpread, 0.1 + 0.9 * drawUnit());
    if (!set.retryAfterEnabled) return {};
    return scaled(set.maxRetryAfter, (1 - r.score / 100) * (0.5 + 0.5 * drawUnit()));
  }

  void end(Open& r) {
    r.ended = true;
    cancelOut(r);
    release(r);
  }

  void cancelOut(Open& r, std::uint32_t except = kNone) {  // work that can no longer earn
    if (!set.cancellationEnabled) return;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].out && !r.tries[i].cancelled && i != except) {
        r.tries[i].cancelled = true;
        emit(ActionKind::cancelAttempt, r.id, i);
      }
  }

  // Latest time at which an answer still earns and still reaches the client.
  Time lastUse(const Open& r) const {
    const Time end = r.deadline - 2 * set.eventInterval;
    return r.lateShare > 0 ? end : std::min(end, r.aimAt - 2 * set.eventInterval);
  }

  bool canSend(const Open& r) const {
    return lastUse(r) > now && r.count < std::min<std::size_t>(r.once ? 1 : set.maxAttempts, kTries);
  }

  bool send(Open& r, HostId id, bool advised = false) {
    if (id == kNone || !canSend(r)) return false;
    Host& h = hosts[id];
    if (isCold(h)) h.coldTokens = std::max(h.coldTokens - 1, -1.0);
    const Time latest = repeatsUntil(r);
    r.tries[r.count] = {id, now, true, true};
    r.tries[r.count].hint = reports.hint(h.reported, now);
    if (!r.coming) hold(r, r.tries[r.count]);
    if (r.stream) beginStream(r.tries[r.count]);
    ++h.refs;
    ++r.out;
    sends += 1;
    emit(ActionKind::sendAttempt, r.id, r.count++, id, patience(r));
    // Danger: a connection may be dead with nobody told, and a request that dies on it may have run. What may
    // not run anywhere again gets a proof first. A safe one is sent again anyway, and is spared the wait.
    out.back().verifyConnection = classes[r.cls].set.idempotency != Idempotency::idempotent;
    out.back().sendDeadline = latest;
    if (!advised) tellKeeper(h, peer::Kind::took);
    return true;
  }

  // --- Look -------------------------------------------------------------------------------------------

  // Danger: among a thousand gateways our own in-flight leaves every host looking idle; chosen blindly, some
  // are driven over while others idle. So where own figures are sparse, look before each send: probe a few
  // drawn hosts, or ask the keeper of the drawn host: a gateway, by hash, that is told of sends and outcomes
  // there. It is word only: late, lost or wrong, the plain pick stands in, and the list and the rules hold.

  bool route(Open& r) {  // false: no attempt is out or will be
    if (!canSend(r)) return false;
    const HostId drawn = pick(r);
    if (drawn == kNone) return false;
    r.load = -1;
    const Duration wait = scaled(r.aim, kLookOfAim);
    if (r.stream || !looks() || lastUse(r) - now < 2 * wait) return send(r, drawn);
    r.best = kNone;
    r.bestLoad = HUGE_VAL;
    if (set.probingEnabled) {
      probe(r, drawn);
      for (int i = 1; i < kLookHosts; ++i) {
        const HostId other = pick(r);
        if (other != drawn && !isCold(hosts[other])) probe(r, other);
      }
    } else {
      r.best = drawn;
      const std::uint32_t keeper = keeperOf(hosts[drawn].group);
      if (keeper == set.gatewayIndex) {
        r.best = advise(drawn, r.bestLoad);
        decide(r, true);
        return true;
      }
      tell(keeper, {peer::Kind::ask, hosts[drawn].hash32(), r.id, {}, 0});
      r.looking = 1;
    }
    guards.push({now + wait, r.id});
    return true;
  }

  bool looks() const { return sparse() && (set.probingEnabled || set.peerMessagesEnabled); }

  void probe(Open& r, HostId id) {
    hosts[id].probes.push_back(r.id);
    ++r.looking;
    emit(ActionKind::probeHost, 0, 0, id);
  }

  void decide(Open& r, bool advised = false) {
    r.looking = 0;
    r.load = r.bestLoad < HUGE_VAL ? r.bestLoad : -1;
    // In-flight overload as seen: the time that the lightest host needs, against the aim. Danger: beyond it
    // low scores would crowd out high ones, and crowded hosts turn slow for long.
    const double x = ((r.load + 1) * bareOfAim - kWaitThreshold) / (kWaitMax - kWaitThreshold);
    const bool cutOff = r.count == 0 && r.score < curve(x);
    const bool good =
        hosts.known(r.best) && hosts[r.best].entry.phase == HostPhase::active && usable(r, r.best);
    if (advised && (cutOff || !good) && hosts.known(r.best))
      tellKeeper(hosts[r.best], peer::Kind::done, Outcome::notSent);
    if (cutOff) refuse(r);
    else if (!send(r, good ? r.best : pick(r), advised && good)) finish(r);
  }

  Open* lookerOf(RequestId id) {
    Open* r = find(id);
    return r && !r->ended && r->looking > 0 ? r : nullptr;
  }

  void onProbe(const ProbeResult& p) {
    if (!hosts.known(p.host) || hosts[p.host].probes.empty()) return;
    Host& h = hosts[p.host];
    Open* r = lookerOf(h.probes.front());
    h.probes.pop_front();
    if (!r) return;
    const double held = std::isfinite(p.report.inflight) ? p.report.inflight : p.report.queue;
    const double load = p.healthy && held >= 0 ? held : HUGE_VAL;
    if (load < r->bestLoad) {
      r->best = p.host;
      r->bestLoad = load;
    }
    if (--r->looking == 0 || load < kIdleLoad) decide(*r);
  }

  std::uint32_t keeperOf(std::uint64_t group) const {
    const auto it = deaf.find(group);
    const std::uint64_t shift =
        it != deaf.end() && now < it->second ? 1 : 0;  // a silent keeper has a stand-in
    return static_cast<std::uint32_t>(mix(group + shift) % set.gatewayCount);
  }

  void tell(std::uint32_t to, const peer::Message& m) {
    out.push_back({ActionKind::sendPeerMessage, 0, to, kNone, {}, false, peer::encode(m)});
  }
  void tellKeeper(Host& h, peer::Kind kind, Outcome outcome = {}, double sample = 0) {
    if (!sparse() || !set.peerMessagesEnabled || set.probingEnabled) return;
    const std::uint32_t keeper = keeperOf(h.group);
    if (keeper == set.gatewayIndex) note(h, kind);
    else tell(keeper, {kind, h.hash32(), 0, outcome, sample});
  }

  void note(Host& h, peer::Kind kind) {  // as its keeper: one more or one fewer is held
    h.heldByTold(now);
    if (kind != peer::Kind::done) h.told.push_back(now + longestAim);
    else if (!h.told.empty()) h.told.pop_front();
  }

  HostId advise(HostId drawn, double& least) {  // a drawn cold host only if it is idle
    HostId best = kNone;
    double lowest = HUGE_VAL, same = 0;
    for (HostId id : listed) {
      Host& h = hosts[id];
      if (h.group != hosts[drawn].group || (isCold(h) && id != drawn)) continue;
      const double slow = isCold(h) ? 1 : std::max(h.pace / medianPace, 1.0);
      const double load = static_cast<double>(h.heldByTold(now) + 1) * slow - 1;
      const bool last = sick(h) || now < h.restUntil || (isCold(h) && load > 0);
      const double rank = isCold(h) && !last ? -1 : load + (last ? kLast : 0);
      if (rank < lowest) same = 0;
      if (rank > lowest || drawUnit() * ++same >= 1) continue;
      best = id;
      lowest = rank;
      least = load;
    }
    if (best != kNone) note(hosts[best], peer::Kind::ask);
    return best;
  }

  void onPeer(std::uint32_t from, std::string_view bytes) {
    peer::Message m;
    if (from >= set.gatewayCount || !set.peerMessagesEnabled || !peer::decode(bytes, m)) return;
    const auto it = byHash.find(m.host);
    if (it == byHash.end()) return;  // a list of ours may lag
    Host& h = hosts[it->second];
    if (m.kind == peer::Kind::advice) {
      Open* r = lookerOf(m.mark);
      if (!r || set.probingEnabled) return;
      r->best = it->second;
      r->bestLoad = m.sample;
      decide(*r, true);
    } else if (m.kind == peer::Kind::ask) {
      double load = 0;
      const HostId best = advise(it->second, load);
      if (best != kNone) tell(from, {peer::Kind::advice, hosts[best].hash32(), m.mark, {}, load});
    } else {
      note(h, m.kind);
      if (m.kind == peer::Kind::done) learn(h, m.outcome, m.sample, false);
    }
  }

  void onRequest(const Request& q) {
    const auto [it, fresh] = requests.try_emplace(q.id);
    if (!fresh) return;
    Open& r = it->second;
    r.id = q.id;
    r.cls = q.classIndex < set.classes.size() ? q.classIndex : static_cast<std::uint32_t>(set.classes.size());
    ClassState& c = classes[r.cls];
    const double cost = toSeconds(q.expectedWork);
    if (cost > 0) c.meanCost = c.meanCost > 0 ? c.meanCost + kNormGain * (cost - c.meanCost) : cost;
    r.aim = c.set.latencyObjective;
    r.lateShare = c.set.lateValueFraction;
    r.cost = cost > 0 ? std::clamp(cost / c.meanCost, 0.2, 5.0) : 1.0;
    r.key = q.affinityKey;
    r.hasKey = q.hasAffinityKey;
    r.earlier = q.earlierAttempt;
    r.once = r.coming = q.bodyIncomplete;
    r.homeFirst = q.preferLocalZone;
    r.stream = q.isStream;
    r.came = now;
    r.deadline = now + q.timeLeft;
    if (r.stream) r.aimAt = r.deadline;
    else expect(r, c, q);
    retryTokens = std::min(retryTokens + kRetryShare, kRetryBurst);
    if (c.set.idempotency == Idempotency::idempotent) repeatableAt = now;
    arrivals += 1;
    if (firstCame == Time{}) firstCame = now;
    r.worth = worthOf(r, q.tenantIndex);
    r.score = scoreOf(r.worth);
    if (!looks()) smoothHeld += (heldNow() - smoothHeld) * kHeldGain;
    renewCut();
    if (r.score < cut) return r.earlier ? finish(r) : refuse(r);
    if (!r.coming) guards.push({r.deadline - set.eventInterval, r.id});
    if (!route(r)) finish(r);
  }

  // By when it is wanted.
  void expect(Open& r, ClassState& c, const Request& q) {
    // Clients give single tries the same time, and a later one what is left of their total wait. A try whose
    // time is not the usual one (a running median) tells how much was spent before; that no longer earns.
    if (c.usualLeft == Duration{}) c.usualLeft = q.timeLeft;
    const Duration apart = scaled(c.set.clientTimeout, kLeftApart);
    const bool usual = q.timeLeft > c.usualLeft - apart && q.timeLeft < c.usualLeft + apart;
    Duration spent = usual ? Duration{} : std::max(c.set.clientTimeout - q.timeLeft, Duration{});
    // Danger: clients may turn impatient, many at once; taken for late tries, each would be refused on sight.
    // A late try follows one that went unserved for long: they can't be a large part of what comes.
    const bool late = spent > scaled(c.set.latencyObjective, kLateOfAim);
    c.lateSeen += kNormGain * ((late ? 1.0 : 0.0) - c.lateSeen);
    if (late && c.lateSeen > kLateMost) spent = {};
    c.usualLeft += q.timeLeft < c.usualLeft ? -apart / 8 : apart / 8;
    r.aimAt = now - spent + c.set.latencyObjective + scaled(q.expectedWork, c.set.objectiveStretch);
    // Where late answers still earn, the time that counts reaches past the aim by that share.
    const Duration lateEarns = scaled(std::min(c.usualLeft - c.set.latencyObjective, c.set.latencyObjective),
                                      c.set.lateValueFraction);
    meanAim += kNormGain * (toSeconds(c.set.latencyObjective + lateEarns) - meanAim);
    if (c.norm > 0) meanWork += (meanWork > 0 ? kNormGain : 1.0) * (c.norm * r.cost - meanWork);
  }

  void onResult(const AttemptResult& a) {
    Open* found = find(a.request);
    if (!found || a.attempt >= found->count || !found->tries[a.attempt].out) return;
    Open& r = *found;
    Try& t = r.tries[a.attempt];
    t.out = false;
    --r.out;
    letGo(t);
    endStream(t);
    if (!mayHaveRun(a.outcome)) t.mayHaveRun = false;
    judge(t, r, a);
    if (a.requestEnded && !r.ended) {
      r.ended = true;
      cancelOut(r);
    }
    if (r.ended) return release(r);
    if (r.bound || r.out > 0 || r.looking > 0) return;
    if (a.outcome == Outcome::invalidRequest) {  // again it would meet the same: no refusal
      emit(ActionKind::fail, r.id);
      return end(r);
    }
    // Danger: where much is turned away resends run out, and the worthiest would be refused like any other.
    // Not where gateways are few: each sees so much that what may be saved up lasts for a tenth of a second.
    const double most = levels.empty() ? r.worth : std::max(levels.back().worth, r.worth);
    const double spared = 1 + (many() && most > 0 ? kRetryReserve * (1 - r.worth / most) : 0);
    const bool again = lastUse(r) > now && retryTokens >= spared && a.outcome != Outcome::notSent;
    if (again && route(r)) retryTokens -= 1;
    else finish(r);
  }

  // Danger: a body that comes slowly would look like a host that is slow or silent, and like load.
  Duration onArrived(RequestId id) {
    Open* r = find(id);
    if (!r || !std::exchange(r->coming, false) || r->ended || r->out == 0) return {};
    r->aimAt += now - r->came;
    r->deadline += now - r->came;
    guards.push({r->deadline - set.eventInterval, id});
    Try& t = r->tries[r->count - 1];
    t.at = now;
    hold(*r, t);
    return patience(*r);
  }

  // Danger: answers that dribble, behind slow lines or long ones, would fill the pool's measure with what no
  // host works at, and cut off requests that idle hosts could do.
  void onHead(RequestId id, std::uint32_t attempt) {
    Open* r = find(id);
    if (!r || attempt >= r->count || !r->tries[attempt].out) return;
    letGo(r->tries[attempt]);
    hosts[r->tries[attempt].host].heard = now;
  }

  void onAnswerStarted(RequestId id, std::uint32_t attempt) {
    Open* r = find(id);
    if (!r || r->ended || attempt >= r->count) return;
    r->bound = true;
    cancelOut(*r, attempt);
    if (r->stream) onHead(id, attempt);
  }

  void onClientGone(RequestId id) {
    Open* r = find(id);
    if (r && !r->ended) end(*r);
  }

  // --- Discovery --------------------------------------------------------------------------------------

  void onHosts(HostListUpdate kind, const std::vector<HostEntry>& entries) {
    if (kind == HostListUpdate::unavailable) {
      asking = false;
      Duration wait = std::min(kAskFirst * (1 << askFailures), kAskMost);
      askFailures = now < hurryUntil ? 0 : std::min(askFailures + 1, 4);
      if (now < hurryUntil) wait = (hurryUntil - now) / 32;
      if (set.maxDiscoverySilence > Duration{}) wait = std::min(wait, set.maxDiscoverySilence / 3);
      askAgain = now + std::max(scaled(wait, drawUnit()), kAskLeast);
      return;
    }
    if (kind == HostListUpdate::moved) {
      hurryUntil = now + kMoveHurry, askedAt = now, asking = true, answered = false;
      return;
    }
    if (kind == HostListUpdate::restored) askAgain = now;  // it may be stale: ask at once
    else askFailures = 0, answered = true, hurryUntil = {};
    if (kind != HostListUpdate::incremental)
      for (Host& h : hosts) h.entry.phase = HostPhase::removed;  // what a whole list leaves out is gone
    for (const HostEntry& e : entries) {
      auto [it, fresh] = hostIds.emplace(e.address, kNone);
      if (fresh) {
        if (hosts.full()) {
          hostIds.erase(it);
          continue;
        }
        it->second = hosts.add();
        hosts[it->second].hash = hashText(e.address);
        byHash.emplace(hosts[it->second].hash32(), it->second);
      }
      Host& h = hosts[it->second];
      const bool restarted = fresh || e.startedAt != h.entry.startedAt;
      h.entry = e;
      h.local = e.zone == set.zone;
      h.kind = 0;
      while (h.kind < kinds.size() && kinds[h.kind].name != e.machineType) ++h.kind;
      if (h.kind == kinds.size()) kinds.push_back({e.machineType, 0, 1});
      if (restarted) {  // a new process: what was learned of the old one is void
        h.health = Health::good;
        h.ejections = h.fulls = 0;
        h.fails = h.rate = 0;
        h.silent = false;
        h.told.clear();
        h.pace = kinds[h.kind].pace / std::sqrt(warmth(h));
        h.coldTokens = 1;
        h.coldAt = now;
        h.reported = {};
      }
    }
    listed.clear();
    gone.clear();
    for (const Host& h : hosts) {
      if (h.id == kNone) continue;
      if (h.entry.phase == HostPhase::active) listed.push_back(h.id);
      if (h.entry.phase == HostPhase::removed) gone.push_back(h.id);
    }
    forget();
    std::unordered_map<std::string, double> inZone;
    for (HostId id : listed) inZone[hosts[id].entry.zone] += 1;
    for (HostId id : listed) {  // groups by powers of two, so that views a few hosts apart agree on them
      const double parts = std::exp2(std::round(std::log2(inZone[hosts[id].entry.zone] / kGroupHosts)));
      hosts[id].group = mix(hashText(hosts[id].entry.zone) +
                            hosts[id].hash % static_cast<std::uint64_t>(std::max(parts, 1.0)));
    }
    std::sort(listed.begin(), listed.end(),
              [&](HostId a, HostId b) { return hosts[a].entry.address < hosts[b].entry.address; });
    arrange();
  }

  void ask() {
    // Danger: a call whose answer is lost would leave the gateway silent towards discovery for good.
    const bool lost =
        !answered && set.maxDiscoverySilence > Duration{} && now - askedAt > set.maxDiscoverySilence / 2;
    if (!set.pollsDiscovery || (asking && !lost) || now < askAgain) return;
    emit(ActionKind::pollDiscovery);
    asking = true;  // until it fails
    answered = false;
    askedAt = now;
  }

  // --- Timers -----------------------------------------------------------------------------------------

  void onWake() {
    while (!guards.empty() && guards.top().at <= now) {
      const Guard g = guards.top();
      guards.pop();
      Open* r = find(g.id);
      // Danger: an outcome that never comes would leave the client without an answer.
      if (!r || r->ended || r->bound) continue;
      if (now >= r->deadline - set.eventInterval) {
        finish(*r);
      } else if (r->looking > 0) {
        if (!set.probingEnabled && hosts.known(r->best)) deaf[hosts[r->best].group] = now + kDeafFor;
        decide(*r);
      }
    }
    if (now >= nextSweep) {
      sweep = scaled(kSweep, std::max(1.0, static_cast<double>(listed.size()) / kSweepHosts));
      nextSweep = now + sweep;
      forget();
      sweepHosts();
      sweepKinds();
      sweepPool();
    }
  }

  void arm() {
    for (; !guards.empty(); guards.pop()) {
      const Open* r = find(guards.top().id);
      if (r && !r->ended) break;
    }
    Time want = guards.empty() ? nextSweep : std::min(nextSweep, guards.top().at);
    want = std::max(want, now + Duration(1));
    if (armed > now && armed <= want) return;
    armed = want;
    emit(ActionKind::setTimer, 0, 0, kNone, want);
  }

  template <class Event>
  void at(Time t, Event event) {
    now = std::max(now, t);  // danger: a clock that goes back would make ages negative
    event(*this);
    ask();
    arm();
  }
};

LoadBalancer::LoadBalancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::onHostListUpdate(Time now, HostListUpdate kind, const std::vector<HostEntry>& entries) {
  impl_->at(now, [&](Impl& i) { i.onHosts(kind, entries); });
}
void LoadBalancer::onDynamicSettings(Time now, const DynamicSettings& terms) {
  impl_->at(now, [&](Impl& i) { applyDynamicSettings(i, terms); });
}
void LoadBalancer::onRequest(Time now, const Request& request) {
  impl_->at(now, [&](Impl& i) { i.onRequest(request); });
}
Duration LoadBalancer::onRequestBodyComplete(Time now, RequestId request) {
  Duration span{};
  impl_->at(now, [&](Impl& i) { span = i.onArrived(request); });
  return span;
}
void LoadBalancer::onResponseHeaders(Time now, RequestId request, std::uint32_t attempt) {
  impl_->at(now, [&](Impl& i) { i.onHead(request, attempt); });
}
void LoadBalancer::onResponseStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->at(now, [&](Impl& i) { i.onAnswerStarted(request, attempt); });
}
void LoadBalancer::onAttemptResult(Time now, const AttemptResult& result) {
  impl_->at(now, [&](Impl& i) { i.onResult(result); });
}
void LoadBalancer::onClientDisconnected(Time now, RequestId request) {
  impl_->at(now, [&](Impl& i) { i.onClientGone(request); });
}
void LoadBalancer::onTimer(Time now) {
  impl_->at(now, [&](Impl& i) { i.onWake(); });
}
void LoadBalancer::onProbeResult(Time now, const ProbeResult& result) {
  impl_->at(now, [&](Impl& i) { i.onProbe(result); });
}
void LoadBalancer::onPeerMessage(Time now, std::uint32_t from, std::string_view bytes) {
  impl_->at(now, [&](Impl& i) { i.onPeer(from, bytes); });
}
LearnedState LoadBalancer::learnedState() const { return captureLearnedState(*impl_); }
void LoadBalancer::restoreLearnedState(Time now, const LearnedState& learned) {
  impl_->at(now, [&](Impl& i) { load_balancing::restoreLearnedState(i, learned); });
}
std::vector<Action>& LoadBalancer::actions() { return impl_->out; }
HostId LoadBalancer::findHost(std::string_view address) const {
  const auto it = impl_->hostIds.find(std::string(address));
  return it == impl_->hostIds.end() ? kNone : it->second;
}
bool LoadBalancer::isKnown(HostId host) const { return impl_->hosts.known(host); }
bool LoadBalancer::isAvoided(HostId host) const {
  return isKnown(host) && (Impl::sick(impl_->hosts[host]) || impl_->now < impl_->hosts[host].restUntil);
}
const std::string& LoadBalancer::hostAddress(HostId host) const {
  if (!isKnown(host)) throw std::out_of_range("load balancer: unknown host");
  return impl_->hosts[host].entry.address;
}
double LoadBalancer::admissionCutoff() const { return impl_->cut; }
std::size_t LoadBalancer::openRequests() const { return impl_->requests.size(); }
std::size_t LoadBalancer::streamCount(HostId host) const {
  return isKnown(host) ? impl_->hosts[host].streams : 0;
}
std::size_t LoadBalancer::streamCount() const { return impl_->streams; }

}  // namespace finchstile::load_balancing
