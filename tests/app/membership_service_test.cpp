// The membership service with gateways, fake upstreams and discovery servers on loopback: faulty lists,
// drains and unresponsive hosts reported by other gateways, and warm start.
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

// A gateway with its own discovery server, which holds each poll until the test responds.
struct Node {
  std::vector<std::shared_ptr<Peer>> polls;
  Server discovery;
  Clock clock;
  GatewayConfig config;
  Gateway gateway;
  std::unique_ptr<PeerLink> link;
  std::unique_ptr<MembershipService> service;

  Node(asio::io_context& io, const json& known, const std::function<void(json&)>& change)
      : discovery(io, [this](const auto& peer, const Received&) { polls.push_back(peer); }),
        config(read(known, change)),
        gateway(io, clock, config) {}
  GatewayConfig read(const json& known, const std::function<void(json&)>& change) {
    json all = configJson(discovery.endpoint(), known);
    change(all);
    return readConfig(all.dump(), clock);
  }
  void list(int index, bool whole, const json& hosts) {
    ASSERT_FALSE(polls.empty());
    const auto peer = polls.back();
    polls.clear();
    peer->reply(200, listJson(index, whole, hosts).dump());
  }
};

struct MembershipServiceTest : ::testing::Test {
  asio::io_context io;
  TemporaryDirectory folder;
  std::vector<std::unique_ptr<Server>> hosts;
  std::vector<std::unique_ptr<Node>> nodes;
  MembershipSettings settings;
  std::size_t gateways = 0;  // in the [peers] table; 0: no table

