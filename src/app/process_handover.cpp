#include "app/process_handover.hpp"

#include <unistd.h>

#include <cstdio>
#include <exception>
#include <utility>

#include "app/admin_api.hpp"
#include "handover/learned_text.hpp"

namespace finchstile {

using handover::Channel;
using handover::Kind;
using handover::Message;

ProcessHandover::ProcessHandover(boost::asio::io_context& io, std::string path, std::string name,
                                 Gateway& gateway)
    : io_(io), path_(std::move(path)), name_(std::move(name)), gateway_(gateway) {
  predecessor_ = handover::connectTo(io_, path_);
  if (!predecessor_) {
    openDoor();
    return;
  }
  predecessor_->onMessage = [this](const Message& m, std::unique_ptr<Descriptor> client) {
    if (m.kind == Kind::learned) {
      if (const auto learned = handover::decodeLearnedState(m.text)) gateway_.restoreLearnedState(*learned);
    }
    if (m.kind != Kind::client) return;
    ++taken_;
    gateway_.adoptClient(client->release());
  };
  predecessor_->onEnd = [this] {
    std::fprintf(stderr, "handover: took over %zu connections at rest\n", taken_);
    predecessor_.reset();
    openDoor();
  };
  predecessor_->start();
  predecessor_->send({Kind::hello, name_});
}

ProcessHandover::~ProcessHandover() {
  for (const auto& channel : {predecessor_, knocking_, successor_})
    if (channel) channel->close();
}

// Danger: while the last process serves the name is its own; a next one that dies at its start must not take
// it along.
void ProcessHandover::openDoor() {
  try {
    door_ = std::make_unique<handover::Door>(
        io_, path_, [this](std::shared_ptr<Channel> channel) { onSuccessor(channel); });
  } catch (const std::exception& bad) {
    std::fprintf(stderr, "handover: no next process can be found: %s\n", bad.what());
  }
}

void ProcessHandover::onSuccessor(const std::shared_ptr<Channel>& channel) {
  if (knocking_) knocking_->close();
  knocking_ = channel;
  channel->onMessage = [this](const Message& m, std::unique_ptr<Descriptor>) {
    if (m.kind != Kind::hello || !knocking_) return;
    const auto who = std::exchange(knocking_, nullptr);
    if (m.text != name_) return who->close();
    if (successor_) successor_->close();  // the latest one it is
    successor_ = who;
    who->send({Kind::welcome, name_});
    handover::LearnedStateText learned = handover::encodeLearnedState(gateway_.learnedState());
    if (learned.leftOut > 0)
      std::fprintf(stderr,
                   "handover: what was learned of %zu hosts has no room in %zu bytes; the next process "
                   "learns it anew\n",
                   learned.leftOut, handover::kMaxLearnedStateBytes);
    who->send({Kind::learned, std::move(learned.text)});
    if (giving_) begin();
  };
  channel->onEnd = [this, gone = std::weak_ptr<Channel>(channel)] {
    const auto who = gone.lock();
    if (who == knocking_) knocking_.reset();
    if (who == successor_) lostSuccessor();
  };
  channel->start();
}

void ProcessHandover::begin() {
  giving_ = true;
  if (!successor_) return;
  gateway_.handOverClients([this](int fd) {
    if (!successor_) return false;
    switch (successor_->send({Kind::client, {}}, fd)) {
      case Channel::Sent::done: ++given_; return true;
      case Channel::Sent::full: return false;
      case Channel::Sent::broken: break;
    }
    return false;  // its end is told soon
  });
}

void ProcessHandover::lostSuccessor() {
  successor_.reset();
  if (!giving_) return;
  std::fprintf(stderr, "handover: the next process is lost after %zu connections; the others are closed\n",
               given_);
  gateway_.handOverClients({});
}

void ProcessHandover::over() {
  if (!successor_) return;
  successor_->send({Kind::bye, {}});
  std::fprintf(stderr, "handover: gave %zu connections to the next process\n", given_);
}

std::string handoverSocketPath(const std::string& name) {
  const std::string beside = opsFile(name);
  return beside.empty() ? beside : beside.substr(0, beside.size() - 4) + ".next";
}

}  // namespace finchstile
