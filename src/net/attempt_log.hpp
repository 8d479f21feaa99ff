// A seam for whoever writes down what became of attempts and requests. The gateway tells; nothing that is
// done here changes what it does.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"
#include "net/request_filter.hpp"

namespace finchstile {

// What was known of a host as it was chosen: the list's last word, its last sign of life, its start, and
// whether the module avoided it. A time of 0: never.
struct HostObservation {
  load_balancing::Time lastListedAt{}, lastResponseAt{}, startedAt{};
  bool avoided = false;
};

// Views hold during the call only.
struct AttemptLogEntry {
  std::string_view id;  // the client's
  const load_balancing::ClassSettings& classSettings;
  std::uint32_t number = 0;  // from 0
  std::string_view host, zone;
  std::int64_t cell = 0;
  load_balancing::Time chosenAt{}, firstByteAt{};  // chosen; its first byte went out, 0: it did not
  load_balancing::Outcome outcome{};
  bool timedOut = false;      // its time was up
  bool requestEnded = false;  // its request had ended
  HostObservation hostObservation;
};

struct RequestLogEntry {
  std::string_view id;
  const load_balancing::ClassSettings& classSettings;
  load_balancing::Time arrivedAt{};
  load_balancing::Duration timeLeft{};  // that its client would wait
  RequestResult result{};
  unsigned status = 0;  // 0: its client has gone
  std::size_t attempts = 0;
  double cutoff = 0;
};

class AttemptLog {
 public:
  virtual ~AttemptLog() = default;
  virtual void onAttempt(const AttemptLogEntry& attempt) = 0;  // it has ended
  virtual void onRequest(const RequestLogEntry& request) = 0;  // the same
  // In force from now on, by the list and by whoever else has a say.
  virtual void onHostPhase(const std::string& host, load_balancing::HostPhase phase) = 0;
};

}  // namespace finchstile
