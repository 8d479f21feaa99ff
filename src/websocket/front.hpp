// WebSocket in the gateway: the handshake as a request of it, and the stream that it becomes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "net/upgrade.hpp"
#include "stream/table.hpp"
#include "websocket/settings.hpp"

namespace finchstile::websocket {

class WebSocketFront : public Upgrades {
 public:
  // `draw`: chance for masks and ids, not to be guessed. The table must outlive it.
  WebSocketFront(const Clock& clock, const WebSocketSettings& settings, std::string gateway,
                 std::function<std::uint32_t()> draw, stream::StreamTable& table);

  bool asks(const ClientRequest& message) const override;
  std::optional<Answer> check(ClientRequest& message) override;
  Duration longest() const override { return settings_.handshake; }
  std::vector<HeaderLine> toHost(const ClientRequest& message) const override;
  std::optional<Accepted> accepted(const ClientRequest& message,
                                   const boost::beast::http::fields& answer) const override;
  void onAsked() override;
  void onNotBegun(const UpgradeAsked& asked, RequestEnd how) override;
  void take(Upgraded&& upgraded) override;

 private:
  const Clock& clock_;
  const WebSocketSettings settings_;
  const std::string gateway_;
  const std::function<std::uint32_t()> draw_;
  stream::StreamTable& table_;
  std::uint64_t last_ = 0;
};

}  // namespace finchstile::websocket
