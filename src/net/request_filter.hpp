// Request filters: the phases of a request, and the interface through which components of the program process
// requests independently of each other. The gateway does the I/O, the load balancer chooses hosts, attempts
// and rejections, and a filter may act on the request as each phase permits:
//
//   received         The request was read and is valid, and its id is not active. It has not been submitted
//                    to the load balancer. A filter may respond to the request here, or hold it and respond
//                    to it or admit it later through RequestFilterCallbacks.
//   admitted         The load balancer has chosen a host for the request for the first time.
//   attemptSending   An attempt is being composed, directly before its first byte. A filter may add headers
//                    for the host.
//   attemptEnded     An attempt has ended, and it is known whether it may have run. Not called for attempts
//                    that end after `completed`.
//   responseHeaders  The final response is known. A filter may add headers for the client.
//   responseSent     The response was passed to the client's connection; of a relayed response, its head.
//   completed        The response was sent, or the client disconnected. Called once for each request that was
//                    received.
//
// In each phase filters are called in the order in which they were attached. A phase without filters costs
// one check of an empty list; without any filter nothing is allocated either.
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

/// The phases of a request, as described above.
enum class RequestPhase : std::uint8_t {
  received,
  admitted,
  attemptSending,
  attemptEnded,
  responseHeaders,
  responseSent,
  completed
};
inline constexpr std::size_t kRequestPhaseCount = 7;

/// Returns the bit of a phase in RequestFilter::phases().
constexpr std::uint8_t phaseBit(RequestPhase phase) {
  return static_cast<std::uint8_t>(1u << static_cast<unsigned>(phase));
}

/// How a request ended.
enum class RequestResult : std::uint8_t {
  /// The client received a host's response, or the response of a filter that held the request. The status
  /// may be an error.
  served,
  rejected,           ///< Never sent, or rejected by hosts: a retry is safe.
  failed,             ///< Failed by the load balancer or the host.
  rejectedByFilter,   ///< Rejected by a filter before it was submitted to the load balancer.
  clientDisconnected  ///< The client disconnected.
};

/// State of a filter for one request, from the phase in which it was created until the request is completed.
struct RequestFilterState {
  virtual ~RequestFilterState() = default;
};

/// The view of one request that filters have. The string views are valid until `onRequestCompleted` returns.
struct RequestContext {
  load_balancing::RequestId id = 0;
  std::shared_ptr<const ClientRequest> message;
  std::string_view className;
  std::string_view tenant;  ///< Empty if the settings have no such tenant.
  /// Indices into the classes and tenants of the settings.
  std::uint32_t classIndex = 0, tenantIndex = load_balancing::kNone;
  load_balancing::Idempotency idempotency{};
  Time deadline{};                 ///< When the client stops waiting for the response.
  std::uint32_t attemptCount = 0;  ///< Number of attempts composed so far.
  std::string_view zone;           ///< Zone of the host of the present attempt.
  std::int64_t cell = 0;           ///< Cell of the host of the present attempt.
  /// Set by a filter in `received`; passed to the load balancer.
  std::optional<load_balancing::EarlierAttempt> earlierAttempt;
  /// The last byte of an attempt may have been sent, and it is not proved that the host did not start it.
  /// From then on no response may state that a retry is safe.
  bool mayHaveRun = false;
  /// Set by the filter that holds the request: neither the request nor the one that it waits for is being
  /// executed. If the hold expires, the request is rejected instead of failed.
  bool heldBeforeExecution = false;
  /// Set by a filter in `received`: hosts of the local zone are preferred while they serve no worse than
  /// others.
  bool preferLocalZone = false;
  /// If false, `message` has the beginning of a body that is too long to be buffered, and the rest is
  /// forwarded to a host as it arrives.
  bool bodyComplete = true;
  /// Length of an incomplete body as announced by the head; 0 if unknown.
  std::uint64_t bodyLength = 0;
  std::vector<HeaderLine> upstreamHeaders;                        ///< Headers for every later attempt.
  std::vector<std::unique_ptr<RequestFilterState>> filterStates;  ///< Indexed by RequestFilter::chainIndex().
};

/// The final response, as passed to `onResponseHeaders`.
struct ResponseHead {
  unsigned status = 0;
  bool fromUpstream = false;  ///< False if the response is the gateway's own.
  /// Header fields of the host's response; null if there are none.
  const boost::beast::http::fields* fields = nullptr;
  std::string_view contentType, body;
  bool bodyComplete = true;  ///< False if `body` is the beginning of a body that is too long to be buffered.
  std::uint64_t length = 0;  ///< Length of an incomplete body as announced by its head; 0 if unknown.
};

