// The phases of a request, and the interface through which a part of the program takes part in them without
// knowing the others. The gateway does the I/O, the load balancer chooses hosts, attempts and rejections, and
// a filter may add to the request within what each phase allows:
//
//   received         The request is read and usable, its id is not active; the load balancer has not been
//                    asked. A filter may answer the request here, or hold it and have it answered or admitted
//                    later through RequestFilterCallbacks.
//   admitted         The load balancer has chosen a host for it for the first time.
//   attemptSending   An attempt is composed, right before its first byte. A filter may add headers for
//                    the host.
//   attemptEnded     An attempt has ended, and it is known whether it may have run. Not called for attempts
//                    that end after `completed`.
//   responseHeaders  The one final response is known. A filter may add headers for the client.
//   responseSent     The response has been handed to the client's connection; of a relayed response,
//                    its head.
//   completed        The client has its response, or has gone. Called once for each request that was
//                    received.
//
// In each phase filters are called in the order in which they were attached. A phase that no filter asks for
// costs one check of an empty list; without any filter nothing is allocated either.
#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/header_line.hpp"
#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/clock.hpp"
#include "net/upstream_messages.hpp"

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

/// The bit of a phase in RequestFilter::phases().
constexpr std::uint8_t phaseBit(RequestPhase phase) {
  return static_cast<std::uint8_t>(1u << static_cast<unsigned>(phase));
}

enum class RequestResult : std::uint8_t {
  served,  ///< With a host's response, or with what a filter answered after holding it: its status may be an
           ///< error.
  rejected,           ///< Never sent, or rejected by hosts: trying again is harmless.
  failed,             ///< By the load balancer or the host.
  rejectedByFilter,   ///< Before the load balancer was asked.
  clientDisconnected  ///< The client has gone.
};

/// What a filter keeps for one request, from the phase in which it was made to the end.
struct RequestFilterState {
  virtual ~RequestFilterState() = default;
};

/// One request as filters see it. The views are valid until `onRequestCompleted` returns.
struct RequestContext {
  load_balancing::RequestId id = 0;
  std::shared_ptr<const ClientRequest> message;
  std::string_view className;
  std::string_view tenant;  ///< Empty if the settings name no such tenant.
  /// Into the settings' classes and tenants.
  std::uint32_t classIndex = 0, tenantIndex = load_balancing::kNone;
  load_balancing::Idempotency idempotency{};
  Time deadline{};                 ///< When its client stops waiting.
  std::uint32_t attemptCount = 0;  ///< Attempts composed so far.
  std::string_view zone;           ///< Of the host that the present attempt goes to.
  std::int64_t cell = 0;           ///< Of the host that the present attempt goes to.
  /// Set by a filter in `received`, for the load balancer.
  std::optional<load_balancing::EarlierAttempt> earlierAttempt;
  /// The last byte of an attempt may have gone out, and nothing has proved that it was not begun. From then
  /// on nothing may tell the client that trying again is harmless.
  bool mayHaveRun = false;
  /// Set by the filter that holds the request: neither it nor what it waits for runs. If its time is up, it
  /// is rejected instead of failed.
  bool heldBeforeExecution = false;
  /// Set by a filter in `received`: hosts of the local zone come first while they serve no worse.
  bool preferLocalZone = false;
  /// False: `message` has the beginning of a body too long to be buffered; the rest goes to a host as it
  /// comes.
  bool bodyComplete = true;
  /// Of an incomplete body, as the head announces it; 0: it does not.
  std::uint64_t bodyLength = 0;
  std::vector<HeaderLine> upstreamHeaders;                        ///< For every attempt from now on.
  std::vector<std::unique_ptr<RequestFilterState>> filterStates;  ///< By the chainIndex of the filter.
};

/// The final response in `responseHeaders`.
struct ResponseHead {
  unsigned status = 0;
  bool fromUpstream = false;                           ///< Else the gateway's own.
  const boost::beast::http::fields* fields = nullptr;  ///< Of the host; null: there are none.
  std::string_view contentType, body;
  bool bodyComplete = true;  ///< Else `body` is the beginning of one too long to be buffered.
  std::uint64_t length = 0;  ///< Of an incomplete body, as its head announces it; 0: it does not.
};

/// What a filter makes of a request that was received. Neither of the two: it goes on.
struct FilterDecision {
  std::optional<Response> response;
  /// It waits. The filter has it answered or admitted later; the gateway fails it in time if it does not.
  bool hold = false;
};

/// What the gateway does for filters that hold requests: soon, but not within the call, so that filters may
/// call from within a phase. Ids of requests that have finished are ignored.
class RequestFilterCallbacks {
 public:
  virtual ~RequestFilterCallbacks() = default;
  virtual void respondToHeld(load_balancing::RequestId request, Response&& response) = 0;
  /// The load balancer is asked now, with RequestContext::earlierAttempt as it is then.
  virtual void admitHeld(load_balancing::RequestId request) = 0;
  /// Nobody waits any more for a request that was continued (see RequestFilter::continuesWithoutClient).
  virtual void abandonContinued(load_balancing::RequestId request) = 0;
};

