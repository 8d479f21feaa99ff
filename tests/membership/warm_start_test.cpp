// What a gateway that starts is told by running ones: the form, the weights, and all that can go wrong on the
// way.
#include "membership/warm_start.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Snapshot::Self self(Duration age, double answers = 1000) {
  Snapshot::Self s;
  s.age = age;
  s.arrivalRate = 20;
  s.arrivalSweeps = 200;
  s.answers = answers;
  s.fastRate = 300;
  s.meanAim = 0.4;
  s.meanWork = 0.06;
  s.calmHeld = 2;
  s.servedShare = 0.98;
  return s;
}

ToldHost host(HostKey key, double pace = 1, Duration age = {}) {
  ToldHost h;
  h.host = key;
  h.age = age;
  h.pace = pace;
  h.fails = 0.1;
  h.rate = 40;
  return h;
}

Snapshot snapshot(Duration age, std::vector<ToldHost> hosts) {
  Snapshot s;
  s.self = self(age);
  s.classes = {{11, 0.06, 0.05, 0.01, milliseconds(900)}};
  s.kinds = {{21, 70, 1.2}};
  s.levels = {{1, 30}, {12, 5}};
  s.hosts = std::move(hosts);
  return s;
}

// The names of the one that asks: host k is "h<k>", all of them long up.
struct Asker {
  WarmStartSettings settings;
  Time now = seconds(100);
  std::unique_ptr<WarmStart> start;
  std::map<GatewayNumber, std::uint64_t> nonces;
  std::map<HostKey, Duration> young;  // hosts that have started lately
  std::set<HostKey> unlisted;

  explicit Asker(GatewayNumber gateways = 3, const std::function<void(WarmStartSettings&)>& change = {}) {
    settings.gateways = gateways;
    if (change) change(settings);
    start = std::make_unique<WarmStart>(settings, 5, now);
    collect();
  }
  void collect() {
    for (const auto& o : start->takeOutgoing()) nonces[o.to] = decodeAsk(o.payload).value();
  }
  void answer(GatewayNumber from, const Snapshot& s) {
    for (const std::string& c : encodeSnapshot(s, nonces.at(from))) start->receive(from, c, now);
  }
  void pass(Duration d) {
    for (const Time end = now + d; now < end;) {
      now = std::min(end, now + milliseconds(10));
      if (const auto at = start->wake(); at && *at <= now) start->tick(now);
      collect();
    }
  }
  std::optional<load_balancing::LearnedState> learned() const {
    Names n;
    n.classes = {{11, "log-in"}, {12, "other"}};
    n.kinds = {{21, "std"}};
    n.host = [&](HostKey k) -> std::optional<std::string> {
      if (unlisted.count(k)) return std::nullopt;
      return "h" + std::to_string(k);
    };
    n.up = [&](HostKey k, std::int64_t started) -> std::optional<Duration> {
      const auto it = young.find(k);
      const bool same = (it == young.end()) == (started == 0);
      if (!same || unlisted.count(k)) return std::nullopt;
      return it == young.end() ? Duration{} : it->second;
    };
    return start->learned(n, now);
  }
};

TEST(Snapshot, ComesThroughAsItWas) {
  Snapshot s = snapshot(minutes(3), {});
  for (HostKey k = 1; k <= 50; ++k) s.hosts.push_back(host(k, 0.5 + 0.01 * static_cast<double>(k)));
  s.hosts[49].phase = HostPhase::draining;
  s.hosts[48].ejectedFor = seconds(2);
  s.hosts[48].ejections = 3;
  s.hosts[47].started = 1'700'000'000'000;
  s.hosts[47].version = 77;
  const auto chunks = encodeSnapshot(s, 99);
  std::vector<ToldHost> hosts;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    ASSERT_LE(chunks[i].size(), kChunkMost);
    const auto c = decodeChunk(chunks[i]);
    ASSERT_TRUE(c);
    EXPECT_EQ(c->nonce, 99u);
    EXPECT_EQ(c->number, i);
    EXPECT_EQ(c->of, chunks.size());
    hosts.insert(hosts.end(), c->part.hosts.begin(), c->part.hosts.end());
    if (i == 0) {
      ASSERT_TRUE(c->part.self);
      EXPECT_EQ(c->part.self->age, Duration(minutes(3)));
      EXPECT_FLOAT_EQ(static_cast<float>(c->part.self->servedShare), 0.98f);
      EXPECT_EQ(c->part.classes.at(0).usualLeft, Duration(milliseconds(900)));
      EXPECT_EQ(c->part.levels.size(), 2u);
    }
  }
  ASSERT_EQ(hosts.size(), 50u);
  EXPECT_EQ(hosts[0].host, 49u);  // what has something against it comes first
  EXPECT_EQ(hosts[0].ejectedFor, Duration(seconds(2)));
  EXPECT_EQ(hosts[0].ejections, 3);
  EXPECT_EQ(hosts[1].host, 50u);
  EXPECT_EQ(hosts[1].phase, HostPhase::draining);
  const auto h48 = std::find_if(hosts.begin(), hosts.end(), [](const ToldHost& h) { return h.host == 48; });
  EXPECT_EQ(h48->started, 1'700'000'000'000);
  EXPECT_EQ(h48->version, 77u);
}

