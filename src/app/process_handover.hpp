// One process of a gateway takes over from another while clients go on. The next finds the last by a name in
// the folder that they share; once the last is told to end, it hands over each client's connection as it
// comes to rest, so that none is closed under a client. Without a next process, or once it is lost,
// connections are closed as ever.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "handover/channel.hpp"
#include "net/gateway.hpp"

namespace finchstile {

class ProcessHandover {
 public:
  // `path`: the name, the same for all processes of this gateway.
  ProcessHandover(boost::asio::io_context& io, std::string path, std::string name, Gateway& gateway);
  ~ProcessHandover();

  bool tookOver() const { return predecessor_ != nullptr; }  // another process serves beside this one
  // To be called when the gateway begins to drain, and when it is through.
  void begin();
  void over();

 private:
  void openDoor();
  void onSuccessor(const std::shared_ptr<handover::Channel>& channel);
  void lostSuccessor();

  boost::asio::io_context& io_;
  const std::string path_, name_;
  Gateway& gateway_;
  std::unique_ptr<handover::Door> door_;
  std::shared_ptr<handover::Channel> predecessor_, knocking_, successor_;
  std::size_t given_ = 0, taken_ = 0;
  bool giving_ = false;
};

// The name in the folder that processes share; empty if there is none.
std::string handoverSocketPath(const std::string& name);

}  // namespace finchstile
