// What is known of hosts, with gateways, stand-in hosts and discoveries on loopback: lists that lie, drains
// and silent workers that others have seen, a gateway that starts beside running ones.
#include "app/membership_service.hpp"

#include <cmath>
#include <numeric>

#include "support/process.hpp"
#include "support/sockets.hpp"

namespace finchstile::testing {
namespace {

using membership::MembershipSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One gateway with a discovery of its own, which holds each call until the test answers it.
struct Node {
  std::vector<std::shared_ptr<Peer>> calls;
  Server discovery;
  Clock clock;
  GatewayConfig config;
  Gateway gateway;
  std::unique_ptr<PeerLink> link;
  std::unique_ptr<MembershipService> members;

  Node(asio::io_context& io, const json& known, const std::function<void(json&)>& change)
      : discovery(io, [this](const auto& peer, const Received&) { calls.push_back(peer); }),
        config(read(known, change)),
        gateway(io, clock, config) {}
  GatewayConfig read(const json& known, const std::function<void(json&)>& change) {
    json all = configJson(discovery.endpoint(), known);
    change(all);
    return readConfig(all.dump(), clock);
  }
  void list(int index, bool whole, const json& hosts) {
    ASSERT_FALSE(calls.empty());
    const auto peer = calls.back();
    calls.clear();
    peer->reply(200, listJson(index, whole, hosts).dump());
  }
};

struct MembersTest : ::testing::Test {
  asio::io_context io;
  Folder folder;
  std::vector<std::unique_ptr<Server>> hosts;
  std::vector<std::unique_ptr<Node>> nodes;
  MembershipSettings settings;
  std::size_t gateways = 0;  // that there may be