TEST(Snapshot, WhatIsCutOrMakesNoSenseIsNone) {
  const auto chunk = encodeSnapshot(snapshot(seconds(30), {host(1)}), 5).at(0);
  // Cut between two records it is whole as far as it goes; anywhere else it is none.
  std::size_t whole = 0;
  for (std::size_t n = 0; n < chunk.size(); ++n) whole += decodeChunk(chunk.substr(0, n)).has_value();
  EXPECT_EQ(whole, 5u);
  EXPECT_FALSE(decodeChunk(chunk + '\x09'));
  EXPECT_FALSE(decodeChunk(std::string(kChunkMost + 1, '\x03')));
  Snapshot mad = snapshot(seconds(30), {host(1)});
  mad.hosts[0].pace = std::nan("");
  EXPECT_FALSE(decodeChunk(encodeSnapshot(mad, 5).at(0)));
  mad.hosts[0].pace = -1;
  EXPECT_FALSE(decodeChunk(encodeSnapshot(mad, 5).at(0)));
  EXPECT_FALSE(decodeAsk("noise"));
  EXPECT_EQ(decodeAsk(encodeAsk(7)), 7u);
}

// Hard case: 10,000 workers.
TEST(Snapshot, TenThousandHosts) {
  Snapshot s = snapshot(minutes(3), {});
  for (HostKey k = 1; k <= 10'000; ++k) s.hosts.push_back(host(k, 1.5));
  Asker a;
  a.answer(1, s);
  a.answer(2, s);
  EXPECT_TRUE(a.start->over());
  const auto l = a.learned();
  ASSERT_TRUE(l);
  EXPECT_EQ(l->hosts.size(), 10'000u);
  EXPECT_NEAR(l->hosts[5000].relativeLatency, 1.5, 1e-3);
}

TEST(WarmStart, TakesWhatOnePeerKnows) {
  Asker a;
  a.answer(1, snapshot(minutes(3), {host(1, 2), host(2, 0.5)}));
  const auto l = a.learned();
  ASSERT_TRUE(l);
  EXPECT_EQ(l->age, Duration(minutes(3)));
  EXPECT_NEAR(l->inTimeRate, 300, 0.01);
  ASSERT_EQ(l->classes.size(), 1u);
  EXPECT_EQ(l->classes[0].name, "log-in");
  EXPECT_NEAR(l->classes[0].typicalLatency, 0.06, 1e-6);
  EXPECT_EQ(l->machineTypes.at(0).name, "std");
  EXPECT_EQ(l->priorityLevels.size(), 2u);
  ASSERT_EQ(l->hosts.size(), 2u);
  EXPECT_EQ(l->hosts[0].address, "h1");
  EXPECT_NEAR(l->hosts[0].relativeLatency, 2, 1e-3);
}

// Hard case: the peer is itself freshly started.
TEST(WarmStart, APeerThatHasJustStartedIsWorthLittle) {
  Asker a;
  a.answer(1, snapshot(milliseconds(500), {host(1, 5)}));
  a.answer(2, snapshot(milliseconds(900), {host(1, 5)}));
  EXPECT_TRUE(a.start->over());
  EXPECT_FALSE(a.learned());  // all gateways restart at once: nobody knows
  EXPECT_EQ(a.start->counts().young, 2u);
  Asker b;
  b.answer(1, snapshot(seconds(3), {host(1, 5)}));
  const auto part = b.learned();
  ASSERT_TRUE(part);
  EXPECT_GT(part->hosts.at(0).relativeLatency, 1.2);
  EXPECT_LT(part->hosts.at(0).relativeLatency, 3);  // drawn towards what is assumed of any host
  Asker c;
  c.answer(1, snapshot(seconds(2), {host(1, 5)}));
  c.answer(2, snapshot(minutes(5), {host(1, 1)}));
  EXPECT_LT(c.learned()->hosts.at(0).relativeLatency, 1.5);
}

// Two peers that disagree are both kept, with their ages; the younger fact weighs more.
TEST(WarmStart, PeersThatDisagreeAreBothKept) {
  Asker a;
  a.answer(1, snapshot(minutes(3), {host(1, 4, seconds(15))}));
  a.answer(2, snapshot(minutes(3), {host(1, 1, milliseconds(100))}));
  a.now += milliseconds(500);
  const auto said = a.start->said(1, a.now);
  ASSERT_EQ(said.size(), 2u);
  EXPECT_EQ(said[0].age, Duration(milliseconds(15'500)));
  EXPECT_EQ(said[1].age, Duration(milliseconds(600)));
  EXPECT_LT(said[0].weight, said[1].weight);
  const double pace = a.learned()->hosts.at(0).relativeLatency;
  EXPECT_GT(pace, 1);
  EXPECT_LT(pace, 1.4);
}

TEST(WarmStart, AnOldFactIsWorthNothing) {
  Asker a;
  a.answer(1, snapshot(minutes(3), {host(1, 4, seconds(30))}));
  EXPECT_EQ(a.learned()->hosts.at(0).relativeLatency, 1);
}

TEST(WarmStart, EjectedIsWhatMostOfTheWordSays) {
  ToldHost out = host(1);
  out.ejectedFor = seconds(3);
  out.ejections = 2;
  out.age = seconds(60);  // it answers nobody there
  Asker a;
  a.answer(1, snapshot(minutes(3), {out}));
  a.now += seconds(1);
  EXPECT_EQ(a.learned()->hosts.at(0).ejectedFor, Duration(seconds(2)));
  Asker b;
  b.answer(1, snapshot(minutes(3), {out}));
  b.answer(2, snapshot(minutes(3), {host(1)}));  // and answers here: nothing proven
  EXPECT_EQ(b.learned()->hosts.at(0).ejectedFor, Duration{});
  a.now += seconds(3);
  EXPECT_EQ(a.learned()->hosts.at(0).ejectedFor, Duration{});
}

// Hard case: a worker restarts between two facts.
TEST(WarmStart, OfAnotherProcessNothingIsTaken) {
  Asker a;
  a.young[1] = seconds(2);
  ToldHost now = host(2, 3), anew = host(3, 3);
  anew.started = 5;
  a.answer(1, snapshot(minutes(3), {host(1, 3), now, anew}));
  const auto l = a.learned();
  ASSERT_EQ(l->hosts.size(), 1u);
  EXPECT_EQ(l->hosts[0].address, "h2");
}

TEST(WarmStart, OnlyTheListNamesAHost) {
  Asker a;
  a.unlisted.insert(2);
  a.answer(1, snapshot(minutes(3), {host(1), host(2)}));
  EXPECT_EQ(a.learned()->hosts.size(), 1u);
}

// Hard case: datagrams lost, doubled, reordered, cut, forged.
TEST(WarmStart, WhatBecomesOfDatagramsSpoilsNothing) {
  Snapshot s = snapshot(minutes(3), {});
  for (HostKey k = 1; k <= 200; ++k) s.hosts.push_back(host(k, 2));
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 dice(seed);
    Asker a;
    auto chunks = encodeSnapshot(s, a.nonces.at(1));
    for (int i = 0; i < 20; ++i) chunks.push_back(chunks[dice() % chunks.size()]);
    std::shuffle(chunks.begin() + 1, chunks.end(), dice);
    std::set<HostKey> heard;
    for (std::size_t i = 0; i < chunks.size(); ++i) {
      if (i > 0 && dice() % 5 == 0) continue;
      std::string c = chunks[i];
      const unsigned what = i == 0 ? 9 : dice() % 10;
      if (what == 0) c.resize(dice() % c.size());
      if (what == 1) c[1 + dice() % 8] ^= 1;  // not what we asked
      const auto good = decodeChunk(c);
      const bool counts = good && good->nonce == a.nonces.at(1);
      a.start->receive(what == 2 ? 0 : 1, c, a.now);
      if (counts && what != 2)
        for (const ToldHost& h : good->part.hosts) heard.insert(h.host);
    }
    const auto l = a.learned();
    ASSERT_TRUE(l);
    // A chunk that was cut where a record ends counts as had: the rest of it is not heard of again.
    ASSERT_LE(l->hosts.size(), heard.size());
    ASSERT_GE(l->hosts.size() + 25, heard.size());
    for (const auto& h : l->hosts) ASSERT_NEAR(h.relativeLatency, 2, 1e-3);
  }
}

TEST(WarmStart, OneThatSaysNothingIsPassedOver) {
  Asker a(10);
  EXPECT_EQ(a.nonces.size(), 2u);
  const auto first = a.nonces;
  a.pass(milliseconds(150));
  EXPECT_EQ(a.nonces.size(), 4u);
  a.pass(milliseconds(150));
  EXPECT_EQ(a.nonces.size(), 4u);  // so many in all
  EXPECT_TRUE(a.start->over());
  EXPECT_FALSE(a.learned());
  EXPECT_FALSE(a.start->receive(first.begin()->first,
                                encodeSnapshot(snapshot(minutes(3), {host(1)}), first.begin()->second).at(0),
                                a.now));
}

TEST(WarmStart, ItEndsInTimeWhateverComes) {
  Asker a(10);
  Snapshot s = snapshot(minutes(3), {});
  for (HostKey k = 1; k <= 400; ++k) s.hosts.push_back(host(k));
  const GatewayNumber from = a.nonces.begin()->first;
  const auto chunks = encodeSnapshot(s, a.nonces.at(from));
  for (std::size_t i = 0; i < chunks.size() && !a.start->over(); ++i) {  // one each 50 ms: 5 s for all
    a.start->receive(from, chunks[i], a.now);
    a.pass(milliseconds(50));
  }
  EXPECT_TRUE(a.start->over());
  EXPECT_LE(a.now, Time(seconds(102) + milliseconds(50)));
  EXPECT_GT(a.learned()->hosts.size(), 100u);  // what has come stands
}

TEST(WarmStart, AloneThereIsNobodyToAsk) {
  Asker a(1);
  EXPECT_TRUE(a.start->over());
  EXPECT_FALSE(a.learned());
  EXPECT_FALSE(a.start->wake());
}

// Any order of the same chunks gives the same.
TEST(WarmStart, OrderDoesNotMatter) {
  Snapshot s1 = snapshot(minutes(3), {}), s2 = snapshot(seconds(5), {});
  for (HostKey k = 1; k <= 40; ++k) {
    s1.hosts.push_back(host(k, 1 + 0.1 * static_cast<double>(k), milliseconds(100) * k));
    s2.hosts.push_back(host(k, 3, milliseconds(50) * k));
  }
  std::string first;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 dice(seed);
    Asker a;
    std::vector<std::pair<GatewayNumber, std::string>> all;
    for (const auto& c : encodeSnapshot(s1, a.nonces.at(1))) all.emplace_back(1, c);
    for (const auto& c : encodeSnapshot(s2, a.nonces.at(2))) all.emplace_back(2, c);
    std::shuffle(all.begin(), all.end(), dice);
    for (const auto& [from, c] : all) a.start->receive(from, c, a.now);
    std::string text;
    const auto l = a.learned();
    for (const auto& h : l->hosts) text += h.address + " " + std::to_string(h.relativeLatency) + "\n";
    if (seed == 1) first = text;
    ASSERT_EQ(text, first);
  }
}

TEST(SnapshotServer, AnswersAtABoundedRateAndEachOnceInAWhile) {
  SnapshotServer::Settings settings;
  SnapshotServer server(settings);
  Snapshot s = snapshot(minutes(3), {});
  for (HostKey k = 1; k <= 500; ++k) s.hosts.push_back(host(k));
  int made = 0;
  const auto make = [&] { return ++made, s; };
  const Time now = seconds(100);
  EXPECT_FALSE(server.receive(1, "noise", now, make));
  for (GatewayNumber from = 1; from <= 6; ++from)
    EXPECT_TRUE(server.receive(from, encodeAsk(from), now, make));
  EXPECT_EQ(made, 4);  // so many at once
  EXPECT_TRUE(server.receive(1, encodeAsk(1), now + milliseconds(500), make));
  EXPECT_EQ(made, 4);
  EXPECT_EQ(server.refused(), 3u);
  std::map<GatewayNumber, std::size_t> sent;
  int ticks = 0;
  for (; server.busy(); ++ticks) {
    const auto out = server.tick();
    EXPECT_LE(out.size(), settings.perTick);
    for (const auto& o : out) ++sent[o.to];
  }
  EXPECT_EQ(sent.size(), 4u);
  for (const auto& [to, n] : sent) EXPECT_EQ(n, encodeSnapshot(s, 1).size());
  EXPECT_TRUE(server.receive(1, encodeAsk(1), now + seconds(2), make));
  EXPECT_EQ(made, 5);
}

}  // namespace
}  // namespace finchstile::membership