  MembershipServiceTest() {
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
  // Starts the next gateway.
  Node& node(
      const json& known, const std::function<void(json&)>& change = [](json&) {}) {
    const std::size_t number = nodes.size();
    nodes.push_back(std::make_unique<Node>(io, known, change));
    Node& n = *nodes.back();
    if (gateways > 0) {
      peer::PeerSettings p;
      for (std::size_t i = 0; i < gateways; ++i)  // placeholder, replaced when that gateway has started
        p.endpoints.emplace_back(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(1 + i));
      p.ownNumber = static_cast<std::uint16_t>(number);
      p.listenEndpoint = {asio::ip::make_address("127.0.0.1"), 0};
      p.secretFile = folder / "secret";
      n.link = std::make_unique<PeerLink>(io, n.clock, p);
      for (std::size_t i = 0; i < number; ++i) {
        if (!nodes[i]->link) continue;
        nodes[i]->link->channel().setPeerEndpoint(static_cast<peer::GatewayNumber>(number),
                                                  n.link->channel().endpoint());
        n.link->channel().setPeerEndpoint(static_cast<peer::GatewayNumber>(i),
                                          nodes[i]->link->channel().endpoint());
      }
    }
    n.service = std::make_unique<MembershipService>(io, n.clock, settings, n.config, n.gateway, n.link.get());
    n.gateway.start();
    EXPECT_TRUE(until([&] { return !n.polls.empty(); }));
    return n;
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  void pass(Duration d) {
    const auto end = std::chrono::steady_clock::now() + d;
    until([&] { return std::chrono::steady_clock::now() >= end; });
  }
  bool drains(Node& n, const std::string& host) {
    return until([&] {
      return n.service->describeHosts(host).value_or("").find("now=draining") != std::string::npos;
    });
  }
  // Sends requests one after the other and returns how many were served.
  std::size_t sendRequest(Node& n, std::size_t times, int leftMs = 2500) {
    const auto c = Client::connect(io, n.gateway.endpoint());
    std::size_t served = 0;
    for (std::size_t i = 0; i < times; ++i) {
      const std::size_t before = c->answers.size();
      c->sendRequest("GET", "/read", leftMs);
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

// An empty complete list while the hosts respond: no request is rejected, and a complete list is requested.
TEST_F(MembershipServiceTest, EmptyListCausesNoRejectedRequest) {
  for (int i = 0; i < 3; ++i) host(ok);
  Node& n = node(listed());
  EXPECT_EQ(sendRequest(n, 10), 10u);
  n.list(2, true, json::array());
  ASSERT_TRUE(until([&] {  // a complete list is requested at once
    return n.service->listPolicy().isHolding() &&
           n.discovery.received.back().target() == "/registry/instances";
  }));
  EXPECT_EQ(sendRequest(n, 10), 10u);
  n.list(3, true, listed());
  ASSERT_TRUE(until([&] { return !n.service->listPolicy().isHolding(); }));
  EXPECT_EQ(sendRequest(n, 10), 10u);
  EXPECT_EQ(n.service->listPolicy().statistics().withdrawn, 1u);
}

// If no other list follows, the empty list becomes effective after the hold time.
TEST_F(MembershipServiceTest, UncontradictedEmptyListBecomesEffective) {
  for (int i = 0; i < 2; ++i) host(ok);
  Node& n = node(listed());
  EXPECT_EQ(sendRequest(n, 4), 4u);
  const auto sentAt = std::chrono::steady_clock::now();
  n.list(2, true, json::array());
  ASSERT_TRUE(until([&] { return n.service->listPolicy().statistics().expired == 1; }));
  EXPECT_LT(std::chrono::steady_clock::now() - sentAt, seconds(5));  // 300 ms, plus delays on a busy machine
  const auto before = received();
  EXPECT_EQ(sendRequest(n, 4), 0u);
  EXPECT_EQ(received(), before);
}

TEST_F(MembershipServiceTest, OlderListDoesNotReactivateADrainingHost) {
  for (int i = 0; i < 2; ++i) host(ok);
  Node& n = node(listed());
  n.list(8, true, listed([](json& h, std::size_t i) {
           if (i == 0) h["status"] = "leaving";
         }));
  ASSERT_TRUE(until([&] { return !n.polls.empty(); }));
  n.list(7, true, listed());
  ASSERT_TRUE(until([&] { return n.service->listPolicy().statistics().older == 1; }));
  EXPECT_EQ(sendRequest(n, 20), 20u);
  EXPECT_EQ(received()[0], 0u);
}

// Gateway a's list drains a host that gateway b's list does not; gossip passes the drain to b. A newer list
// of b overrides it.
TEST_F(MembershipServiceTest, AppliesDrainReportedByAnotherGateway) {
  gateways = 2;
  for (int i = 0; i < 2; ++i) host(ok);
  Node& a = node(listed());
  Node& b = node(listed());
  a.list(5, false, json::array({hostJson("s-0", hosts[0]->endpoint(), "leaving")}));
  ASSERT_TRUE(drains(b, "s-0"));
  EXPECT_EQ(b.service->gossip()->statistics().assertions, 1u);
  auto before = received();
  EXPECT_EQ(sendRequest(b, 20), 20u);
  EXPECT_EQ(received()[0], before[0]);
  const std::string text = b.service->describeHosts("s-0").value_or("");
  EXPECT_NE(text.find("now=draining"), std::string::npos) << text;
  EXPECT_NE(text.find("list: in version 1"), std::string::npos) << text;
  EXPECT_NE(text.find("peer: draining version 5"), std::string::npos) << text;
  b.list(6, false, json::array({hostJson("s-0", hosts[0]->endpoint())}));
  ASSERT_TRUE(until([&] { return !b.polls.empty(); }));
  before = received();
  EXPECT_EQ(sendRequest(b, 40), 40u);
  EXPECT_GT(received()[0], before[0]);
  EXPECT_FALSE(b.service->describeHosts("s-9"));
}

// Three gateways find a host unresponsive; the fourth learns of it by gossip and sends it no request.
TEST_F(MembershipServiceTest, AvoidsUnresponsiveHostReportedByOtherGateways) {
  gateways = 4;
  settings.gossip.gossip.observationLifetime = seconds(20);  // longer than any delay on a busy machine
  host([](const auto&, const Received&) {});
  host(ok);
  host(ok);
  const auto quick = [](json& c) {
    for (json& g : c["settings"]["grades"]) g["aimNs"] = 100'000'000, g["giveUpNs"] = 200'000'000;
  };
  for (int i = 0; i < 4; ++i) node(listed(), quick);
  for (int i = 0; i < 3; ++i)
    for (int tries = 0;
         tries < 60 && nodes[static_cast<std::size_t>(i)]->service->gossip()->statistics().sent == 0; ++tries)
      sendRequest(*nodes[static_cast<std::size_t>(i)], 1, 200);
  Node& fourth = *nodes[3];
  ASSERT_TRUE(drains(fourth, "s-0"));
  EXPECT_EQ(fourth.service->gossip()->unresponsiveHostCount(), 1u);
  const auto before = received();
  EXPECT_EQ(sendRequest(fourth, 30, 200), 30u);
  EXPECT_EQ(received()[0], before[0]);
  EXPECT_NE(fourth.service->describeHosts("s-0")->find("peers: silent"), std::string::npos);
}

// Datagrams with an invalid signature are counted and ignored.
TEST_F(MembershipServiceTest, IgnoresGatewayWithAnotherSecret) {
  gateways = 2;
  host(ok);
  host(ok);
  Node& a = node(listed());
  std::filesystem::permissions(folder / "secret", std::filesystem::perms::owner_all);
  folder.write("secret", "ffffffffffffffffffffffffffffffff\n");
  Node& b = node(listed());
  b.list(5, false, json::array({hostJson("s-0", hosts[0]->endpoint(), "leaving")}));
  const auto invalidSignatures = [&] {
    return a.link->channel()
        .statistics()
        .byResult[static_cast<std::size_t>(peer::DatagramResult::invalidSignature)];
  };
  ASSERT_TRUE(until([&] { return invalidSignatures() > 0; }));
  EXPECT_EQ(a.service->gossip()->statistics().received, 0u);
}

// --- Warm start

// The unevenness of a distribution of requests over hosts: largest count divided by the mean, and
// chi-squared.
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

struct WarmStartTest : MembershipServiceTest {
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  std::int64_t now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();

  // Hosts 0 to 5 are warm. Host 6 drains in the running gateway's list, but not in the new gateway's older
  // list. Host 7 started two seconds ago and warms up for nine more.
  WarmStartTest() {
    gateways = 3;
    settings.warmStart.enabled = true;
    settings.warmStart.start.fullTrustUptime = seconds(1);
    for (int i = 0; i < 8; ++i) host(ok);
  }
  json known(bool drains) {
    return listed([&](json& h, std::size_t i) {
      if (i == 6 && drains) h["status"] = "leaving";
      if (i == 7) h["since_ms"] = now - 2000;
    });
  }
  // Sends requests from eight clients in closed loops and returns the number that each host received.
  std::vector<std::size_t> load(Node& n, std::size_t requests) {
    const auto before = received();
    std::vector<std::shared_ptr<Client>> clients;
    std::vector<std::size_t> answered(8, 0);
    std::size_t sent = 0;
    for (int i = 0; i < 8; ++i) clients.push_back(Client::connect(io, n.gateway.endpoint()));
    for (const auto& c : clients) c->sendRequest("GET", "/read", 2500), ++sent;
    EXPECT_TRUE(until([&] {
      for (std::size_t i = 0; i < clients.size(); ++i)
        if (clients[i]->answers.size() > answered[i]) {
          answered[i] = clients[i]->answers.size();
          if (sent < requests) clients[i]->sendRequest("GET", "/read", 2500), ++sent;
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

// The new gateway's first 1,000 requests are spread as evenly as those of the running one, none to the
// draining host.
TEST_F(WarmStartTest, DistributesFirstRequestsAsEvenlyAsARunningGateway) {
  Node& old = node(known(false));
  old.list(5, true, known(true));
  ASSERT_TRUE(until([&] { return !old.polls.empty(); }));
  load(old, 1000);
  pass(milliseconds(1300));  // snapshots of gateways with an uptime below a second have no weight
  const auto usual = load(old, 1000);
  Node& fresh = node(known(false));
  ASSERT_TRUE(until([&] { return fresh.service->warmStart()->isFinished(); }));
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
  EXPECT_GT(without[6], 0u);  // without peers the draining host receives requests
  EXPECT_LT(f.largest, std::max(1.5, 1.3 * o.largest));
  EXPECT_EQ(fresh.service->warmStart()->statistics().complete, 1u);
}

// Guards against a second start from peers, and against a list that is not checked, when the process before
// this one hands over its list.
TEST_F(WarmStartTest, ChecksListOfThePredecessorAsOneOfDiscovery) {
  Node& old = node(known(false));
  load(old, 200);
  pass(milliseconds(1300));
  Node& fresh = node(known(false));
  ASSERT_TRUE(until([&] { return fresh.service->warmStart()->isFinished(); }));
  HostList list = fresh.gateway.endpointList();
  ASSERT_EQ(list.hosts.size(), 8u);
  const std::size_t accepted = fresh.service->listPolicy().statistics().accepted;
  list.version += 5;
  list.hosts.pop_back();
  fresh.gateway.restoreEndpointList(std::move(list));
  EXPECT_TRUE(fresh.service->warmStart()->isFinished());
  EXPECT_EQ(fresh.service->listPolicy().statistics().accepted, accepted + 1);
  EXPECT_EQ(fresh.gateway.endpointList().hosts.size(), 7u);
}

// The peer's snapshot lists the host as active.
TEST_F(WarmStartTest, HostDrainedByOwnListStaysDraining) {
  Node& old = node(known(false));
  load(old, 200);
  pass(milliseconds(1300));
  Node& fresh = node(known(true), [](json& c) { c["known"]["index"] = 9; });
  ASSERT_TRUE(until([&] { return fresh.service->warmStart()->isFinished(); }));
  EXPECT_EQ(load(fresh, 300)[6], 0u);
}

TEST_F(WarmStartTest, IgnoresYoungPeers) {
  node(known(false));
  Node& second = node(known(false));
  ASSERT_TRUE(until([&] { return second.service->warmStart()->isFinished(); }));
  EXPECT_GE(second.service->warmStart()->statistics().tooYoung, 1u);
  const auto counts = load(second, 300);
  EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), std::size_t{0}), 300u);
}

// Requests are served before the peers have responded.
TEST_F(WarmStartTest, ServesWithoutWaitingForPeers) {
  settings.warmStart.start.peerTimeout = seconds(5);
  settings.warmStart.start.deadline = seconds(10);
  Node& n = node(known(false));
  EXPECT_EQ(sendRequest(n, 5), 5u);
  EXPECT_FALSE(n.service->warmStart()->isFinished());
}

}  // namespace
}  // namespace finchstile::testing
