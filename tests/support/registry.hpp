// Discovery as two addresses of one registry: whole lists, changes since a version, polls that wait.
#pragma once

#include <map>

#include "support/sockets.hpp"

namespace finchstile::testing {

class Registry {
 public:
  explicit Registry(asio::io_context& io)
      : io_(io),
        servers{std::make_unique<Server>(io, [this](const auto& p, const Received& r) { onCall(p, r); }),
                std::make_unique<Server>(io, [this](const auto& p, const Received& r) { onCall(p, r); })} {}

  tcp::endpoint endpoint(std::size_t which) const { return servers[which]->endpoint(); }
  std::size_t polls(std::size_t which) const { return servers[which]->received.size(); }

  // Name and state of one host; a new version that all who wait are told of.
  void set(const std::string& name, const tcp::endpoint& at, const std::string& status) {
    entries_[name] = {++version_, hostJson(name, at, status)};
    for (auto& [peer, since] : std::exchange(waiting_, {})) reply(peer, since);
  }
  json known() const {
    json hosts = json::array();
    for (const auto& [name, e] : entries_)
      if (e.host["status"] != "left") hosts.push_back(e.host);
    return listJson(version_, true, hosts);
  }
  // Its connections end and nobody can connect any more.
  void stop(std::size_t which) {
    servers[which]->stop();
    for (const auto& peer : servers[which]->peers) peer->close();
  }

 private:
  struct Entry {
    int version = 0;
    json host;
  };
  void reply(const std::shared_ptr<Peer>& peer, int since) {
    json hosts = json::array();
    for (const auto& [name, e] : entries_)
      if (e.version > since) hosts.push_back(e.host);
    write(peer, listJson(version_, false, hosts));
  }
  static void write(const std::shared_ptr<Peer>& peer, const json& list) {
    try {
      peer->reply(200, list.dump());
    } catch (const boost::system::system_error&) {
      // Whoever called has gone.
    }
  }
  void onCall(const std::shared_ptr<Peer>& peer, const Received& call) {
    const std::string target(call.target());
    const std::size_t at = target.find("since=");
    if (at == std::string::npos) return write(peer, known());
    const int since = std::atoi(target.c_str() + at + 6);
    if (since < version_) return reply(peer, since);
    const std::size_t wait = target.find("timeout_ms=");
    const int ms = wait == std::string::npos ? 20000 : std::atoi(target.c_str() + wait + 11);
    waiting_.emplace_back(peer, since);
    const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(ms));
    timer->async_wait([this, timer, peer, since](error_code) {
      const auto it =
          std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.first == peer; });
      if (it == waiting_.end() || it->second != since) return;
      waiting_.erase(it);
      reply(peer, since);
    });
  }

  asio::io_context& io_;
  std::unique_ptr<Server> servers[2];
  int version_ = 0;
  std::map<std::string, Entry> entries_;
  std::vector<std::pair<std::shared_ptr<Peer>, int>> waiting_;
};

}  // namespace finchstile::testing