  MembersTest() {
    settings.enabled = true;
    settings.gossip.enabled = true;
    settings.gossip.gossip.period = milliseconds(20);
    std::filesystem::permissions(folder.write("secret", "000102030405060708090a0b0c0d0e0f\n"),
                                 std::filesystem::perms::owner_read);
  }
  Server& host(Server::Handler h) { return *hosts.emplace_back(std::make_unique<Server>(io, std::move(h))); }
  json listed(const std::function<void(json&, std::size_t)>& change = {}) const {
    json list = json::array();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      json h = hostJson("s-" + std::to_string(i), hosts[i]->endpoint());
      if (change) change(h, i);
      list.push_back(h);
    }
    return list;
  }
  // The next gateway, with peers where the test said how many there may be.
  Node& node(
      const json& known, const std::function<void(json&)>& change = [](json&) {}) {
    const std::size_t number = nodes.size();
    nodes.push_back(std::make_unique<Node>(io, known, change));
    Node& n = *nodes.back();
    if (gateways > 0) {
      peer::PeerSettings p;
      for (std::size_t i = 0; i < gateways; ++i)  // nobody is there until it has started
        p.addresses.emplace_back(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(1 + i));
      p.own = static_cast<std::uint16_t>(number);
      p.listen = {asio::ip::make_address("127.0.0.1"), 0};
      p.secretFile = folder / "secret";
      n.link = std::make_unique<PeerLink>(io, n.clock, p);
      for (std::size_t i = 0; i < number; ++i) {
        if (!nodes[i]->link) continue;
        nodes[i]->link->channel().peerMoved(static_cast<peer::Number>(number), n.link->channel().endpoint());
        n.link->channel().peerMoved(static_cast<peer::Number>(i), nodes[i]->link->channel().endpoint());
      }
    }
    n.members = std::make_unique<MembershipService>(io, n.clock, settings, n.config, n.gateway, n.link.get());
    n.gateway.start();
    EXPECT_TRUE(until([&] { return !n.calls.empty(); }));
    return n;
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  void pass(Duration d) {
    const auto end = std::chrono::steady_clock::now() + d;
    until([&] { return std::chrono::steady_clock::now() >= end; });
  }
  bool drains(Node& n, const std::string& host) {
    return until(
        [&] { return n.members->text(host).value_or("").find("now=draining") != std::string::npos; });
  }
  // So many requests one after the other; the number that was served.
  std::size_t ask(Node& n, std::size_t times, int leftMs = 2500) {
    const auto c = Client::connect(io, n.gateway.endpoint());
    std::size_t served = 0;
    for (std::size_t i = 0; i < times; ++i) {
      const std::size_t before = c->answers.size();
      c->ask("GET", "/read", leftMs);
      if (!until([&] { return c->answers.size() > before || c->ended; }) || c->ended) break;
      served += c->answers.back().result_int() == 200;
    }
    return served;
  }
  std::vector<std::size_t> received() const {
    std::vector<std::size_t> all;
    for (const auto& h : hosts) all.push_back(h->received.size());
    return all;
  }
};

const auto ok = [](const std::shared_ptr<Peer>& peer, const Received&) { peer->reply(200, "ok"); };

// Hard case: an empty whole list while the hosts answer. Nobody is turned away for it, and discovery is asked
// again.
TEST_F(MembersTest, AnEmptyListLosesNoRequest) {
  for (int i = 0; i < 3; ++i) host(ok);
  Node& n = node(listed());
  EXPECT_EQ(ask(n, 10), 10u);
  n.list(2, true, json::array());
  ASSERT_TRUE(until([&] {  // the whole is asked for at once
    return n.members->lists().doubting() && n.discovery.received.back().target() == "/registry/instances";
  }));
  EXPECT_EQ(ask(n, 10), 10u);
  n.list(3, true, listed());
  ASSERT_TRUE(until([&] { return !n.members->lists().doubting(); }));
  EXPECT_EQ(ask(n, 10), 10u);
  EXPECT_EQ(n.members->lists().counts().withdrawn, 1u);
}

// And the rule on drains is kept: without a word against it the list holds within the grace.
TEST_F(MembersTest, AnEmptyListThatNobodySpeaksAgainstHolds) {
  for (int i = 0; i < 2; ++i) host(ok);
  Node& n = node(listed());
  EXPECT_EQ(ask(n, 4), 4u);
  const auto told = std::chrono::steady_clock::now();
  n.list(2, true, json::array());
  ASSERT_TRUE(until([&] { return n.members->lists().counts().lapsed == 1; }));
  EXPECT_LT(std::chrono::steady_clock::now() - told, seconds(5));  // 300 ms, and what a busy machine adds
  const auto before = received();
  EXPECT_EQ(ask(n, 4), 0u);
  EXPECT_EQ(received(), before);
}

TEST_F(MembersTest, AnOlderListPutsNoDrainedHostBack) {
  for (int i = 0; i < 2; ++i) host(ok);
  Node& n = node(listed());
  n.list(8, true, listed([](json& h, std::size_t i) {
           if (i == 0) h["status"] = "leaving";
         }));
  ASSERT_TRUE(until([&] { return !n.calls.empty(); }));
  n.list(7, true, listed());
  ASSERT_TRUE(until([&] { return n.members->lists().counts().older == 1; }));
  EXPECT_EQ(ask(n, 20), 20u);
  EXPECT_EQ(received()[0], 0u);
}

// A drain that another gateway's list has, while our own discovery says nothing; and our list, when it comes,
// holds against it.
TEST_F(MembersTest, ADrainIsHeardOfFromAnotherGateway) {
  gateways = 2;
  for (int i = 0; i < 2; ++i) host(ok);
  Node& a = node(listed());
  Node& b = node(listed());
  a.list(5, false, json::array({hostJson("s-0", hosts[0]->endpoint(), "leaving")}));
  ASSERT_TRUE(drains(b, "s-0"));
  EXPECT_EQ(b.members->gossip()->counts().claims, 1u);
  auto before = received();
  EXPECT_EQ(ask(b, 20), 20u);
  EXPECT_EQ(received()[0], before[0]);
  const std::string text = b.members->text("s-0").value_or("");
  EXPECT_NE(text.find("now=draining"), std::string::npos) << text;
  EXPECT_NE(text.find("list: in version 1"), std::string::npos) << text;
  EXPECT_NE(text.find("peer: draining version 5"), std::string::npos) << text;
  b.list(6, false, json::array({hostJson("s-0", hosts[0]->endpoint())}));
  ASSERT_TRUE(until([&] { return !b.calls.empty(); }));
  before = received();
  EXPECT_EQ(ask(b, 40), 40u);
  EXPECT_GT(received()[0], before[0]);
  EXPECT_FALSE(b.members->text("s-9"));
}

// A worker that says nothing: three gateways have met it, the fourth is told and never sends there.
TEST_F(MembersTest, ASilentWorkerIsKnownToAGatewayThatNeverMetIt) {
  gateways = 4;
  settings.gossip.gossip.holds = seconds(20);  // longer than any pause of a busy machine
  host([](const auto&, const Received&) {});
  host(ok);
  host(ok);
  const auto quick = [](json& c) {
    for (json& g : c["settings"]["grades"]) g["aimNs"] = 100'000'000, g["giveUpNs"] = 200'000'000;
  };
  for (int i = 0; i < 4; ++i) node(listed(), quick);
  for (int i = 0; i < 3; ++i)
    for (int tries = 0;
         tries < 60 && nodes[static_cast<std::size_t>(i)]->members->gossip()->counts().sent == 0; ++tries)
      ask(*nodes[static_cast<std::size_t>(i)], 1, 200);
  Node& fourth = *nodes[3];
  ASSERT_TRUE(drains(fourth, "s-0"));
  EXPECT_EQ(fourth.members->gossip()->heldSilent(), 1u);
  const auto before = received();
  EXPECT_EQ(ask(fourth, 30, 200), 30u);
  EXPECT_EQ(received()[0], before[0]);
  EXPECT_NE(fourth.members->text("s-0")->find("peers: silent"), std::string::npos);
}

// Hard case: datagrams that are forged say nothing, and are counted.
TEST_F(MembersTest, AGatewayWithAnotherSecretIsNotHeard) {
  gateways = 2;
  host(ok);
  host(ok);
  Node& a = node(listed());
  std::filesystem::permissions(folder / "secret", std::filesystem::perms::owner_all);
  folder.write("secret", "ffffffffffffffffffffffffffffffff\n");
  Node& b = node(listed());
  b.list(5, false, json::array({hostJson("s-0", hosts[0]->endpoint(), "leaving")}));
  const auto forged = [&] {
    return a.link->channel().counts().byVerdict[static_cast<std::size_t>(peer::Verdict::forged)];
  };
  ASSERT_TRUE(until([&] { return forged() > 0; }));
  EXPECT_EQ(a.members->gossip()->counts().received, 0u);
}

// --- Warm start

// How unevenly requests went: the largest share to the mean, of the hosts that may be used, and chi-squared.
struct Spread {
  double largest = 0, chi = 0;
};
Spread spreadOf(const std::vector<std::size_t>& counts) {
  const double mean = static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::size_t{0})) /
                      static_cast<double>(counts.size());
  Spread s;
  for (const std::size_t n : counts) {
    s.largest = std::max(s.largest, static_cast<double>(n) / mean);
    s.chi += (static_cast<double>(n) - mean) * (static_cast<double>(n) - mean) / mean;
  }
  return s;
}

