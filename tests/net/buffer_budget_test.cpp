// The limit on the bytes that all clients hold together.
#include "net/buffer_budget.hpp"

#include "support/raw_transfer.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

TEST(BufferBudget, GivesEachClientItsShareAndThenThePool) {
  BufferBudget budget(4000, 4, 100);
  EXPECT_EQ(budget.share(), 500u);
  BufferAccount large(budget), small(budget);
  EXPECT_TRUE(large.tryReserve(2500));  // 2000 of them from the pool
  EXPECT_FALSE(large.tryReserve(2501));
  EXPECT_TRUE(large.tryReserve(2500)) << "reserved already";
  EXPECT_TRUE(small.hasRoom(500));
  EXPECT_FALSE(small.hasRoom(501));
  EXPECT_FALSE(small.tryReserve(501));
  EXPECT_TRUE(small.tryReserve(500));
  EXPECT_EQ(budget.held(), 0u);
}

TEST(BufferBudget, KeepsReservedRoomWhileBytesArriveAndFreesItWhenTheyLeave) {
  BufferBudget budget(4000, 4, 100);
  BufferAccount first(budget), second(budget);
  ASSERT_TRUE(first.tryReserve(2500));
  first.set(1000);
  EXPECT_EQ(budget.held(), 1000u);
  EXPECT_FALSE(second.tryReserve(501));
  EXPECT_TRUE(first.hasRoom(1500));
  first.endReservation();
  EXPECT_TRUE(second.tryReserve(2000));
  EXPECT_FALSE(first.tryReserve(1));
  second.endReservation();
  first.set(0);
  EXPECT_EQ(budget.held(), 0u);
  EXPECT_TRUE(second.tryReserve(2500));
}

TEST(BufferBudget, CountsBytesThatExceedThePool) {
  BufferBudget budget(4000, 4, 100);
  BufferAccount first(budget), second(budget);
  first.set(9000);
  EXPECT_EQ(budget.held(), 9000u);
  EXPECT_FALSE(second.tryReserve(501));
  EXPECT_TRUE(second.tryReserve(500));
  first.set(2499);
  EXPECT_TRUE(second.tryReserve(501));
}

TEST(BufferBudget, RefusesNothingWithoutLimit) {
  BufferBudget budget(BufferBudget::kUnlimited, 4, 100);
  BufferAccount account(budget);
  EXPECT_TRUE(account.tryReserve(std::size_t{1} << 40));
  account.set(std::size_t{1} << 40);
  EXPECT_EQ(budget.held(), std::size_t{1} << 40);
}

// Clients that send large requests at once, with a memory limit that has room for a part of them.
struct BufferBudgetTest : BodiesTest {
  static constexpr std::size_t kMemoryMegabytes = 4;
  // A quarter of the memory limit is for clients, and half of that for what they hold beyond their shares.
  static constexpr std::size_t kPoolBytes = kMemoryMegabytes * 1'000'000 / 8;
  static constexpr std::size_t kBodyBytes = 60'000, kClients = 40;

  void startWithMemoryLimit() {
    host(serveOk);
    start([](json& config) { config["limits"]["memory_mb"] = kMemoryMegabytes; });
  }
  std::shared_ptr<RawClient> unfinishedBody(std::size_t missing) {
    const auto c = rawClient();
    c->read();
    c->send(head("POST", "/book", "Content-Length: " + std::to_string(kBodyBytes) + "\r\n") +
            std::string(kBodyBytes - missing, 'x'));
    clients.push_back(c);
    return c;
  }
  void runFor(milliseconds time) {
    io.restart();
    io.run_for(time);
  }
  std::size_t answered(const std::string& status) const {
    return static_cast<std::size_t>(std::count_if(clients.begin(), clients.end(), [&](const auto& c) {
      return c->receivedBytes.rfind("HTTP/1.1 " + status, 0) == 0;
    }));
  }
  std::vector<std::shared_ptr<RawClient>> clients;
};

// Guards against memory that grows with the number of clients that stop half way through their requests.
TEST_F(BufferBudgetTest, LimitsBytesOfUnfinishedRequestsAndServesOthers) {
  startWithMemoryLimit();
  for (std::size_t i = 0; i < kClients; ++i) unfinishedBody(1);
  std::size_t largest = 0;
  for (int i = 0; i < 50; ++i) {
    runFor(milliseconds(10));
    largest = std::max<std::size_t>(largest, gateway->metrics().clientBufferBytes);
  }
  EXPECT_LE(largest, kPoolBytes + kClients * kMaxReadBytes);
  EXPECT_GT(gateway->metrics().pausedReads, 0u);
  // Small requests fit into the share of their client and don't wait.
  const auto c = client();
  const auto sentAt = Steady::now();
  expectServed(*c, 5);
  EXPECT_LT(Steady::now() - sentAt, milliseconds(1000));
  EXPECT_EQ(answered("200"), 0u);
}

// Guards against clients that wait for each other: each holds a part of the room that the other needs.
// The load balancer may reject some of so many requests at once.
TEST_F(BufferBudgetTest, TakesCompleteRequestsInOneAfterTheOther) {
  startWithMemoryLimit();
  const auto sentAt = Steady::now();
  for (std::size_t i = 0; i < kClients; ++i) unfinishedBody(0);
  EXPECT_TRUE(until([&] { return answered("") == kClients; })) << answered("");
  EXPECT_LT(Steady::now() - sentAt, ClientConnectionOptions{}.requestTimeout);
  EXPECT_EQ(answered("200") + answered("503"), kClients);
  EXPECT_GT(answered("200"), 0u);
  EXPECT_GT(gateway->metrics().pausedReads, 0u);
  for (const auto& c : clients) c->socket.close();
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
  EXPECT_EQ(gateway->metrics().clientBufferBytes, 0u);
}

// Guards against clients that wait forever behind others which never finish: those are refused when their
// time for a request is over, and what has no room by then gets 503.
TEST_F(BufferBudgetTest, EndsWaitOfRequestsBehindUnfinishedOnes) {
  startWithMemoryLimit();
  for (std::size_t i = 0; i < kClients; ++i) unfinishedBody(1);
  EXPECT_TRUE(until([&] { return answered("408") + answered("503") == kClients; }));
  EXPECT_GT(answered("408"), 0u);
  EXPECT_GT(answered("503"), 0u);
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
  EXPECT_EQ(gateway->metrics().clientBufferBytes, 0u);
}

// Guards against room that is not given back by clients that leave while they wait for it.
TEST_F(BufferBudgetTest, FreesRoomOfClientsThatLeave) {
  startWithMemoryLimit();
  for (std::size_t i = 0; i < kClients; ++i) unfinishedBody(1);
  ASSERT_TRUE(until([&] { return gateway->metrics().pausedReads > 0; }));
  for (const auto& c : clients) {
    c->socket.set_option(asio::socket_base::linger(true, 0));
    c->socket.close();
  }
  clients.clear();
  unfinishedBody(0);
  EXPECT_TRUE(until([&] { return answered("200") == 1; }));
  EXPECT_TRUE(until([&] { return gateway->clientConnections() == 1; }));
}

}  // namespace
}  // namespace finchstile::testing
