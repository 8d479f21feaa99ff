// The channel between two processes of a gateway, and the listener for the successor.
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
  throw std::logic_error(path + " is accepted as a socket path");
}

struct ChannelTest : ::testing::Test {
  boost::asio::io_context io;
  TemporaryDirectory folder;
  std::shared_ptr<Channel> sender, receiver;
  std::vector<MessageKind> receivedKinds;
  std::vector<std::unique_ptr<Descriptor>> receivedDescriptors;
  int closeReports = 0, rawSocket = -1;

  void listen(const std::shared_ptr<Channel>& channel) {
    channel->onMessage = [this](const Message& message, std::unique_ptr<Descriptor> fd) {
      receivedKinds.push_back(message.kind);
      if (fd) receivedDescriptors.push_back(std::move(fd));
    };
    channel->onClosed = [this] { ++closeReports; };
    channel->start();
  }
  void pair() {
    int fds[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, fds), 0);
    sender = std::make_shared<Channel>(io, fds[0]);
    receiver = std::make_shared<Channel>(io, fds[1]);
    listen(receiver);
  }
  void rawPair() {  // the test writes raw bytes to the other end
    int fds[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, fds), 0);
    rawSocket = fds[0];
    receiver = std::make_shared<Channel>(io, fds[1]);
    listen(receiver);
  }
  ~ChannelTest() override {
    if (rawSocket >= 0) ::close(rawSocket);
  }
  static std::size_t openDescriptors() {
    std::size_t openCount = 0;
    for (int fd = 0; fd < 256; ++fd) openCount += ::fcntl(fd, F_GETFD) >= 0;
    return openCount;
  }
};

TEST_F(ChannelTest, HandedOverConnectionContinuesAtPeer) {
  pair();
  int connectionEnds[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, connectionEnds), 0);
  ASSERT_EQ(::write(connectionEnds[0], "before", 6), 6);  // unread at the handover
  ASSERT_EQ(sender->send({MessageKind::connection, {}}, connectionEnds[1]), Channel::SendResult::sent);
  ::close(connectionEnds[1]);
  ASSERT_EQ(sender->send({MessageKind::finished, {}}), Channel::SendResult::sent);
  ASSERT_TRUE(runUntil(io, [&] { return receivedKinds.size() == 2; }));
  ASSERT_EQ(receivedDescriptors.size(), 1u);
  char bytes[16];
  ASSERT_EQ(::read(receivedDescriptors[0]->get(), bytes, sizeof bytes), 6);
  ASSERT_EQ(::write(receivedDescriptors[0]->get(), "answer", 6), 6);
  ASSERT_EQ(::read(connectionEnds[0], bytes, sizeof bytes), 6);
  EXPECT_EQ(std::string(bytes, 6), "answer");
  EXPECT_NE(::fcntl(receivedDescriptors[0]->get(), F_GETFD) & FD_CLOEXEC, 0);
  ::close(connectionEnds[0]);
}

// The peer does not read at first. No message is lost or duplicated, and sending continues later.
TEST_F(ChannelTest, ReportsWouldBlockAndContinuesLater) {
  pair();
  const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  std::size_t sent = 0;
  Channel::SendResult lastResult{};
  while ((lastResult = sender->send({MessageKind::connection, {}}, fd)) == Channel::SendResult::sent &&
         sent < 100000)
    ++sent;
  EXPECT_EQ(lastResult, Channel::SendResult::wouldBlock);
  EXPECT_GT(sent, 0u);
  ASSERT_TRUE(runUntil(io, [&] { return receivedKinds.size() == sent; }));
  EXPECT_EQ(sender->send({MessageKind::connection, {}}, fd), Channel::SendResult::sent);
  ASSERT_TRUE(runUntil(io, [&] { return receivedKinds.size() == sent + 1; }));
  EXPECT_EQ(receivedDescriptors.size(), sent + 1);
  ::close(fd);
}

TEST_F(ChannelTest, ClosesOnInvalidInputWithoutLeakingDescriptors) {
  const std::string client = encode({MessageKind::connection, {}});
  for (const std::string& bytes :
       {std::string("noise"), encode({MessageKind::hello, "n"}), client + "x", std::string(70'000, 'x')}) {
    rawPair();
    const std::size_t descriptorsBefore = openDescriptors();
    int fds[3] = {0, 0, 0};
    std::string copy = bytes;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof fds)] = {};
    iovec part{copy.data(), copy.size()};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
    cmsghdr* const rights = CMSG_FIRSTHDR(&header);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizeof fds);
    std::memcpy(CMSG_DATA(rights), fds, sizeof fds);
    ASSERT_EQ(::sendmsg(rawSocket, &header, 0), static_cast<ssize_t>(bytes.size()));
    const int reportsBefore = closeReports;
    ASSERT_TRUE(runUntil(io, [&] { return closeReports == reportsBefore + 1; }));
    EXPECT_TRUE(receivedKinds.empty());
    EXPECT_EQ(openDescriptors(), descriptorsBefore - 1);  // the socket of the channel is closed as well
    ::close(std::exchange(rawSocket, -1));
  }
}

TEST_F(ChannelTest, ReportsPeerCloseOnce) {
  pair();
  sender->close();
  EXPECT_EQ(sender->send({MessageKind::finished, {}}), Channel::SendResult::failed);
  ASSERT_TRUE(runUntil(io, [&] { return closeReports == 1; }));
  EXPECT_EQ(receiver->send({MessageKind::finished, {}}), Channel::SendResult::failed);
  io.restart();
  io.poll();
  EXPECT_EQ(closeReports, 1);
}

TEST_F(ChannelTest, LatestListenerKeepsPathWhenOlderOneCloses) {
  EXPECT_EQ(connectToPredecessor(io, folder / "door"), nullptr);
  std::vector<std::shared_ptr<Channel>> accepted[2];
  auto first = std::make_unique<HandoverListener>(io, folder / "door",
                                                  [&](auto channel) { accepted[0].push_back(channel); });
  const auto firstConnection = connectToPredecessor(io, folder / "door");
  ASSERT_NE(firstConnection, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return accepted[0].size() == 1; }));
  const auto second = std::make_unique<HandoverListener>(
      io, folder / "door", [&](auto channel) { accepted[1].push_back(channel); });
  first.reset();  // does not remove the path, which belongs to the second listener
  const auto secondConnection = connectToPredecessor(io, folder / "door");
  ASSERT_NE(secondConnection, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return accepted[1].size() == 1; }));
  EXPECT_EQ(accepted[0].size(), 1u);
  EXPECT_EQ(accepted[0][0]->send({MessageKind::welcome, "n"}),
            Channel::SendResult::sent);  // its channel stays connected
  EXPECT_EQ(connectToPredecessor(io, std::string(300, 'x')), nullptr);
  EXPECT_EQ(errorOf(folder / "none/door"), HandoverListenerError::Code::cannotBind);
  EXPECT_EQ(errorOf(std::string(300, 'x')), HandoverListenerError::Code::invalidPath);
}

// A killed process has left its socket path behind.
TEST_F(ChannelTest, ReplacesStaleSocketPath) {
  const int fd = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = folder / "door";
  std::memcpy(address.sun_path, path.data(), path.size());
  ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  ::close(fd);
  EXPECT_EQ(connectToPredecessor(io, path), nullptr);
  const HandoverListener successorListener(io, path, [&](auto channel) { sender = channel; });
  const auto firstConnection = connectToPredecessor(io, path);
  ASSERT_NE(firstConnection, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return sender != nullptr; }));
}

}  // namespace
}  // namespace finchstile::handover
