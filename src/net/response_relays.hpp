// Relays of responses that are too long to be buffered: each piece is forwarded from the host to the client
// as it arrives.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "finchstile/load_balancer.hpp"
#include "net/active_request.hpp"
#include "net/client_messages.hpp"
#include "net/client_session.hpp"
#include "net/gateway_metrics_collector.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Connects the connection to a host with that to a client. One piece is in flight at a time: the host is
/// read again after the client has accepted the last piece. An active request stays in its table as long as
/// its relay.
class ResponseRelays {
 public:
  ResponseRelays(ActiveRequestTable& requests, UpstreamPool& pool, GatewayMetricsCollector& metrics)
      : requests_(requests), pool_(pool), metrics_(metrics) {}

  /// Starts a relay of a response of `host` to the client of `request`.
  void begin(RelayId id, load_balancing::RequestId requestId, load_balancing::HostId host,
             ActiveRequest& request);
  /// The host has sent a piece of the body.
  void onBody(RelayId id, std::string&& piece, bool last);
  /// The host's response ended before it was complete. The client's connection is closed so that the client
  /// can detect the truncation.
  void onTruncated(RelayId id);
  /// All pieces so far have been written to the client.
  void onWritten(RelayId id);
  /// The client disconnected.
  void onAborted(RelayId id);

  std::size_t size() const { return relays_.size(); }
  /// The request whose response is relayed; 0 if there is no such relay.
  load_balancing::RequestId requestOf(RelayId id) const {
    const auto found = relays_.find(id);
    return found == relays_.end() ? 0 : found->second.request;
  }
  /// The host whose response is relayed; `kNone` if there is no such relay.
  load_balancing::HostId hostOf(RelayId id) const {
    const auto found = relays_.find(id);
    return found == relays_.end() ? load_balancing::kNone : found->second.host;
  }

 private:
  struct Relay {
    load_balancing::RequestId request = 0;
    load_balancing::HostId host = load_balancing::kNone;
    std::weak_ptr<ClientSession> client;
    bool lastPieceSent = false;
  };

  void end(RelayId id);

  ActiveRequestTable& requests_;
  UpstreamPool& pool_;
  GatewayMetricsCollector& metrics_;
  std::unordered_map<RelayId, Relay> relays_;
};

}  // namespace finchstile