struct WarmStartTest : MembersTest {
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  std::int64_t now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();

  // Six usual hosts; one that drains, as the old gateway's list has it and the new one's old list has not;
  // one that started two seconds ago and is cold for nine.
  WarmStartTest() {
    gateways = 3;
    settings.warmStart.enabled = true;
    settings.warmStart.start.full = seconds(1);
    for (int i = 0; i < 8; ++i) host(ok);
  }
  json known(bool drains) {
    return listed([&](json& h, std::size_t i) {
      if (i == 6 && drains) h["status"] = "leaving";
      if (i == 7) h["since_ms"] = now - 2000;
    });
  }
  // What went to each host of so many requests, from eight clients in closed loops.
  std::vector<std::size_t> load(Node& n, std::size_t requests) {
    const auto before = received();
    std::vector<std::shared_ptr<Client>> clients;
    std::vector<std::size_t> answered(8, 0);
    std::size_t sent = 0;
    for (int i = 0; i < 8; ++i) clients.push_back(Client::connect(io, n.gateway.endpoint()));
    for (const auto& c : clients) c->ask("GET", "/read", 2500), ++sent;
    EXPECT_TRUE(until([&] {
      for (std::size_t i = 0; i < clients.size(); ++i)
        if (clients[i]->answers.size() > answered[i]) {
          answered[i] = clients[i]->answers.size();
          if (sent < requests) clients[i]->ask("GET", "/read", 2500), ++sent;
        }
      return std::accumulate(answered.begin(), answered.end(), std::size_t{0}) == requests;
    }));
    for (const auto& c : clients)
      for (const auto& a : c->answers) EXPECT_EQ(a.result_int(), 200u);
    auto counts = received();
    for (std::size_t i = 0; i < counts.size(); ++i) counts[i] -= before[i];
    return counts;
  }
};

