// RequestFilterChain in a gateway, over loopback sockets.
#include "net/request_filter.hpp"

#include "support/sockets.hpp"

namespace finchstile::testing {
namespace {

class Recorder : public RequestFilter {
 public:
  Recorder(std::string name, std::vector<std::string>& log) : name_(std::move(name)), log_(log) {}
  std::uint8_t phases() const override { return 0x7f; }
  FilterDecision onRequestReceived(RequestContext& x) override {
    say("arrived " + std::string(x.className));
    if (reject) {
      Response a;
      a.status = http::status::unprocessable_entity;
      return {std::move(a), false};
    }
    return {};
  }
  void onRequestAdmitted(RequestContext&) override { say("admitted"); }
  void onAttemptSending(RequestContext& x, UpstreamRequest& to) override {
    say(std::string("sent ") + (x.mayHaveRun ? "may have run" : "not run"));
    to.set("X-" + name_, std::to_string(x.attemptCount));
  }
  void onAttemptEnded(RequestContext&, bool may) override {
    say(may ? "settled, may have run" : "settled, never ran");
  }
  void onResponseHeaders(RequestContext&, const ResponseHead& h, std::vector<HeaderLine>& to) override {
    say("head " + std::to_string(h.status) + (h.fromUpstream ? " of a host" : " of the gateway"));
    to.push_back({"X-By-" + name_, "yes"});
  }
  void onResponseSent(RequestContext&) override { say("done"); }
  void onRequestCompleted(RequestContext& x, RequestResult end) override {
    say("ended " + std::to_string(static_cast<int>(end)) + (x.mayHaveRun ? " may have run" : ""));
  }
  bool reject = false;

 private:
  void say(const std::string& what) { log_.push_back(name_ + " " + what); }
  std::string name_;
  std::vector<std::string>& log_;
};

struct RequestFilterTest : ::testing::Test {
  asio::io_context io;
  Clock clock;
  std::vector<std::string> log;
  Recorder a{"a", log}, b{"b", log};
  Server discovery{io, [](const auto&, const Received&) {}};
  Server host{io, [](const auto& peer, const Received&) { peer->reply(200, "ok", "X-Host: h\r\n"); }};
  std::unique_ptr<Gateway> gateway;

  void start(int sockets = 256) {
    json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
    config["limits"]["sockets"] = sockets;
    gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    gateway->attach(a);
    gateway->attach(b);
    gateway->start();
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->endpoint()); }
};

TEST_F(RequestFilterTest, CallsPhasesAndFiltersInOrder) {
  start();
  const auto c = client();
  c->sendRequest("GET", "/read/1", 2500);
  ASSERT_TRUE(runUntil(io, [&] { return c->answers.size() == 1; }));
  EXPECT_EQ(log, (std::vector<std::string>{"a arrived read", "b arrived read", "a admitted", "b admitted",
                                           "a sent may have run", "b sent may have run",
                                           "a settled, may have run", "b settled, may have run",
                                           "a head 200 of a host", "b head 200 of a host", "a done", "b done",
                                           "a ended 0 may have run", "b ended 0 may have run"}));
  EXPECT_EQ(host.received.at(0)["X-a"], "1");
  EXPECT_EQ(host.received.at(0)["X-b"], "1");
  EXPECT_EQ(c->answers[0]["X-By-a"], "yes");
}

TEST_F(RequestFilterTest, SendsRejectedRequestNeitherToLoadBalancerNorToHost) {
  start();
  a.reject = true;
  const auto c = client();
  c->sendRequest("GET", "/read/1", 2500);
  ASSERT_TRUE(runUntil(io, [&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 422u);
  EXPECT_EQ(c->answers[0]["X-By-b"], "yes");
  EXPECT_EQ(log, (std::vector<std::string>{"a arrived read", "a head 422 of the gateway",
                                           "b head 422 of the gateway", "a done", "b done", "a ended 3",
                                           "b ended 3"}));
  EXPECT_EQ(gateway->openRequests(), 0u);
  EXPECT_TRUE(host.received.empty());
  a.reject = false;  // its id is free again, and so is its connection
  c->write("GET /read/1 HTTP/1.1\r\nX-Correlation-Id: " + c->id + "\r\nX-Time-Left-Ms: 2000\r\n\r\n");
  ASSERT_TRUE(runUntil(io, [&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 200u);
}

TEST_F(RequestFilterTest, CompletesRequestThatHostsRejectedAsNotRun) {
  host.handler = [](const auto& peer, const Received&) { peer->reply(503, "", "X-Unprocessed: 1\r\n"); };
  start();
  const auto c = client();
  c->sendRequest("POST", "/book/1", 400, "x");
  ASSERT_TRUE(runUntil(io, [&] { return c->answers.size() == 1; }));
  EXPECT_EQ(log.back(), "b ended 1");  // refused, and nothing may have run
}

TEST_F(RequestFilterTest, CompletesRequestOnceWhenClientDisconnects) {
  host.handler = [](const auto&, const Received&) {};
  start();
  auto c = client();
  c->sendRequest("GET", "/read/1", 2500);
  ASSERT_TRUE(runUntil(io, [&] { return host.received.size() == 1; }));
  c->close();
  ASSERT_TRUE(runUntil(io, [&] { return gateway->openRequests() == 0; }));
  EXPECT_EQ(std::count(log.begin(), log.end(), "a ended 4 may have run"), 1);
  EXPECT_EQ(std::count(log.begin(), log.end(), "a done"), 0);
}

}  // namespace
}  // namespace finchstile::testing
