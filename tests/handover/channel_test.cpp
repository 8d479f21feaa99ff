// What two processes of one gateway say to each other, and the socket that carries it.
#include "handover/channel.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <cstring>

#include "support/process.hpp"
#include "support/run_until.hpp"

namespace finchstile::handover {
namespace {

using testing::Folder;
using testing::runUntil;

TEST(HandoverMessage, EachKindComesBackAsItWas) {
  for (const Kind kind : {Kind::hello, Kind::welcome, Kind::client, Kind::bye}) {
    const bool named = kind == Kind::hello || kind == Kind::welcome;
    const auto m = decode(encode({kind, "n 3"}), kind == Kind::client);
    ASSERT_TRUE(m);
    EXPECT_EQ(m->kind, kind);
    EXPECT_EQ(m->text, named ? "n 3" : "");
  }
  EXPECT_EQ(decode(encode({Kind::hello, std::string(900, 'x')}), 0)->text.size(), kNameMost);
  EXPECT_EQ(decode(encode({Kind::learned, std::string(60'000, 'x')}), 0)->text.size(), 60'000u);
  EXPECT_FALSE(decode(encode({Kind::learned, "x"}), 1));
}

TEST(HandoverMessage, WhatIsNotExactlySoIsTurnedDown) {
  const std::string good = encode({Kind::hello, "n3"}), client = encode({Kind::client, {}});
  for (std::size_t cut = 0; cut < 8; ++cut) EXPECT_FALSE(decode(good.substr(0, cut), 0)) << cut;
  for (std::size_t at = 0; at < 8; ++at)
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = client;
      bad[at] = static_cast<char>(bad[at] ^ (1 << bit));
      EXPECT_FALSE(decode(bad, 1)) << at << " " << bit;
    }
  EXPECT_FALSE(decode(client + "x", 1));
  EXPECT_FALSE(decode(client, 0));  // a client without its descriptor
  EXPECT_FALSE(decode(client, 2));
  EXPECT_FALSE(decode(good, 1));  // a descriptor that nobody knows what to do with
  EXPECT_FALSE(decode(good + std::string(kNameMost, 'x'), 0));
}

// The two processes may be of different versions: the form is pinned by literal bytes of each kind.
TEST(HandoverMessage, BytesOfEachKindAreFixed) {
  using namespace std::string_literals;
  EXPECT_EQ(encode({Kind::hello, "n3"}), "fsho\x01\x01\0\0n3"s);
  EXPECT_EQ(encode({Kind::welcome, "n3"}), "fsho\x01\x02\0\0n3"s);
  EXPECT_EQ(encode({Kind::client, ""}), "fsho\x01\x03\0\0"s);
  EXPECT_EQ(encode({Kind::bye, ""}), "fsho\x01\x04\0\0"s);
  EXPECT_EQ(encode({Kind::learned, "{}"}), "fsho\x01\x05\0\0{}"s);
}

struct ChannelTest : ::testing::Test {
  boost::asio::io_context io;
  Folder folder;
  std::shared_ptr<Channel> one, two;
  std::vector<Kind> heard;
  std::vector<std::unique_ptr<Descriptor>> clients;
  int ends = 0, raw = -1;

  void listen(const std::shared_ptr<Channel>& c) {
    c->onMessage = [this](const Message& m, std::unique_ptr<Descriptor> fd) {
      heard.push_back(m.kind);
      if (fd) clients.push_back(std::move(fd));
    };
    c->onEnd = [this] { ++ends; };
    c->start();
  }
  void pair() {
    int fds[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, fds), 0);
    one = std::make_shared<Channel>(io, fds[0]);
    two = std::make_shared<Channel>(io, fds[1]);
    listen(two);
  }
  void rawPair() {  // the other side says whatever a test likes
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

TEST_F(ChannelTest, AConnectionThatIsGivenAwayGoesOnAtTheOtherEnd) {
  pair();
  int ends_[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_), 0);
  ASSERT_EQ(::write(ends_[0], "before", 6), 6);  // unread when it goes
  ASSERT_EQ(one->send({Kind::client, {}}, ends_[1]), Channel::Sent::done);
  ::close(ends_[1]);
  ASSERT_EQ(one->send({Kind::bye, {}}), Channel::Sent::done);
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

// Hard case: the other side does not read. Nothing is lost or sent twice; it is asked again.
TEST_F(ChannelTest, AFullChannelSaysSoAndGoesOnLater) {
  pair();
  const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  std::size_t sent = 0;
  Channel::Sent last{};
  while ((last = one->send({Kind::client, {}}, fd)) == Channel::Sent::done && sent < 100000) ++sent;
  EXPECT_EQ(last, Channel::Sent::full);
  EXPECT_GT(sent, 0u);
  ASSERT_TRUE(runUntil(io, [&] { return heard.size() == sent; }));
  EXPECT_EQ(one->send({Kind::client, {}}, fd), Channel::Sent::done);
  ASSERT_TRUE(runUntil(io, [&] { return heard.size() == sent + 1; }));
  EXPECT_EQ(clients.size(), sent + 1);
  ::close(fd);
}

TEST_F(ChannelTest, NoiseEndsItAndLeavesNoDescriptorOpen) {
  const std::string client = encode({Kind::client, {}});
  for (const std::string& bytes :
       {std::string("noise"), encode({Kind::hello, "n"}), client + "x", std::string(70'000, 'x')}) {
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
    EXPECT_EQ(openDescriptors(), before - 1);  // its own socket is closed too
    ::close(std::exchange(raw, -1));
  }
}

TEST_F(ChannelTest, TheEndOfTheOtherProcessIsToldOnce) {
  pair();
  one->close();
  EXPECT_EQ(one->send({Kind::bye, {}}), Channel::Sent::broken);
  ASSERT_TRUE(runUntil(io, [&] { return ends == 1; }));
  EXPECT_EQ(two->send({Kind::bye, {}}), Channel::Sent::broken);
  io.restart();
  io.poll();
  EXPECT_EQ(ends, 1);
}

TEST_F(ChannelTest, TheLatestDoorHasTheNameAndTheOldOneLeavesItAlone) {
  EXPECT_EQ(connectTo(io, folder / "door"), nullptr);
  std::vector<std::shared_ptr<Channel>> at[2];
  auto first = std::make_unique<Door>(io, folder / "door", [&](auto c) { at[0].push_back(c); });
  const auto a = connectTo(io, folder / "door");
  ASSERT_NE(a, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return at[0].size() == 1; }));
  const auto second = std::make_unique<Door>(io, folder / "door", [&](auto c) { at[1].push_back(c); });
  first.reset();  // goes, and does not take the other's name along
  const auto b = connectTo(io, folder / "door");
  ASSERT_NE(b, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return at[1].size() == 1; }));
  EXPECT_EQ(at[0].size(), 1u);
  EXPECT_EQ(at[0][0]->send({Kind::welcome, "n"}), Channel::Sent::done);  // what was connected stays so
  EXPECT_EQ(connectTo(io, std::string(300, 'x')), nullptr);
  EXPECT_THROW(Door(io, folder / "none/door", {}), std::runtime_error);
}

// A name that a process left behind when it was killed.
TEST_F(ChannelTest, AStaleNameIsNobodyAndIsTakenOver) {
  const int fd = ::socket(AF_UNIX, SOCK_SEQPACKET, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  const std::string path = folder / "door";
  std::memcpy(at.sun_path, path.data(), path.size());
  ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  ::close(fd);
  EXPECT_EQ(connectTo(io, path), nullptr);
  const Door door(io, path, [&](auto c) { one = c; });
  const auto a = connectTo(io, path);
  ASSERT_NE(a, nullptr);
  ASSERT_TRUE(runUntil(io, [&] { return one != nullptr; }));
}

}  // namespace
}  // namespace finchstile::handover
