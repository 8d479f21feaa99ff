// Listens for the connection of the successor of this process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "handover/channel.hpp"

namespace finchstile::handover {

// Thrown if a process cannot listen for a successor. The message contains the path, the failed step and the
// system's error.
class HandoverListenerError : public std::runtime_error {
 public:
  enum class Code { invalidPath, noSocket, cannotBind, cannotListen, cannotRename };

  HandoverListenerError(Code code, const std::string& text) : std::runtime_error(text), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

class HandoverListener {
 public:
  // Listens at `path` in place of any process that did so before. The path is replaced by a rename, so there
  // is a listener at any time. `onConnect` is called with a channel for each connecting process of the same
  // user. Throws HandoverListenerError.
  HandoverListener(boost::asio::io_context& io, const std::string& path,
                   std::function<void(std::shared_ptr<Channel>)> onConnect);
  // Removes the path, unless another process has replaced it.
  ~HandoverListener();
  HandoverListener(const HandoverListener&) = delete;
  HandoverListener& operator=(const HandoverListener&) = delete;

 private:
  void listenAt(const std::string& temporaryPath);
  void waitForConnection();
  void acceptOne();

  boost::asio::io_context& io_;
  const std::string path_;
  std::function<void(std::shared_ptr<Channel>)> onConnect_;
  boost::asio::posix::stream_descriptor socket_;
  std::uint64_t inode_ = 0;  // of the own socket, to recognize a replacement of the path
  // Set to false by the destructor, for handlers that run later.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace finchstile::handover
