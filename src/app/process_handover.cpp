#include "app/process_handover.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <string_view>
#include <thread>
#include <utility>

#include "app/admin_api.hpp"
#include "base/address.hpp"
#include "handover/learned_state_text.hpp"

namespace finchstile {
namespace {

constexpr std::string_view kCordonFileSuffix = ".out";
constexpr std::string_view kSocketSuffix = ".next";

// Messages that are sent in one turn of the event loop.
constexpr std::size_t kMessagesPerTurn = 128;
// When the other process is asked again to take messages.
constexpr Duration kSendRetryInterval = std::chrono::milliseconds(1);
// How long requests with a key wait for the keys of the predecessor. Half of the time in which a new process
// has to be ready.
constexpr Duration kMaxKeyLoadTime = std::chrono::seconds(3);
// With more records than these unsent, the other process counts as hung.
constexpr std::size_t kMaxQueuedKeyRecords = 65'536;
// How long a process that has drained waits for its successor to take the last messages.
constexpr std::chrono::milliseconds kMaxFlushTime{1000};

}  // namespace

using handover::Channel;
using handover::Message;
using handover::MessageKind;

ProcessHandover::ProcessHandover(boost::asio::io_context& io, const Clock& clock, std::string path,
                                 std::string name, Gateway& gateway,
                                 idempotency::IdempotencyFilter* idempotency,
                                 idempotency::TenantAndClassNames names,
                                 std::function<void(pid_t process)> onOtherProcess)
    : io_(io),
      clock_(clock),
      path_(std::move(path)),
      name_(std::move(name)),
      gateway_(gateway),
      idempotency_(idempotency),
      names_(std::move(names)),
      onOtherProcess_(std::move(onOtherProcess)),
      sendTimer_(io),
      keyLoadTimer_(io) {
  gateway_.onIdAbandoned([this](std::string_view id, Time added) {
    if (peer()) queueAbandonedIds({{std::string(id), ageMs(added)}});
  });
  predecessor_ = handover::connectToPredecessor(io_, path_);
  if (predecessor_) connectPredecessor();
  else listenForSuccessor();
}

ProcessHandover::~ProcessHandover() {
  gateway_.onIdAbandoned({});
  for (const auto& channel : {predecessor_, candidate_, successor_})
    if (channel) channel->close();
}

void ProcessHandover::connectPredecessor() {
  predecessor_->onMessage = [this](const Message& message, std::unique_ptr<Descriptor> connection) {
    onPredecessorMessage(message, std::move(connection));
  };
  // The predecessor keeps the socket while it serves, so that a successor that fails during startup cannot
  // take it over.
  predecessor_->onClosed = [this] {
    // docs/operators/operations.md documents this line, so its form must not change.
    std::fprintf(stderr, "handover: took over %zu connections at rest\n", connectionsAdopted_);
    predecessor_.reset();
    onPeerLost();
    listenForSuccessor();
  };
  onOtherProcess_(predecessor_->peerProcess());
  predecessor_->start();
  predecessor_->send({MessageKind::hello, name_});
  if (!idempotency_) return;
  idempotency_->awaitKeys();
  keyLoadTimer_.expires_after(kMaxKeyLoadTime);
  keyLoadTimer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || !idempotency_->awaitsKeys()) return;
    std::fprintf(
        stderr, "finchstile: the predecessor's idempotency keys have not arrived: waited_s=%lld\n",
        static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(kMaxKeyLoadTime).count()));
    endKeyExchange();
  });
}

void ProcessHandover::onPredecessorMessage(const Message& message, std::unique_ptr<Descriptor> connection) {
  if (message.kind == MessageKind::idempotencyKeys) {
    onKeyRecord(message.text);
  } else if (message.kind == MessageKind::learnedState) {
    if (message.text == handover::kKeysAnnouncement)
      return startKeyExchange(idempotency::KeyReplication::Role::successor, predecessor_);
    if (!keyChannel_) endKeyExchange();  // an earlier release
    if (const auto ids = handover::decodeAbandonedIds(message.text)) return addAbandonedIds(*ids);
    if (auto part = handover::decodeHostListPart(message.text)) return onHostListPart(std::move(*part));
    const auto learned = handover::decodeLearnedState(message.text);
    if (learned) gateway_.restoreLearnedState(*learned);
  } else if (message.kind == MessageKind::connection) {
    ++connectionsAdopted_;
    gateway_.adoptClient(connection->release());
  }
}

void ProcessHandover::listenForSuccessor() {
  const auto onConnect = [this](const std::shared_ptr<Channel>& channel) { onCandidate(channel); };
  try {
    listener_ = std::make_unique<handover::HandoverListener>(io_, path_, onConnect);
  } catch (const std::exception& error) {
    std::fprintf(stderr,
                 "finchstile: cannot listen for a successor, so a drain will close client connections: "
                 "error=\"%s\"\n",
                 error.what());
  }
}