/// Decision of a filter on a received request. If neither member is set, the request proceeds.
struct FilterDecision {
  std::optional<Response> response;
  /// Hold the request. The filter must respond to it or admit it later; otherwise the gateway fails it before
  /// the client's timeout.
  bool hold = false;
};

/// Services of the gateway for filters that hold requests. They take effect soon, but not within the call, so
/// that filters may call them from within a phase. Ids of finished requests are ignored.
class RequestFilterCallbacks {
 public:
  virtual ~RequestFilterCallbacks() = default;
  /// Sends `response` to the client of a held request.
  virtual void respondToHeld(load_balancing::RequestId request, Response&& response) = 0;
  /// Submits the request to the load balancer, with the present value of RequestContext::earlierAttempt.
  virtual void admitHeld(load_balancing::RequestId request) = 0;
  /// Ends a request that was continued without its client (see RequestFilter::continuesWithoutClient) when no
  /// other request needs its result any more.
  virtual void abandonContinued(load_balancing::RequestId request) = 0;
};

/// Interface of a filter. It is called while the gateway changes its own state: none of these functions may
/// call back into the gateway, except through RequestFilterCallbacks.
class RequestFilter {
 public:
  virtual ~RequestFilter() = default;
  /// The phases in which the filter is called, as a union of phaseBit() values. Evaluated once, when the
  /// filter is attached.
  virtual std::uint8_t phases() const = 0;

  virtual FilterDecision onRequestReceived(RequestContext&) { return {}; }
  virtual void onRequestAdmitted(RequestContext&) {}
  virtual void onAttemptSending(RequestContext&, UpstreamRequest&) {}
  virtual void onAttemptEnded(RequestContext&, bool /*mayHaveRun*/) {}
  virtual void onResponseHeaders(RequestContext&, const ResponseHead&,
                                 std::vector<HeaderLine>& /*toClient*/) {}
  virtual void onResponseSent(RequestContext&) {}
  virtual void onRequestCompleted(RequestContext&, RequestResult) {}
  /// Called when the client disconnected. If it returns true, attempts continue nevertheless on behalf of
  /// other requests, until `abandonContinued`.
  virtual bool continuesWithoutClient(RequestContext&) { return false; }

 protected:
  /// The state of this filter for a request.
  std::unique_ptr<RequestFilterState>& state(RequestContext& context) const {
    return context.filterStates[chainIndex_];
  }
  std::size_t chainIndex() const { return chainIndex_; }

 private:
  friend class RequestFilterChain;
  std::size_t chainIndex_ = 0;  // position in the chain
};

/// The filters of a gateway. Each filter must outlive the chain. Filters may be attached at any time except
/// from within a phase.
class RequestFilterChain {
 public:
  void attach(RequestFilter& filter) {
    filter.chainIndex_ = filters_.size();
    filters_.push_back(&filter);
    for (std::size_t phase = 0; phase < kRequestPhaseCount; ++phase)
      if (filter.phases() & (1u << phase)) byPhase_[phase].push_back(&filter);
  }
  bool empty() const { return filters_.empty(); }
  std::size_t size() const { return filters_.size(); }

  /// The first filter that responds to the request or holds it ends the phase.
  FilterDecision onRequestReceived(RequestContext& context) const {
    for (RequestFilter* filter : filtersOf(RequestPhase::received)) {
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
  /// Calls all filters, regardless of their phases. Returns true if any filter requires the request to
  /// continue.
  bool continuesWithoutClient(RequestContext& context) const {
    bool continues = false;
    for (RequestFilter* filter : filters_)
      if (hasStateFor(*filter, context)) continues |= filter->continuesWithoutClient(context);
    return continues;
  }

 private:
  const std::vector<RequestFilter*>& filtersOf(RequestPhase phase) const {
    return byPhase_[static_cast<std::size_t>(phase)];
  }
  // A filter that was attached after a request was received has no state for it and is not called.
  static bool hasStateFor(const RequestFilter& filter, const RequestContext& context) {
    return filter.chainIndex_ < context.filterStates.size();
  }
  template <class Call>
  void forEach(RequestPhase phase, const RequestContext& context, Call call) const {
    for (RequestFilter* filter : filtersOf(phase))
      if (hasStateFor(*filter, context)) call(*filter);
  }

  std::array<std::vector<RequestFilter*>, kRequestPhaseCount> byPhase_;
  std::vector<RequestFilter*> filters_;
};

}  // namespace finchstile
