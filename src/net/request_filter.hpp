// The way of a request through the gateway in named phases, and how a subsystem takes part in it without
// knowing the others. The gateway carries out; the module decides on hosts, attempts and refusals; a stage
// sees a request go by and may add to it within what each phase allows.
//
//   arrived     read, usable, its id not open; the module has not been asked. A stage may answer it here.
//   admitted    the module has chosen a host for it for the first time.
//   (held)      a stage may hold it in `arrived` instead: it then answers it, or has it admitted, through
//   StageHost. sent        an attempt is composed, right before its first byte. A stage may add headers for
//   the host. settled     an attempt has ended; known whether it may have run. answerHead  its one final
//   answer is known. A stage may add headers for the client. answerDone  the answer has been handed to the
//   client's connection. ended       nothing more goes out for it, and its record goes. Comes once for each
//   that arrived.
//
// Stages come in the order in which they were attached, in each phase. Where none asks for a phase, that
// phase costs one look at an empty list; where none is attached at all, nothing is allocated either.
#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/client.hpp"
#include "net/upstream.hpp"

namespace finchstile {

enum class RequestPhase : std::uint8_t {
  received,
  admitted,
  attemptSending,
  attemptEnded,
  responseHeaders,
  responseSent,
  completed
};
inline constexpr std::size_t kRequestPhases = 7;

constexpr std::uint8_t phaseBit(RequestPhase p) {
  return static_cast<std::uint8_t>(1u << static_cast<unsigned>(p));
}

enum class RequestResult : std::uint8_t {
  served,             // with a host's answer
  rejected,           // unsent or turned away: trying again is harmless
  failed,             // by the module or the host
  rejectedByFilter,   // by a stage, before the module was asked
  clientDisconnected  // the client has gone
};

// What a stage keeps for one request, from the phase in which it was made to the end.
struct RequestFilterState {
  virtual ~RequestFilterState() = default;
};

// One request as stages see it. Views stay good until `ended` returns.
struct RequestContext {
  load_balancing::RequestId id = 0;
  std::shared_ptr<const ClientRequest> message;
  std::string_view className, tenant;  // tenant: empty if the settings name none such
  std::uint32_t classIndex = 0, tenantIndex = load_balancing::kNone;  // into the settings
  load_balancing::Idempotency idempotency{};
  Time deadline{};                 // when its client stops waiting
  std::uint32_t attemptCount = 0;  // composed so far
  std::string_view zone;           // of the host that the present attempt goes to
  std::int64_t cell = 0;
  std::optional<load_balancing::EarlierAttempt>
      earlierAttempt;  // set by a stage in `arrived`: the module goes by it
  // An attempt's last byte may have gone out, and nothing has proved that it was not begun. From then on
  // nothing may tell the client that trying again is harmless.
  bool mayHaveRun = false;
  // Set by the stage that holds it: nothing of it runs, nor of what it waits for. If its time is up it is
  // refused and not failed.
  bool heldBeforeExecution = false;
  // Set by a stage in `arrived`: hosts of the own zone come first, as long as service there does not fall.
  bool preferLocalZone = false;
  std::uint64_t bodyLength = 0;  // of a body that is not whole, as its head tells it; 0: it does not
  // Else `message` has the beginning of a body that is too long to be held: the rest goes to a host as it
  // comes.
  bool bodyComplete = true;
  std::vector<HeaderLine> upstreamHeaders;                        // for every attempt from now on
  std::vector<std::unique_ptr<RequestFilterState>> filterStates;  // one for each stage, by its place
};

// The final answer as it stands in `answerHead`.
struct ResponseHead {
  unsigned status = 0;
  bool fromUpstream = false;                           // else the gateway's own
  const boost::beast::http::fields* fields = nullptr;  // of the host; null: there are none
  std::string_view contentType, body;
  bool bodyComplete = true;  // else `body` is the beginning of one that is too long to be held,
  std::uint64_t length = 0;  // of so many bytes, as its head tells it; 0: it does not
};

// What a stage makes of a request that has arrived: with neither it goes on.
struct FilterDecision {
  std::optional<Response> response;
  bool hold = false;  // it waits; the stage has it answered or admitted later, the gateway fails it in time
};

// What the gateway does for stages that hold requests. Carried out soon, not at once: may be called from
// within a phase. An id that is no longer open is passed over.
class RequestFilterCallbacks {
 public:
  virtual ~RequestFilterCallbacks() = default;
  virtual void respondToHeld(load_balancing::RequestId request, Response&& answer) = 0;
  virtual void admitHeld(
      load_balancing::RequestId request) = 0;  // the module is asked now, with Exchange::earlier
  // For one that was kept (see keepsWork): nobody waits for it any more.
  virtual void abandonContinued(load_balancing::RequestId request) = 0;
};

class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  virtual std::uint8_t phases() const = 0;  // phaseBit()s; asked for once, when attached