void ProcessHandover::onCandidate(const std::shared_ptr<Channel>& channel) {
  if (candidate_) candidate_->close();
  candidate_ = channel;
  channel->onMessage = [this, from = channel.get()](const Message& message, std::unique_ptr<Descriptor>) {
    if (message.kind == MessageKind::hello && candidate_) onHello(message);
    else if (successor_.get() == from) onSuccessorMessage(message);
  };
  channel->onClosed = [this, weak = std::weak_ptr<Channel>(channel)] {
    const auto closed = weak.lock();
    if (closed == candidate_) candidate_.reset();
    if (closed == successor_) onSuccessorLost();
  };
  channel->start();
}

void ProcessHandover::onHello(const Message& message) {
  const auto channel = std::exchange(candidate_, nullptr);
  if (message.text != name_) return channel->close();
  // A newer successor replaces an earlier one.
  if (successor_) successor_->close();
  onPeerLost();
  successor_ = channel;
  onOtherProcess_(successor_->peerProcess());
  welcomeSuccessor();
}

void ProcessHandover::welcomeSuccessor() {
  successor_->send({MessageKind::welcome, name_});
  if (idempotency_) successor_->send({MessageKind::learnedState, std::string(handover::kKeysAnnouncement)});
  handover::LearnedStateText learned = handover::encodeLearnedState(gateway_.learnedState());
  if (learned.omittedHosts > 0)
    std::fprintf(stderr,
                 "finchstile: learned state of some hosts does not fit into the handover message, and the "
                 "successor learns it anew: omitted_hosts=%zu max_bytes=%zu\n",
                 learned.omittedHosts, handover::kMaxLearnedStateBytes);
  successor_->send({MessageKind::learnedState, std::move(learned.text)});
  sendHostList();
  sendAbandonedIds();
  if (handingOver_) startHandingOver();
}

// The successor's configuration may have an old list, and discovery may be down: without this one it would
// send to hosts of whose drain this process was told.
void ProcessHandover::sendHostList() {
  const HostList list = gateway_.endpointList();
  if (list.version < 0) return;
  const std::size_t parts =
      std::max<std::size_t>(1, (list.hosts.size() + handover::kHostsPerPart - 1) / handover::kHostsPerPart);
  for (std::size_t i = 0; i < parts; ++i) {
    const std::size_t begin = i * handover::kHostsPerPart;
    const std::size_t end = std::min(list.hosts.size(), begin + handover::kHostsPerPart);
    HostList part{list.version, true, {}};
    part.hosts.assign(list.hosts.begin() + static_cast<std::ptrdiff_t>(begin),
                      list.hosts.begin() + static_cast<std::ptrdiff_t>(end));
    std::string text = handover::encodeHostListPart(
        {addressText(gateway_.discoveryEndpoint()), i, parts, hostListText(part, clock_)});
    if (text.size() > handover::kMaxLearnedStateBytes) {
      std::fprintf(stderr, "finchstile: the host list does not fit into handover messages: bytes=%zu\n",
                   text.size());
      return;
    }
    successor_->send({MessageKind::learnedState, std::move(text)});
  }
}

void ProcessHandover::onHostListPart(handover::HostListPart&& part) {
  if (part.discovery != addressText(gateway_.discoveryEndpoint())) return;
  const auto texts = hostListParts_.add(std::move(part));
  if (!texts) return;
  HostList list;
  try {
    for (const std::string& text : *texts) {
      HostList next = parseHostList(text, clock_);
      list.version = next.version;
      std::move(next.hosts.begin(), next.hosts.end(), std::back_inserter(list.hosts));
    }
  } catch (const ConfigError&) {
    return;
  }
  list.complete = true;
  if (!list.hosts.empty()) gateway_.restoreEndpointList(std::move(list));
}

// --- Idempotency keys

void ProcessHandover::onSuccessorMessage(const Message& message) {
  if (message.kind == MessageKind::idempotencyKeys) {
    if (!keyChannel_) startKeyExchange(idempotency::KeyReplication::Role::predecessor, successor_);
    onKeyRecord(message.text);
  } else if (message.kind == MessageKind::learnedState) {
    if (const auto ids = handover::decodeAbandonedIds(message.text)) addAbandonedIds(*ids);
  }
}

void ProcessHandover::startKeyExchange(idempotency::KeyReplication::Role role,
                                       std::shared_ptr<Channel> channel) {
  if (!idempotency_) return;
  keyChannel_ = std::move(channel);
  idempotency_->startReplication(role, names_).onOutput = [this] { pumpMessages(); };
  pumpMessages();
}

void ProcessHandover::onKeyRecord(const std::string& record) {
  if (!idempotency_ || !idempotency_->replication()) return;
  if (idempotency_->replication()->onRecord(clock_.now(), record)) return;
  std::fprintf(stderr, "finchstile: ignoring a malformed record of idempotency keys: bytes=%zu\n",
               record.size());
}

void ProcessHandover::endKeyExchange() {
  keyChannel_.reset();
  if (unsentMessage_ && unsentMessage_->kind == MessageKind::idempotencyKeys) unsentMessage_.reset();
  keyLoadTimer_.cancel();
  if (idempotency_) idempotency_->endReplication();
}

