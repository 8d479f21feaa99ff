// Waits for the successor of this process.
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

// Says why a process cannot listen for a successor. The text names the path, the step and the system's cause.
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
  // Listens at `path` in place of any process that did: the path is replaced by a rename, so there is a
  // listener at any time. `onConnect` is called with a channel for each process of the same user that
  // connects. Throws HandoverListenerError.
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
  std::uint64_t inode_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once this object is destroyed
};

}  // namespace finchstile::handover
