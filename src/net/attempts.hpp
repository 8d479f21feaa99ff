// A seam for whoever writes down what became of attempts and requests. The gateway tells; nothing that is
// done here changes what it does.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/stage.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

// What was known of a host as it was chosen: the list's last word, its last sign of life, its start, and
// whether the module avoided it. A time of 0: never.
struct HostKnown {
  ridgeshift::Time word{}, heard{}, upSince{};
  bool avoided = false;
};

// Views hold during the call only.
struct AttemptSeen {
  std::string_view id;  // the client's
  const ridgeshift::ClassSettings& type;
  std::uint32_t number = 0;  // from 0
  std::string_view host, zone;
  std::int64_t cell = 0;
  ridgeshift::Time sent{}, begun{};  // chosen; its first byte went out, 0: it did not
  ridgeshift::Outcome outcome{};
  bool byLimit = false;  // its time was up
  bool over = false;     // its request had ended
  HostKnown known;
};

struct RequestSeen {
  std::string_view id;
  const ridgeshift::ClassSettings& type;
  ridgeshift::Time came{};
  ridgeshift::Duration left{};  // that its client would wait
  RequestEnd end{};
  unsigned status = 0;  // 0: its client has gone
  std::size_t attempts = 0;
  double cutoff = 0;
};

class AttemptLog {
 public:
  virtual ~AttemptLog() = default;
  virtual void onAttempt(const AttemptSeen& attempt) = 0;  // it has ended
  virtual void onRequest(const RequestSeen& request) = 0;  // the same
  // In force from now on, by the list and by whoever else has a say.
  virtual void onPhase(const std::string& host, ridgeshift::Phase phase) = 0;
};

}  // namespace finchstile