  // Danger: called while the gateway is in the midst of its own bookkeeping. None may call back into it.
  virtual FilterDecision onRequestReceived(RequestContext&) { return {}; }
  virtual void onRequestAdmitted(RequestContext&) {}
  virtual void onAttemptSending(RequestContext&, UpstreamRequest&) {}
  virtual void onAttemptEnded(RequestContext&, bool /*mayHaveRun*/) {}
  virtual void onResponseHeaders(RequestContext&, const ResponseHead&,
                                 std::vector<HeaderLine>& /*toClient*/) {}
  virtual void onResponseSent(RequestContext&) {}
  virtual void onRequestCompleted(RequestContext&, RequestResult) {}
  // Its client has gone. True: what runs goes on all the same, for others; `abandon` ends that.
  virtual bool continuesWithoutClient(RequestContext&) { return false; }

 protected:
  // This stage's own place among the states of an exchange.
  std::unique_ptr<RequestFilterState>& state(RequestContext& x) const { return x.filterStates[place_]; }
  std::size_t place() const { return place_; }

 private:
  friend class RequestFilterChain;
  std::size_t place_ = 0;
};

// The stages of a gateway. Each must outlive it. One may be attached at any time but from within a phase.
class RequestFilterChain {
 public:
  void attach(RequestFilter& stage) {
    stage.place_ = all_.size();
    all_.push_back(&stage);
    for (std::size_t p = 0; p < kRequestPhases; ++p)
      if (stage.phases() & (1u << p)) byPhase_[p].push_back(&stage);
  }
  bool empty() const { return all_.empty(); }
  std::size_t size() const { return all_.size(); }
  const std::vector<RequestFilter*>& at(RequestPhase p) const {
    return byPhase_[static_cast<std::size_t>(p)];
  }

  // The first stage that answers or holds it ends the phase.
  FilterDecision onRequestReceived(RequestContext& x) const {
    for (RequestFilter* s : at(RequestPhase::received))
      if (FilterDecision a = s->onRequestReceived(x); a.response || a.hold) return a;
    return {};
  }
  // Danger: a stage attached while the gateway serves has no place in what arrived before. It is told nothing
  // of it.

  void onRequestAdmitted(RequestContext& x) const {
    for (RequestFilter* s : at(RequestPhase::admitted))
      if (s->place_ < x.filterStates.size()) s->onRequestAdmitted(x);
  }
  void onAttemptSending(RequestContext& x, UpstreamRequest& to) const {
    for (RequestFilter* s : at(RequestPhase::attemptSending))
      if (s->place_ < x.filterStates.size()) s->onAttemptSending(x, to);
  }
  void onAttemptEnded(RequestContext& x, bool mayHaveRun) const {
    for (RequestFilter* s : at(RequestPhase::attemptEnded))
      if (s->place_ < x.filterStates.size()) s->onAttemptEnded(x, mayHaveRun);
  }
  bool continuesWithoutClient(RequestContext& x) const {
    bool keeps = false;
    for (RequestFilter* s : all_)
      if (s->place_ < x.filterStates.size()) keeps |= s->continuesWithoutClient(x);
    return keeps;
  }
  void onResponseHeaders(RequestContext& x, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) const {
    for (RequestFilter* s : at(RequestPhase::responseHeaders))
      if (s->place_ < x.filterStates.size()) s->onResponseHeaders(x, head, toClient);
  }
  void onResponseSent(RequestContext& x) const {
    for (RequestFilter* s : at(RequestPhase::responseSent))
      if (s->place_ < x.filterStates.size()) s->onResponseSent(x);
  }
  void onRequestCompleted(RequestContext& x, RequestResult end) const {
    for (RequestFilter* s : at(RequestPhase::completed))
      if (s->place_ < x.filterStates.size()) s->onRequestCompleted(x, end);
  }

 private:
  std::array<std::vector<RequestFilter*>, kRequestPhases> byPhase_;
  std::vector<RequestFilter*> all_;
};

}  // namespace finchstile
