#include "app/process_handover.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <string_view>
#include <utility>

#include "app/admin_api.hpp"
#include "base/address.hpp"
#include "handover/learned_state_text.hpp"

namespace finchstile {
namespace {

constexpr std::string_view kCordonFileSuffix = ".out";
constexpr std::string_view kSocketSuffix = ".next";

}  // namespace

using handover::Channel;
using handover::Message;
using handover::MessageKind;

ProcessHandover::ProcessHandover(boost::asio::io_context& io, const Clock& clock, std::string path,
                                 std::string name, Gateway& gateway)
    : io_(io), clock_(clock), path_(std::move(path)), name_(std::move(name)), gateway_(gateway) {
  predecessor_ = handover::connectToPredecessor(io_, path_);
  if (predecessor_) connectPredecessor();
  else listenForSuccessor();
}

ProcessHandover::~ProcessHandover() {
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
    listenForSuccessor();
  };
  predecessor_->start();
  predecessor_->send({MessageKind::hello, name_});
}

void ProcessHandover::onPredecessorMessage(const Message& message, std::unique_ptr<Descriptor> connection) {
  if (message.kind == MessageKind::learnedState) {
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
  channel->onMessage = [this](const Message& message, std::unique_ptr<Descriptor>) {
    if (message.kind == MessageKind::hello && candidate_) onHello(message);
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
  successor_ = channel;
  welcomeSuccessor();
}

void ProcessHandover::welcomeSuccessor() {
  successor_->send({MessageKind::welcome, name_});
  handover::LearnedStateText learned = handover::encodeLearnedState(gateway_.learnedState());
  if (learned.omittedHosts > 0)
    std::fprintf(stderr,
                 "finchstile: learned state of some hosts does not fit into the handover message, and the "
                 "successor learns it anew: omitted_hosts=%zu max_bytes=%zu\n",
                 learned.omittedHosts, handover::kMaxLearnedStateBytes);
  successor_->send({MessageKind::learnedState, std::move(learned.text)});
  sendHostList();
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
  if (!handingOver_) return;
  // docs/operators/operations.md documents this line, so its form must not change.
  std::fprintf(stderr, "handover: the next process is lost after %zu connections; the others are closed\n",
               connectionsGiven_);
  gateway_.handOverClients({});
}

void ProcessHandover::finish() {
  if (!successor_) return;
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
