// The logs of many gateways put together: what became of one request wherever it went, whether the rules were
// kept, and sums by host, class, gateway or second. No I/O; lines may come in any order.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trace/line.hpp"

namespace finchstile::trace {

struct Story {                        // of one id; sorted by `Join::story`
  std::vector<AttemptLine> attempts;  // by when they were sent
  std::vector<RequestLine> requests;  // by when they came: one for each time that a gateway took it
};

struct AuditSettings {
  std::int64_t slackUs = 50'000;   // by which each time limit is longer
  std::int64_t graceUs = 500'000;  // in which a host that drains or is gone may still be sent to
  std::int64_t clocksUs = 0;       // by which the clocks of two gateways may differ
};

// What the lines show of the rules. Each is judged by lines that are there; what a gap or a process that died
// may have taken with it accuses nobody.
struct Finding {
  enum class Kind {
    answeredTwice,    // one request that was taken, two final answers
    late,             // its answer came after its client's time
    sentAfterAnswer,  // something went out for it after its final answer
    noAnswer,         // attempts of it, a process that ended in order, and no final answer
    leftOpen,         // a process ended in order with requests open
    twoAtOnce,        // a second attempt began while an earlier one was out
    ranTwice,         // sent again where an earlier attempt may have run, and repeats are not dropped
    refusedAfterRun,  // called harmless to try again, though an attempt may have run
    sentToDraining    // later than the grace after this gateway knew that the host drains or is gone
  } kind;
  std::string gateway, id;
  std::int64_t at = 0;  // when it happened
  std::string text;     // what was seen, with the figures
};
const char* name(Finding::Kind kind);

struct Sum {
  std::size_t attempts = 0, served = 0, full = 0, failed = 0, lost = 0, unconnected = 0, calledOff = 0;
  std::uint64_t takenUs = 0;  // of those served
  std::size_t requests = 0, answered = 0, refused = 0, unsent = 0, errored = 0, left = 0;
};

class Join {
 public:
  void add(const Line& line);
  std::size_t requests() const { return stories_.size(); }
  std::size_t lines() const { return lines_; }
  std::uint64_t missing() const { return missing_; }  // lines that logs say are not in them

  // Empty if no line names it.
  Story story(const std::string& id) const;
  std::vector<Finding> audit(const AuditSettings& settings) const;  // by time

  enum class By { host, second, gateway, className };
  // Seconds count from the first line on, as text with leading zeros. By host: attempts only.
  std::map<std::string, Sum> sums(By by) const;

 private:
  struct Life {                     // of one gateway's process
    std::int64_t from = 0, to = 0;  // to: its end in order; 0: none is known
    std::uint64_t open = 0;
    bool gap = false;
  };
  struct Known {  // of one host at one gateway
    std::int64_t at = 0;
    HostPhase phase = HostPhase::active;
  };
  using Lives = std::vector<Life>;

  using LivesOf = std::map<std::string, Lives>;  // by gateway

  LivesOf lives() const;
  template <class Of>  // LivesOf, const or not
  static auto lifeAt(Of& all, const std::string& gateway, std::int64_t at);
  void auditStory(const std::string& id, const Story& story, const AuditSettings& settings,
                  const LivesOf& lives, std::vector<Finding>& out) const;
  const Known* knownAt(const std::string& gateway, const std::string& host, std::int64_t at) const;

  std::unordered_map<std::string, Story> stories_;
  std::map<std::string, std::vector<std::int64_t>> starts_;
  std::map<std::string, std::vector<StopLine>> stops_;
  std::map<std::string, std::vector<std::int64_t>> gaps_;
  std::map<std::pair<std::string, std::string>, std::vector<Known>> known_;  // by gateway and host
  std::size_t lines_ = 0;
  std::uint64_t missing_ = 0;
  std::int64_t first_ = 0;
};

// One request's way, a line each for what happened, in order of time; times from its first line on.
std::string tell(const Story& story);

}  // namespace finchstile::trace
