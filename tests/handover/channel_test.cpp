// The channel between two processes of one gateway, and the listener that waits for it.
#include "handover/channel.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <cstring>

#include "handover/listener.hpp"
#include "support/process.hpp"
#include "support/run_until.hpp"

namespace finchstile::handover {
namespace {

using testing::runUntil;
using testing::TemporaryDirectory;

HandoverListenerError::Code errorOf(const std::string& path) {
  boost::asio::io_context io;
  try {
    const HandoverListener listener(io, path, {});
  } catch (const HandoverListenerError& error) {
    EXPECT_EQ(std::string(error.what()).substr(0, path.size() + 2), path + ": ");
    return error.code();
  }
  throw std::logic_error(path + " can be listened at");
}

struct ChannelTest : ::testing::Test {
  boost::asio::io_context io;
  TemporaryDirectory folder;
  std::shared_ptr<Channel> one, two;
  std::vector<MessageKind> heard;
  std::vector<std::unique_ptr<Descriptor>> clients;
  int ends = 0, raw = -1;

  void listen(const std::shared_ptr<Channel>& c) {
    c->onMessage = [this](const Message& m, std::unique_ptr<Descriptor> fd) {
      heard.push_back(m.kind);
      if (fd) clients.push_back(std::move(fd));
    };
    c->onClosed = [this] { ++ends; };
    c->start();
  }
  void pair() {
    int fds[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, fds), 0);
    one = std::make_shared<Channel>(io, fds[0]);
    two = std::make_shared<Channel>(io, fds[1]);
    listen(two);
  }
  void rawPair() {  // the test writes raw bytes at the other end
    int fds[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, fds), 0);
    raw = fds[0];
    two = std::make_shared<Channel>(io, fds[1]);
    listen(two);
  }
  ~ChannelTest() override {
    if (raw >= 0) ::close(raw);
  }
  static std::size_t openDescriptors() {
    std::size_t n = 0;
    for (int fd = 0; fd < 256; ++fd) n += ::fcntl(fd, F_GETFD) >= 0;
    return n;
  }
};

TEST_F(ChannelTest, HandedOverConnectionContinuesAtPeer) {
  pair();
  int ends_[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_), 0);
  ASSERT_EQ(::write(ends_[0], "before", 6), 6);  // unread at the handover
  ASSERT_EQ(one->send({MessageKind::connection, {}}, ends_[1]), Channel::SendResult::sent);
  ::close(ends_[1]);
  ASSERT_EQ(one->send({MessageKind::finished, {}}), Channel::SendResult::sent);
  ASSERT_TRUE(runUntil(io, [&] { return heard.size() == 2; }));
  ASSERT_EQ(clients.size(), 1u);
  char bytes[16];
  ASSERT_EQ(::read(clients[0]->get(), bytes, sizeof bytes), 6);
  ASSERT_EQ(::write(clients[0]->get(), "answer", 6), 6);
  ASSERT_EQ(::read(ends_[0], bytes, sizeof bytes), 6);
  EXPECT_EQ(std::string(bytes, 6), "answer");
  EXPECT_NE(::fcntl(clients[0]->get(), F_GETFD) & FD_CLOEXEC, 0);
  ::close(ends_[0]);
}

// The peer does not read. Nothing is lost or sent twice, and sending continues later.
TEST_F(ChannelTest, ReportsWouldBlockAndContinuesLater) {
  pair();
  const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  std::size_t sent = 0;
  Channel::SendResult last{};
  while ((last = one->send({MessageKind::connection, {}}, fd)) == Channel::SendResult::sent && sent < 100000)
    ++sent;
  EXPECT_EQ(last, Channel::SendResult::wouldBlock);
  EXPECT_GT(sent, 0u);
  ASSERT_TRUE(runUntil(io, [&] { return heard.size() == sent; }));
  EXPECT_EQ(one->send({MessageKind::connection, {}}, fd), Channel::SendResult::sent);
  ASSERT_TRUE(runUntil(io, [&] { return heard.size() == sent + 1; }));
  EXPECT_EQ(clients.size(), sent + 1);
  ::close(fd);
}

