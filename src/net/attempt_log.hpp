// Interface for recording the outcomes of attempts and requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/request_filter.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

/// State of a host at the time when it was chosen. A time of 0 means never.
struct HostObservation {
  load_balancing::Time lastListedAt{}, lastResponseAt{}, startedAt{};
  bool avoided = false;  ///< The load balancer was avoiding the host when it chose it.
};

/// One ended attempt. The views are valid during the call only.
struct AttemptLogEntry {
  std::string_view id;  ///< X-Correlation-Id of the request.
  const load_balancing::ClassSettings& classSettings;
  std::uint32_t number = 0;  ///< Position among the attempts of the request, from 0.
  std::string_view host, zone;
  std::int64_t cell = 0;
  load_balancing::Time chosenAt{};
  load_balancing::Time firstByteAt{};  ///< When the first byte was sent; 0 if none was.
  load_balancing::Outcome outcome{};
  bool timedOut = false;
  bool requestEnded = false;  ///< The request had finished before this attempt ended.
  HostObservation hostObservation;
  ConnectionUse connection;
};

/// One finished request. The view is valid during the call only.
struct RequestLogEntry {
  std::string_view id;  ///< X-Correlation-Id of the request.
  const load_balancing::ClassSettings& classSettings;
  load_balancing::Time arrivedAt{};
  load_balancing::Duration timeLeft{};  ///< How long the client waits, counted from the arrival.
  RequestResult result{};
  unsigned status = 0;  ///< Response status; 0 if the client disconnected before a response.
  std::size_t attempts = 0;
  double cutoff = 0;  ///< Admission cutoff of the load balancer when the request finished.
};

/// Implemented by the program. Implementations must not influence the gateway's behavior.
class AttemptLog {
 public:
  virtual ~AttemptLog() = default;
  /// Called when an attempt has an outcome.
  virtual void onAttempt(const AttemptLogEntry& attempt) = 0;
  /// Called when a request finishes. Attempts of the request may still end later.
  virtual void onRequest(const RequestLogEntry& request) = 0;
  /// Called when the effective phase of a host changes, because of the endpoint list or a filter.
  virtual void onHostPhase(const std::string& host, load_balancing::HostPhase phase) = 0;
};

}  // namespace finchstile
