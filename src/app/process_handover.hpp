// Lets one process of a gateway take over from another without closing client connections. The successor
// connects to its predecessor by a Unix socket in a shared directory. Once the predecessor drains, it hands
// over each client connection as soon as no request is active on it. Without a successor, or once the channel
// to it is closed, connections are closed as in any drain.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "handover/abandoned_ids_text.hpp"
#include "handover/channel.hpp"
#include "handover/host_list_parts.hpp"
#include "handover/listener.hpp"
#include "idempotency/filter.hpp"
#include "net/gateway.hpp"

namespace finchstile {

class ProcessHandover {
 public:
  // Connects to the predecessor if there is one, and otherwise listens for a successor. `path`: of the
  // socket, the same for all processes of this gateway; `name`: the gateway's. `idempotency`: the filter
  // whose keys are exchanged with the other process, or null. `onOtherProcess` is called with the process
  // that this one replaces, and with the one that replaces it. `io`, `clock`, `gateway` and the filter must
  // outlive this object.
  ProcessHandover(boost::asio::io_context& io, const Clock& clock, std::string path, std::string name,
                  Gateway& gateway, idempotency::IdempotencyFilter* idempotency,
                  idempotency::TenantAndClassNames names, std::function<void(pid_t process)> onOtherProcess);
  ~ProcessHandover();
  ProcessHandover(const ProcessHandover&) = delete;
  ProcessHandover& operator=(const ProcessHandover&) = delete;

  // Whether the channel to the predecessor is open, which is so until the predecessor has drained.
  bool hasPredecessor() const { return predecessor_ != nullptr; }

  // To be called when the gateway starts to drain.
  void startHandingOver();
  // To be called when the gateway has drained.
  void finish();

 private:
  void connectPredecessor();
  void onPredecessorMessage(const handover::Message& message, std::unique_ptr<Descriptor> connection);
  void listenForSuccessor();
  void onCandidate(const std::shared_ptr<handover::Channel>& channel);
  void onHello(const handover::Message& message);
  void welcomeSuccessor();
  void sendHostList();
  void onHostListPart(handover::HostListPart&& part);
  void startKeyExchange(idempotency::KeyReplication::Role role, std::shared_ptr<handover::Channel> channel);
  void onSuccessorMessage(const handover::Message& message);
  void onKeyRecord(const std::string& record);
  void endKeyExchange();
  bool dropHungKeyPeer();
  void sendAbandonedIds();
  std::int64_t ageMs(Time added) const;
  void queueAbandonedIds(const std::vector<handover::AbandonedIdAge>& ids);
  void addAbandonedIds(const std::vector<handover::AbandonedIdAge>& ids);
  std::optional<handover::Message> nextMessage();
  bool sendMessages(std::size_t maxMessages);
  void pumpMessages();
  void flushMessages();
  void onPeerLost();
  const std::shared_ptr<handover::Channel>& peer() const { return successor_ ? successor_ : predecessor_; }
  bool handOver(int fd);
  void onSuccessorLost();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const std::string path_, name_;
  Gateway& gateway_;
  std::unique_ptr<handover::HandoverListener> listener_;
  std::shared_ptr<handover::Channel> predecessor_;
  std::shared_ptr<handover::Channel> candidate_;  // connected, has not sent its hello yet
  std::shared_ptr<handover::Channel> successor_;
  handover::HostListParts hostListParts_;
  idempotency::IdempotencyFilter* const idempotency_;
  const idempotency::TenantAndClassNames names_;
  const std::function<void(pid_t process)> onOtherProcess_;
  std::shared_ptr<handover::Channel> keyChannel_;  // of the process with which keys are exchanged
  std::deque<handover::Message> outgoing_;         // to the peer, before records of keys
  std::optional<handover::Message> unsentMessage_;
  boost::asio::steady_timer sendTimer_;     // the next time to send messages
  boost::asio::steady_timer keyLoadTimer_;  // ends the wait for the keys of the predecessor
  bool sendPending_ = false;                // the timer is set
  std::size_t connectionsGiven_ = 0, connectionsAdopted_ = 0;
  bool handingOver_ = false;
};

// The path of the socket in the directory that the processes share; empty if there is no such directory.
std::string handoverSocketPath(const std::string& name);

}  // namespace finchstile
