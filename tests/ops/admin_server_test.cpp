// The administration interface over loopback sockets.
#include "ops/admin_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "support/run_until.hpp"

namespace finchstile::ops {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using testing::runUntil;

struct TestConnection : std::enable_shared_from_this<TestConnection> {
  explicit TestConnection(asio::io_context& io) : socket(io) {}
  static std::shared_ptr<TestConnection> connect(asio::io_context& io, const tcp::endpoint& to) {
    const auto connection = std::make_shared<TestConnection>(io);
    connection->socket.connect(to);
    connection->read();
    return connection;
  }
  void sendBytes(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  void read() {
    socket.async_read_some(asio::buffer(chunk),
                           [self = shared_from_this()](error_code error, std::size_t byteCount) {
                             self->received.append(self->chunk, byteCount);
                             if (error) self->ended = true;
                             else self->read();
                           });
  }
  tcp::socket socket;
  char chunk[1024];
  std::string received;
  bool ended = false;
};

struct AdminServerTest : ::testing::Test, AdminCallHandler {
  asio::io_context io;
  std::vector<std::string> calls;
  Reply reply{200, "done\n"};
  AdminServer server{
      io, {asio::ip::make_address("127.0.0.1"), 0}, *this, {4, std::chrono::milliseconds(300), 512}};

  Reply onCall(const AdminCall& call) override {
    calls.push_back(std::to_string(static_cast<int>(call.kind)) + call.host);
    return reply;
  }
  std::string exchangeBytes(const std::string& bytes) {
    const auto connection = TestConnection::connect(io, server.endpoint());
    connection->sendBytes(bytes);
    EXPECT_TRUE(runUntil(io, [&] { return connection->ended; }));
    return connection->received;
  }
};

TEST_F(AdminServerTest, RespondsToOneCallPerConnection) {
  const std::string response = exchangeBytes(
      "PUT /api/exclude/s-1 HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n"
      "PUT /api/exclude/s-2 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
  EXPECT_NE(response.find("\r\n\r\ndone\n"), std::string::npos);
  EXPECT_EQ(calls, std::vector<std::string>{"2s-1"});
  reply = {503, "not ready\n"};
  EXPECT_EQ(exchangeBytes("GET /api/ready HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(exchangeBytes("GET /api/evacuate HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 405");
  EXPECT_EQ(exchangeBytes("PUT /api/what HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 404");
  EXPECT_EQ(exchangeBytes("NOISE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(exchangeBytes("GET /" + std::string(2000, 'x') + " HTTP/1.1\r\n\r\n").substr(0, 12),
            "HTTP/1.1 400");
  EXPECT_EQ(calls.size(), 2u);
}

// Clients that are idle or send an incomplete call are disconnected in time and do not block others.
TEST_F(AdminServerTest, IdleClientsDoNotBlockOthers) {
  std::vector<std::shared_ptr<TestConnection>> idleConnections;
  for (int i = 0; i < 12; ++i) {
    idleConnections.push_back(TestConnection::connect(io, server.endpoint()));
    if (i % 2) idleConnections.back()->sendBytes("GET /api/rea");
  }
  ASSERT_TRUE(runUntil(io, [&] { return server.openConnections() == 4; }));
  EXPECT_EQ(exchangeBytes("GET /api/ready HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 200");
  EXPECT_LE(server.openConnections(), 4u);
  ASSERT_TRUE(runUntil(io, [&] { return server.openConnections() == 0; }));
  for (const auto& connection : idleConnections) ASSERT_TRUE(runUntil(io, [&] { return connection->ended; }));
  EXPECT_EQ(calls.size(), 1u);
}

}  // namespace
}  // namespace finchstile::ops
