// Which control machine a gateway asks, and when: by rendezvous hash, so that gateways spread over the
// machines with no word between them, and with full jitter after failures. No I/O; clock and randomness are
// passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

using load_balancing::Duration;
using load_balancing::Time;

struct SourceSettings {
  Duration failover = std::chrono::milliseconds(250);  // another machine is asked within this, evenly spread
  Duration retryLeast = std::chrono::seconds(1);  // a machine that failed is left alone for so long at least,
  Duration retryMost = std::chrono::seconds(30);  // and for so much more at the most
};

class Sources {
 public:
  // `addresses` name the machines; `gateway` names this gateway. There is one address at least.
  Sources(const std::vector<std::string>& addresses, const std::string& gateway,
          const SourceSettings& settings);

  struct Choice {
    std::size_t source = 0;  // into the addresses
    Time at{};               // not to be asked before
  };
  // The most preferred machine that is not left alone just now, else the one that will be the first again.
  // One that is not the machine asked last is asked a little later, drawn from `unit`, in [0, 1): the
  // gateways of a machine that failed would come to the next in the same moment.
  Choice choose(Time now, double unit) const;

  void asked(std::size_t source) { last_ = source; }
  void answered(std::size_t source) { machines_[source].failures = 0; }
  // It was silent, refused, lags behind, or sent what makes no sense.
  void failed(std::size_t source, Time now, double unit);
  // It asked for this much patience.
  void busy(std::size_t source, Time now, Duration patience, double unit);

  const std::vector<std::size_t>& order() const { return order_; }
  std::uint64_t failures() const { return failures_; }

 private:
  struct Machine {
    int failures = 0;  // on end
    Time notBefore{};
  };
  const SourceSettings settings_;
  std::vector<std::size_t> order_;  // most preferred first
  std::vector<Machine> machines_;
  std::size_t last_;
  std::uint64_t failures_ = 0;
};

}  // namespace finchstile::configuration