// The proof of the warm start: the new gateway's first 1,000 requests spread as evenly as the old one's, none
// to the worker that drains, and the cold one within what the old gateway gives it.
TEST_F(WarmStartTest, TheFirstThousandSpreadAsThoseOfAnOldGateway) {
  Node& old = node(known(false));
  old.list(5, true, known(true));
  ASSERT_TRUE(until([&] { return !old.calls.empty(); }));
  load(old, 1000);
  pass(milliseconds(1300));  // a gateway that has run for less than a second is not believed
  const auto usual = load(old, 1000);
  Node& fresh = node(known(false));
  ASSERT_TRUE(until([&] { return fresh.members->warmStart()->over(); }));
  ASSERT_TRUE(drains(fresh, "s-6"));
  const auto first = load(fresh, 1000);
  settings.warmStart.enabled = false;
  settings.gossip.enabled = false;
  Node& alone = node(known(false));
  const auto without = load(alone, 1000);

  const auto warmOf = [](const std::vector<std::size_t>& n) { return std::vector(n.begin(), n.begin() + 6); };
  const Spread o = spreadOf(warmOf(usual)), f = spreadOf(warmOf(first)), a = spreadOf(warmOf(without));
  std::printf(
      "largest/mean and chi-squared of six hosts: old %.2f %.0f, new %.2f %.0f, without a peer %.2f %.0f; to "
      "the "
      "draining one %zu %zu %zu, to the cold one %zu %zu %zu\n",
      o.largest, o.chi, f.largest, f.chi, a.largest, a.chi, usual[6], first[6], without[6], usual[7],
      first[7], without[7]);
  EXPECT_EQ(first[6], 0u);
  EXPECT_GT(without[6], 0u);  // what a peer's word is for
  EXPECT_LT(f.largest, std::max(1.5, 1.3 * o.largest));
  EXPECT_EQ(fresh.members->warmStart()->counts().complete, 1u);
}

// Hard case: the snapshot arrives after the list has drained a worker that it praises.
TEST_F(WarmStartTest, WhatOurListHasDrainedStaysDrained) {
  Node& old = node(known(false));
  load(old, 200);
  pass(milliseconds(1300));
  Node& fresh = node(known(true), [](json& c) { c["known"]["index"] = 9; });
  ASSERT_TRUE(until([&] { return fresh.members->warmStart()->over(); }));
  EXPECT_EQ(load(fresh, 300)[6], 0u);
}

// Hard case: the peer is itself freshly started; and all gateways restart at once.
TEST_F(WarmStartTest, YoungPeersAreNotGoneBy) {
  node(known(false));
  Node& second = node(known(false));
  ASSERT_TRUE(until([&] { return second.members->warmStart()->over(); }));
  EXPECT_GE(second.members->warmStart()->counts().young, 1u);
  const auto counts = load(second, 300);
  EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), std::size_t{0}), 300u);
}

// Serving never waits: with nobody there the first request is answered while the peers are still asked.
TEST_F(WarmStartTest, NobodyWaitsForPeersThatSayNothing) {
  settings.warmStart.start.patience = seconds(5);
  settings.warmStart.start.within = seconds(10);
  Node& n = node(known(false));
  EXPECT_EQ(ask(n, 5), 5u);
  EXPECT_FALSE(n.members->warmStart()->over());
}

}  // namespace
}  // namespace finchstile::testing
