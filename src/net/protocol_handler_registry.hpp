// Registry of the gateway's protocol handlers and of the requests that each has submitted.
#pragma once

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/protocol_handler.hpp"
#include "net/upstream_host_table.hpp"

namespace finchstile {

/// Forwards events of the gateway to all handlers, and maps requests to the handlers that submitted them.
class ProtocolHandlerRegistry {
 public:
  /// The handler must outlive the registry.
  void attach(ProtocolHandler& handler) { handlers_.push_back(&handler); }

  void addRequest(load_balancing::RequestId request, ProtocolHandler& handler) {
    owners_.emplace(request, &handler);
  }
  void removeRequest(load_balancing::RequestId request) { owners_.erase(request); }
  /// Returns null if the request is a client's HTTP request or has ended.
  ProtocolHandler* ownerOf(load_balancing::RequestId request) const {
    const auto found = owners_.find(request);
    return found == owners_.end() ? nullptr : found->second;
  }

  void onHostPhasesChanged(const std::vector<HostPhaseChange>& changes) const {
    for (ProtocolHandler* handler : handlers_)
      for (const auto& [host, phase] : changes) handler->onHostPhaseChanged(host, phase);
  }
  void onDrain(Time exitAt) const {
    for (ProtocolHandler* handler : handlers_) handler->onDrain(exitAt);
  }
  bool allIdle() const {
    return std::all_of(handlers_.begin(), handlers_.end(),
                       [](const ProtocolHandler* handler) { return handler->isIdle(); });
  }

 private:
  std::vector<ProtocolHandler*> handlers_;
  std::unordered_map<load_balancing::RequestId, ProtocolHandler*> owners_;
};

}  // namespace finchstile
