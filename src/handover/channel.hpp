// Connection between two processes of a gateway that transfers messages and the descriptors of client
// connections. Received messages are trusted only as far as their format is checked; the peer must be a
// process of the same user.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/descriptor.hpp"
#include "handover/message.hpp"

namespace finchstile::handover {

class Channel : public std::enable_shared_from_this<Channel> {
 public:
  enum class SendResult {
    sent,
    wouldBlock,  // the peer has to read first; the message was not sent
    failed       // the channel is closed, or onClosed will be called soon
  };

  // Takes ownership of the connected socket `fd`.
  Channel(boost::asio::io_context& io, int fd);

  // Called for each message, in order. The callee owns the descriptor of a connection; it is null for all
  // other kinds of message.
  std::function<void(const Message&, std::unique_ptr<Descriptor>)> onMessage;
  // Called once when the peer has closed the channel or has sent an invalid message, but not after close().
  // Neither callback is called from within a method of the channel.
  std::function<void()> onClosed;

  // Starts receiving. To be called once, after the callbacks were set.
  void start();

  // Sends the message, with a duplicate of `descriptor` unless it is negative. The caller keeps its
  // descriptor and has to close it.
  SendResult send(const Message& message, int descriptor = -1);

  void close();
  bool isOpen() const { return !closed_; }
  // The process at the other end; 0 if it is unknown.
  pid_t peerProcess();

 private:
  void waitForMessages();
  bool receiveNext();
  void closeAndReport();

  boost::asio::posix::stream_descriptor socket_;
  std::vector<char> buffer_;  // holds one message
  bool closed_ = false;
};

// Connects to the process that listens at `path`. Returns null if there is none of the same user.
std::shared_ptr<Channel> connectToPredecessor(boost::asio::io_context& io, const std::string& path);

}  // namespace finchstile::handover
