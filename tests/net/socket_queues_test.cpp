// What the kernel tells of a socket's queues, and the progress of a write that waits.
#include "net/socket_queues.hpp"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <string>

namespace finchstile {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::seconds;

struct SocketQueues : ::testing::Test {
  SocketQueues() {
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    sender.connect(acceptor.local_endpoint());
    receiver = acceptor.accept();
    sender.non_blocking(true);
    receiver.non_blocking(true);
  }
  // Writes until the sockets' buffers take nothing more.
  void fill() {
    const std::string bytes(256 * 1024, 'x');
    boost::system::error_code error;
    while (!error) sender.write_some(asio::buffer(bytes), error);
  }
  asio::io_context io;
  tcp::socket sender{io}, receiver{io};
};

// Guards against a client's last byte that is taken for unwritten although it waits behind a closed window:
// the pieces of a receive queue keep all of their memory until they are read to the end.
TEST_F(SocketQueues, QueueWithFewBytesOfLargePiecesHasNoRoom) {
  EXPECT_TRUE(receiveQueueHasRoom(receiver));
  fill();
  EXPECT_FALSE(receiveQueueHasRoom(receiver));
  sender.close();  // nothing more comes than the buffers hold
  asio::socket_base::receive_buffer_size size;
  receiver.get_option(size);
  const auto quarter = static_cast<std::size_t>(size.value()) / 4;
  std::string byte(1, 0);
  bool fewBytesWithoutRoom = false;
  boost::system::error_code error;
  while (!error) {
    receiver.read_some(asio::buffer(byte), error);
    if (error == asio::error::would_block) error = {};
    fewBytesWithoutRoom |= unreadBytes(receiver) < quarter && !receiveQueueHasRoom(receiver);
  }
  EXPECT_TRUE(fewBytesWithoutRoom);
}

TEST_F(SocketQueues, CountsUnreadAndUnacknowledgedBytes) {
  EXPECT_EQ(unreadBytes(receiver), 0u);
  EXPECT_EQ(unacknowledgedBytes(sender), 0u);
  fill();
  EXPECT_GT(unreadBytes(receiver), 0u);
  EXPECT_GT(unacknowledgedBytes(sender), 0u);
  receiver.close();
  EXPECT_EQ(unreadBytes(receiver), 0u);
  EXPECT_FALSE(receiveQueueHasRoom(receiver));
}

TEST(WriteProgress, CountsFromTheCheckBeforeTheLastChange) {
  WriteProgress progress;
  progress.restart(seconds(10));
  EXPECT_EQ(progress.stalledFor(seconds(11), 500), seconds(1));  // the first count is no change
  EXPECT_EQ(progress.stalledFor(seconds(12), 500), seconds(2));
  EXPECT_EQ(progress.stalledFor(seconds(13), 400), seconds(1));
  EXPECT_EQ(progress.stalledFor(seconds(14), 450), seconds(1));  // the socket has taken bytes
  EXPECT_EQ(progress.stalledFor(seconds(15), 450), seconds(2));
  progress.restart(seconds(20));
  EXPECT_EQ(progress.stalledFor(seconds(21), 300), seconds(1));
}

}  // namespace
}  // namespace finchstile