/// Called while the gateway changes its own state: none of these functions may call back into the gateway,
/// except through RequestFilterCallbacks.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  /// The phases that it wants, as phaseBit()s. Asked for once, when it is attached.
  virtual std::uint8_t phases() const = 0;

  virtual FilterDecision onRequestReceived(RequestContext&) { return {}; }
  virtual void onRequestAdmitted(RequestContext&) {}
  virtual void onAttemptSending(RequestContext&, UpstreamRequest&) {}
  virtual void onAttemptEnded(RequestContext&, bool /*mayHaveRun*/) {}
  virtual void onResponseHeaders(RequestContext&, const ResponseHead&,
                                 std::vector<HeaderLine>& /*toClient*/) {}
  virtual void onResponseSent(RequestContext&) {}
  virtual void onRequestCompleted(RequestContext&, RequestResult) {}
  /// The client has gone. True: attempts go on all the same, for other requests, until `abandonContinued`.
  virtual bool continuesWithoutClient(RequestContext&) { return false; }

 protected:
  /// This filter's own state for a request.
  std::unique_ptr<RequestFilterState>& state(RequestContext& context) const {
    return context.filterStates[chainIndex_];
  }
  std::size_t chainIndex() const { return chainIndex_; }

 private:
  friend class RequestFilterChain;
  std::size_t chainIndex_ = 0;  // in the chain
};

/// The filters of a gateway. Each must outlive it. One may be attached at any time, except from within a
/// phase.
class RequestFilterChain {
 public:
  void attach(RequestFilter& filter) {
    filter.chainIndex_ = all_.size();
    all_.push_back(&filter);
    for (std::size_t phase = 0; phase < kRequestPhases; ++phase)
      if (filter.phases() & (1u << phase)) byPhase_[phase].push_back(&filter);
  }
  bool empty() const { return all_.empty(); }
  std::size_t size() const { return all_.size(); }

  /// The first filter that answers or holds the request ends the phase.
  FilterDecision onRequestReceived(RequestContext& context) const {
    for (RequestFilter* filter : in(RequestPhase::received)) {
      FilterDecision decision = filter->onRequestReceived(context);
      if (decision.response || decision.hold) return decision;
    }
    return {};
  }
  void onRequestAdmitted(RequestContext& context) const {
    forEach(RequestPhase::admitted, context,
            [&](RequestFilter& filter) { filter.onRequestAdmitted(context); });
  }
  void onAttemptSending(RequestContext& context, UpstreamRequest& request) const {
    forEach(RequestPhase::attemptSending, context,
            [&](RequestFilter& filter) { filter.onAttemptSending(context, request); });
  }
  void onAttemptEnded(RequestContext& context, bool mayHaveRun) const {
    forEach(RequestPhase::attemptEnded, context,
            [&](RequestFilter& filter) { filter.onAttemptEnded(context, mayHaveRun); });
  }
  void onResponseHeaders(RequestContext& context, const ResponseHead& head,
                         std::vector<HeaderLine>& toClient) const {
    forEach(RequestPhase::responseHeaders, context,
            [&](RequestFilter& filter) { filter.onResponseHeaders(context, head, toClient); });
  }
  void onResponseSent(RequestContext& context) const {
    forEach(RequestPhase::responseSent, context,
            [&](RequestFilter& filter) { filter.onResponseSent(context); });
  }
  void onRequestCompleted(RequestContext& context, RequestResult result) const {
    forEach(RequestPhase::completed, context,
            [&](RequestFilter& filter) { filter.onRequestCompleted(context, result); });
  }
  /// Asks all filters, whatever their phases; true if one of them wants the request to go on.
  bool continuesWithoutClient(RequestContext& context) const {
    bool continues = false;
    for (RequestFilter* filter : all_)
      if (knows(*filter, context)) continues |= filter->continuesWithoutClient(context);
    return continues;
  }

 private:
  const std::vector<RequestFilter*>& in(RequestPhase phase) const {
    return byPhase_[static_cast<std::size_t>(phase)];
  }
  // A filter that was attached later than a request was received has no state for it, and is not called.
  static bool knows(const RequestFilter& filter, const RequestContext& context) {
    return filter.chainIndex_ < context.filterStates.size();
  }
  template <class Call>
  void forEach(RequestPhase phase, const RequestContext& context, Call call) const {
    for (RequestFilter* filter : in(phase))
      if (knows(*filter, context)) call(*filter);
  }

  std::array<std::vector<RequestFilter*>, kRequestPhases> byPhase_;
  std::vector<RequestFilter*> all_;
};

}  // namespace finchstile
