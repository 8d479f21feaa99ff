// The interface through which outcomes of attempts and requests are recorded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/request_filter.hpp"

namespace finchstile {

/// What was known of a host when it was chosen. A time of 0: never.
struct HostObservation {
  load_balancing::Time lastListedAt{}, lastResponseAt{}, startedAt{};
  bool avoided = false;  ///< The load balancer avoided it.
};

/// The views are valid during the call only.
struct AttemptLogEntry {
  std::string_view id;  ///< The client's X-Correlation-Id.
  const load_balancing::ClassSettings& classSettings;
  std::uint32_t number = 0;  ///< Counts the attempts of the request, from 0.
  std::string_view host, zone;
  std::int64_t cell = 0;
  load_balancing::Time chosenAt{};
  load_balancing::Time firstByteAt{};  ///< When its first byte went out; 0: none did.
  load_balancing::Outcome outcome{};
  bool timedOut = false;
  bool requestEnded = false;  ///< Its request had finished before.
  HostObservation hostObservation;
};

/// The view is valid during the call only.
struct RequestLogEntry {
  std::string_view id;  ///< The client's X-Correlation-Id.
  const load_balancing::ClassSettings& classSettings;
  load_balancing::Time arrivedAt{};
  load_balancing::Duration timeLeft{};  ///< For which its client would wait, counted from its arrival.
  RequestResult result{};
  unsigned status = 0;  ///< Of the response; 0: the client has gone without one.
  std::size_t attempts = 0;
  double cutoff = 0;  ///< The load balancer's admission cutoff at the end.
};

/// Nothing that is done here changes what the gateway does.
class AttemptLog {
 public:
  virtual ~AttemptLog() = default;
  /// An attempt has its outcome.
  virtual void onAttempt(const AttemptLogEntry& attempt) = 0;
  /// A request has finished. Attempts of it may still follow.
  virtual void onRequest(const RequestLogEntry& request) = 0;
  /// The phase in force of a host has changed, by the list or by a filter.
  virtual void onHostPhase(const std::string& host, load_balancing::HostPhase phase) = 0;
};

}  // namespace finchstile