// Returns true if the other process takes no records. It then learns from the closed channel that keys are no
// longer exchanged.
bool ProcessHandover::dropHungKeyPeer() {
  const bool hung = keyChannel_ && idempotency_->replication() &&
                    idempotency_->replication()->queuedRecords() > kMaxQueuedKeyRecords;
  if (!hung) return false;
  std::fprintf(stderr, "finchstile: the other process takes no idempotency keys: queued_records=%zu\n",
               idempotency_->replication()->queuedRecords());
  const auto channel = keyChannel_;
  channel->close();
  if (channel == successor_) onSuccessorLost();
  else predecessor_->onClosed();
  return true;
}

// --- Ids of requests whose clients left

void ProcessHandover::sendAbandonedIds() {
  std::vector<handover::AbandonedIdAge> ids;
  for (const auto& [added, id] : gateway_.abandonedIds().all()) ids.push_back({id, ageMs(added)});
  queueAbandonedIds(ids);
}

std::int64_t ProcessHandover::ageMs(Time added) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - added).count();
}

void ProcessHandover::queueAbandonedIds(const std::vector<handover::AbandonedIdAge>& ids) {
  for (std::string& text : handover::encodeAbandonedIds(ids))
    outgoing_.push_back({MessageKind::learnedState, std::move(text)});
  pumpMessages();
}

void ProcessHandover::addAbandonedIds(const std::vector<handover::AbandonedIdAge>& ids) {
  for (const handover::AbandonedIdAge& each : ids)
    gateway_.addAbandonedId(each.id, clock_.now() - std::chrono::milliseconds(each.ageMs));
}

// --- Messages that may have to wait

std::optional<Message> ProcessHandover::nextMessage() {
  if (!outgoing_.empty()) {
    Message message = std::move(outgoing_.front());
    outgoing_.pop_front();
    return message;
  }
  if (!keyChannel_ || !idempotency_->replication()) return std::nullopt;
  auto record = idempotency_->replication()->takeRecord();
  if (!record) return std::nullopt;
  return Message{MessageKind::idempotencyKeys, std::move(*record)};
}

// Returns false if more messages remain to be sent.
bool ProcessHandover::sendMessages(std::size_t maxMessages) {
  for (std::size_t i = 0; i < maxMessages; ++i) {
    if (!unsentMessage_) unsentMessage_ = nextMessage();
    if (!unsentMessage_) return true;
    const auto result = peer()->send(*unsentMessage_);
    if (result == Channel::SendResult::failed) return true;  // onClosed follows
    if (result == Channel::SendResult::wouldBlock) return false;
    unsentMessage_.reset();
  }
  return false;
}

void ProcessHandover::pumpMessages() {
  if (sendPending_ || !peer() || sendMessages(kMessagesPerTurn)) return;
  sendPending_ = true;
  sendTimer_.expires_after(kSendRetryInterval);
  sendTimer_.async_wait([this](const boost::system::error_code&) {
    sendPending_ = false;
    if (!dropHungKeyPeer()) pumpMessages();
  });
}

// Without its last records the successor would take finished runs for uncertain ones.
void ProcessHandover::flushMessages() {
  const auto deadline = std::chrono::steady_clock::now() + kMaxFlushTime;
  while (!sendMessages(kMessagesPerTurn) && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(kSendRetryInterval);
}

void ProcessHandover::onPeerLost() {
  outgoing_.clear();
  unsentMessage_.reset();
  sendTimer_.cancel();
  endKeyExchange();
}

// --- Connections

void ProcessHandover::startHandingOver() {
  handingOver_ = true;
  if (!successor_) return;
  gateway_.handOverClients([this](int fd) { return handOver(fd); });
}

// Returns true if the connection now belongs to the successor. If the channel has failed, its onClosed
// follows.
bool ProcessHandover::handOver(int fd) {
  if (!successor_) return false;
  if (successor_->send({MessageKind::connection, {}}, fd) != Channel::SendResult::sent) return false;
  ++connectionsGiven_;
  return true;
}

void ProcessHandover::onSuccessorLost() {
  successor_.reset();
  onPeerLost();
  if (!handingOver_) return;
  // docs/operators/operations.md documents this line, so its form must not change.
  std::fprintf(stderr, "handover: the next process is lost after %zu connections; the others are closed\n",
               connectionsGiven_);
  gateway_.handOverClients({});
}

void ProcessHandover::finish() {
  if (!successor_) return;
  flushMessages();
  successor_->send({MessageKind::finished, {}});
  // docs/operators/operations.md documents this line, so its form must not change.
  std::fprintf(stderr, "handover: gave %zu connections to the next process\n", connectionsGiven_);
}

std::string handoverSocketPath(const std::string& name) {
  std::string path = cordonFilePath(name);
  if (path.empty()) return path;
  path.resize(path.size() - kCordonFileSuffix.size());
  return path.append(kSocketSuffix);
}

}  // namespace finchstile
