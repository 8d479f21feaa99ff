// One connection between two processes of a gateway, which carries messages and the descriptors of client
// connections. Nothing that arrives is trusted beyond its format; the peer must be a process of the same
// user.
#pragma once

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
    wouldBlock,  // the peer has to read first
    failed       // the channel is closed or will be reported as closed soon
  };

  // Takes the connected socket `fd`.
  Channel(boost::asio::io_context& io, int fd);

  // Called for each message in order. The descriptor of a connection belongs to the receiver; it is null for
  // all other kinds.
  std::function<void(const Message&, std::unique_ptr<Descriptor>)> onMessage;
  // Called once when the peer has closed the channel or has sent anything invalid, and not after close().
  // Neither callback is called during a call of the channel.
  std::function<void()> onClosed;

  // To be called once, with the callbacks set.
  void start();

  // Sends a copy of `descriptor` along unless it is negative; the caller closes its own.
  SendResult send(const Message& message, int descriptor = -1);

  void close();
  bool isOpen() const { return !closed_; }

 private:
  void waitForMessages();
  bool receiveNext();
  void closeAndReport();

  boost::asio::posix::stream_descriptor socket_;
  std::vector<char> buffer_;  // for one message
  bool closed_ = false;
};

// Connects to the process that listens at `path`. Returns null if there is none of the same user.
std::shared_ptr<Channel> connectToPredecessor(boost::asio::io_context& io, const std::string& path);

}  // namespace finchstile::handover