TEST_F(ChannelTest, ClosesOnInvalidInputWithoutLeakingDescriptors) {
  const std::string client = encode({MessageKind::connection, {}});
  for (const std::string& bytes :
       {std::string("noise"), encode({MessageKind::hello, "n"}), client + "x", std::string(70'000, 'x')}) {
    rawPair();
    const std::size_t before = openDescriptors();
    int fds[3] = {0, 0, 0};
    std::string copy = bytes;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof fds)] = {};
    iovec part{copy.data(), copy.size()};
    msghdr head{};
    head.msg_iov = &part;
    head.msg_iovlen = 1;
    head.msg_control = control;
    head.msg_controllen = sizeof control;
    cmsghdr* const c = CMSG_FIRSTHDR(&head);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof fds);
    std::memcpy(CMSG_DATA(c), fds, sizeof fds);
    ASSERT_EQ(::sendmsg(raw, &head, 0), static_cast<ssize_t>(bytes.size()));
    const int seen = ends;
    ASSERT_TRUE(runUntil(io, [&] { return ends == seen + 1; }));
    EXPECT_TRUE(heard.empty());
    EXPECT_EQ(openDescriptors(), before - 1);  // its own socket is closed as well
    ::close(std::exchange(raw, -1));
  }
}

TEST_F(ChannelTest, ReportsPeerCloseOnce) {
  pair();
  one->close();
  EXPECT_EQ(one->send({MessageKind::finished, {}}), Channel::SendResult::failed);
  ASSERT_TRUE(runUntil(io, [&] { return ends == 1; }));
  EXPECT_EQ(two->send({MessageKind::finished, {}}), Channel::SendResult::failed);
  io.restart();
  io.poll();
  EXPECT_EQ(ends, 1);
}

TEST_F(ChannelTest, LatestListenerKeepsPathWhenOlderOneCloses) {
  EXPECT_EQ(connectToPredecessor(io, folder / "door"), nullptr);
  std::vector<std::shared_ptr<Channel>> at[2];
  auto first = std::make_unique<HandoverListener>(io, folder / "door", [&](auto c) { at[0].push_back(c); });
  const auto a = connectToPredecessor(io, folder / "door");
  ASSERT_NE(a, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return at[0].size() == 1; }));
  const auto second =
      std::make_unique<HandoverListener>(io, folder / "door", [&](auto c) { at[1].push_back(c); });
  first.reset();  // leaves the path to the second
  const auto b = connectToPredecessor(io, folder / "door");
  ASSERT_NE(b, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return at[1].size() == 1; }));
  EXPECT_EQ(at[0].size(), 1u);
  EXPECT_EQ(at[0][0]->send({MessageKind::welcome, "n"}),
            Channel::SendResult::sent);  // its channel stays connected
  EXPECT_EQ(connectToPredecessor(io, std::string(300, 'x')), nullptr);
  EXPECT_EQ(errorOf(folder / "none/door"), HandoverListenerError::Code::cannotBind);
  EXPECT_EQ(errorOf(std::string(300, 'x')), HandoverListenerError::Code::invalidPath);
}

// A path that a killed process has left behind.
TEST_F(ChannelTest, ReplacesStaleSocketPath) {
  const int fd = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  const std::string path = folder / "door";
  std::memcpy(at.sun_path, path.data(), path.size());
  ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  ::close(fd);
  EXPECT_EQ(connectToPredecessor(io, path), nullptr);
  const HandoverListener door(io, path, [&](auto c) { one = c; });
  const auto a = connectToPredecessor(io, path);
  ASSERT_NE(a, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return one != nullptr; }));
}

}  // namespace
}  // namespace finchstile::handover
