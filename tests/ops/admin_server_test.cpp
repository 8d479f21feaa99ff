// The administration interface over loopback.
#include "ops/admin_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "support/run_until.hpp"

namespace finchstile::ops {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using testing::runUntil;

struct Caller : std::enable_shared_from_this<Caller> {
  explicit Caller(asio::io_context& io) : socket(io) {}
  static std::shared_ptr<Caller> connect(asio::io_context& io, const tcp::endpoint& to) {
    const auto c = std::make_shared<Caller>(io);
    c->socket.connect(to);
    c->read();
    return c;
  }
  void say(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code error, std::size_t n) {
      self->heard.append(self->piece, n);
      if (error) self->ended = true;
      else self->read();
    });
  }
  tcp::socket socket;
  char piece[1024];
  std::string heard;
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
  std::string ask(const std::string& bytes) {
    const auto c = Caller::connect(io, server.endpoint());
    c->say(bytes);
    EXPECT_TRUE(runUntil(io, [&] { return c->ended; }));
    return c->heard;
  }
};

TEST_F(AdminServerTest, AnswersOneCallPerConnection) {
  const std::string answer =
      ask("PUT /api/exclude/s-1 HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n"
          "PUT /api/exclude/s-2 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_NE(answer.find("\r\n\r\ndone\n"), std::string::npos);
  EXPECT_EQ(calls, std::vector<std::string>{"2s-1"});
  reply = {503, "not ready\n"};
  EXPECT_EQ(ask("GET /api/ready HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(ask("GET /api/evacuate HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 405");
  EXPECT_EQ(ask("PUT /api/what HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 404");
  EXPECT_EQ(ask("NOISE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(ask("GET /" + std::string(2000, 'x') + " HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(calls.size(), 2u);
}

// Clients that are silent or send half a call are disconnected in time and keep nobody out.
TEST_F(AdminServerTest, SilentClientsKeepNobodyOut) {
  std::vector<std::shared_ptr<Caller>> silent;
  for (int i = 0; i < 12; ++i) {
    silent.push_back(Caller::connect(io, server.endpoint()));
    if (i % 2) silent.back()->say("GET /api/rea");
  }
  ASSERT_TRUE(runUntil(io, [&] { return server.openConnections() == 4; }));
  EXPECT_EQ(ask("GET /api/ready HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 200");
  EXPECT_LE(server.openConnections(), 4u);
  ASSERT_TRUE(runUntil(io, [&] { return server.openConnections() == 0; }));
  for (const auto& c : silent) ASSERT_TRUE(runUntil(io, [&] { return c->ended; }));
  EXPECT_EQ(calls.size(), 1u);
}

}  // namespace
}  // namespace finchstile::ops
